#pragma once

#include "Load/answer_check.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// How the load tool saw a request end.
enum class seen_end : std::uint8_t {
    /// The whole answer came, and it is right.
    done,
    not_run,
    unknown,
    /// The answer is closed as done, but it is not the right one.
    wrong,
    /// The connection broke without an outcome, and no resume brought the rest.
    cut,
    /// No node took a connection.
    no_node
};

/// @returns the end's code in reports
std::string_view to_string(seen_end end) noexcept;

/// What became of one request of the plan.
struct request_result {
    std::uint64_t number = 0;
    std::string task;
    bool to_engine = true;
    bool idempotent = true;
    /// The records of the stand-ins know the request by this: digest of the
    /// messages, or hash of the call's body.
    std::uint64_t work = 0;
    seen_end end = seen_end::cut;
    /// The reason code of an answer that is not done.
    std::string why;
    answer_fault fault = answer_fault::none;
    std::uint32_t version = 0;
    std::uint32_t tokens = 0;
    /// Absent when no token came.
    std::optional<std::chrono::microseconds> first_token;
    std::chrono::microseconds total{};
    /// Times between pieces of the answer.
    std::vector<std::chrono::microseconds> gaps;
    /// Tries to go on with a stream that broke.
    std::uint32_t resumes = 0;
    /// Connections that a node did not take.
    std::uint32_t refused_connections = 0;
    /// True when the same request was made again through another node.
    bool repeated = false;
    /// How the repeat ended, as long as there was one.
    seen_end repeat_end = seen_end::done;
    /// True when the caller broke the stream itself, or read slowly: its times
    /// say nothing of the system.
    bool odd_caller = false;
    /// True when the request went to an engine without any node.
    bool direct = false;
    /// True when it is one of a pair of probes.
    bool probe = false;
};

} // namespace camphorpoint
