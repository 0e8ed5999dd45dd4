#pragma once

#include "Core/time.hpp"
#include "Delivery/crash_baseline.hpp"
#include "Delivery/part_outputs.hpp"
#include "Delivery/request_fingerprint.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// A replica crashed during an attempt before it had written any part of the
/// answer.
struct part_crash {
    /// Fingerprint of one shared part of the request's prompt.
    request_fingerprint part{};
    /// Fingerprint of the whole request.
    request_fingerprint request{};
    /// Fingerprints of the other shared parts of its prompt.
    std::vector<request_fingerprint> companions;
    /// Identifies the replica process: another value after each restart.
    std::uint64_t replica = 0;
    /// When the attempt began, and when it was broken off.
    instant attempt_began;
    instant crashed_at;
};

/// Asks all nodes whether they have seen output on some parts.
struct part_inquiry {
    std::vector<request_fingerprint> parts;
    /// Output counts when it is at most this old.
    duration since{0};
};

/// Prompt parts that may crash the replicas which begin to write an answer on
/// them. Requests that share such a part are otherwise all different, so
/// counting crashes by whole requests never identifies it.
///
/// Most parts at a crash are innocent: they belong to other attempts that the
/// replica was running, or they are in the same prompt as the poison part. An
/// innocent part produces output at another replica soon, and a poison part
/// never does. A part is therefore confirmed as poison only when all of these
/// hold since its first crash:
/// - as many replicas have crashed under it as `crash_baseline` demands;
/// - the crashed attempts belong to two requests at least. Otherwise the
///   request may be poison as a whole, which `request_quarantine` handles;
/// - one of the crashed attempts began after the first crash. Replicas that
///   crash together, because of a failed domain, break off attempts that have
///   all begun before;
/// - no node has seen output on it, which the counting node asks all of them.
///
/// Where another part without output was in every crashed request too, either
/// may be the poison part. Then only their combination is confirmed, so that
/// no caller can have the part of another caller's prompts refused by naming it
/// beside a poison part.
class part_suspects {
public:
    /// Records a crash.
    /// @param baseline crashes of other attempts
    /// @returns the question that all nodes must be asked now, if any
    std::optional<part_inquiry> record_crash(
        part_crash const& crash, crash_baseline const& baseline, instant now);
    /// Records output on a part: it has caused none of the crashes so far.
    void record_output(request_fingerprint part, instant now);
    /// @returns fingerprints of the parts, or combinations of two parts, of
    ///          which no output was reported in time after the inquiry
    std::vector<request_fingerprint> take_confirmed(instant now);
    /// Removes expired evidence.
    void remove_expired(instant now);
    /// @returns number of parts under which a replica has crashed
    std::size_t size() const noexcept { return suspects_.size(); }

private:
    struct evidence {
        instant first_crash_at;
        instant last_crash_at;
        std::vector<std::uint64_t> replicas;
        std::vector<request_fingerprint> requests;
        /// Parts without output that were in every crashed request.
        std::vector<request_fingerprint> companions;
        /// An attempt that began after the first crash has crashed a replica.
        bool recurred = false;
        /// When the other nodes were asked for output.
        std::optional<instant> asked_at;
        /// The combination with the first companion is confirmed.
        bool combination_confirmed = false;

        void add(part_crash const& crash, instant now);
        bool sufficient(std::size_t crashes_to_confirm) const noexcept;
    };
    void evict_oldest();

    std::unordered_map<request_fingerprint, evidence> suspects_;
    /// Reports of crashes are repeated, also after output has refuted them.
    part_outputs outputs_;
};

} // namespace camphorpoint
