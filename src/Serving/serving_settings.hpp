#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace camphorpoint {

/// How an entry node carries requests. docs/operating/requests.md says how an
/// operator sees each of these at work.
struct request_settings {
    /// Requests that one entry node carries at once. A request takes about
    /// 1 KB here, so the bound keeps them under 16 MB; at the design size 33
    /// requests a second of 30 s each are 1,000.
    std::size_t most_requests = 16'384;
    /// A longer deadline is an error of the caller.
    std::chrono::milliseconds longest_deadline{3'600'000};
    /// Replicas asked for one request. More would multiply the asks just when
    /// all queues are full.
    std::uint32_t most_asks = 4;
    /// Resumes of one stream in a row without a new token.
    std::uint32_t most_resumes = 3;
    /// Pause before the first resume; doubled before each further one.
    std::chrono::milliseconds resume_pause{50};
    /// How long the end of a cancelled attempt is waited for before its grant
    /// is let go all the same.
    std::chrono::milliseconds close_wait{5'000};
    /// How often owners are told what runs on their replicas.
    std::chrono::milliseconds heartbeat_period{1'000};
    /// How long an owner on whose replicas nothing runs any more still gets
    /// heartbeats: they repair a lost release.
    std::chrono::milliseconds heartbeat_after_last{10'000};
    /// When a caller should come back, where nothing better is known.
    std::chrono::milliseconds retry_after{1'000};
};

} // namespace camphorpoint
