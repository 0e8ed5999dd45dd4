#pragma once

#include "Keys/clock_reading.hpp"
#include "Keys/key_action.hpp"
#include "Keys/key_memory.hpp"
#include "Keys/key_settings.hpp"
#include "Keys/key_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpoint {

/// What the log says of a claim on a shard that took effect for this node.
struct key_claim {
    /// The claim's own offset.
    log_offset fencing;
    /// The claim that was in force before, when the log still shows it.
    std::optional<log_offset> previous;
    /// True when the previous holder released the shard to this node.
    bool handed_over = false;
    /// True when ownership knows that nobody ever owned the shard.
    bool first = false;
};

/// The key shards that this node owns: it gives each key's permission to run
/// once, and answers repeats from memory. Its counterpart is entry_key_tracker.
/// docs/design/at-most-once.md argues why no key runs twice.
class key_owner {
public:
    explicit key_owner(key_settings settings)
        : settings_(settings)
        , memory_(settings.most_records, settings.most_answer_bytes) {}
    // Its tables refer to its settings and to its memory.
    key_owner(key_owner const&) = delete;
    key_owner& operator=(key_owner const&) = delete;

    /// A claim of this node on a shard took effect.
    void on_shard_gained(
        key_shard shard, key_claim const& claim, clock_reading const& clock);
    /// Another node's claim on the shard took effect.
    void on_shard_lost(key_shard shard);

    /// Answers an ask.
    /// @param authority_until when this node's authority over the shard ends;
    ///        the epoch when it has none
    void on_permission_request(
        node_id const& from, key_permission_request const& message,
        instant authority_until, clock_reading const& clock);
    /// Notes how the work under a key ended, and answers who waited for it.
    void on_completion(
        node_id const& from, key_completion const& completion,
        instant authority_until, clock_reading const& clock);
    /// Notes which keys an entry node still runs.
    void on_heartbeat(
        node_id const& from, key_heartbeat const& heartbeat,
        clock_reading const& clock);
    /// Takes a part of a table that a holder hands over to this node.
    void on_handover(key_handover const& part, clock_reading const& clock);
    /// Closes a shard: it gives nothing more under its present claim.
    /// @returns its table in parts; the composer sends them with the ownership
    ///          lane's offer, or as messages before the release is appended
    std::vector<key_handover> close_and_export(key_shard shard);
    /// The handover came to nothing and its copy is void: go on. Safe only when
    /// the copy travelled inside the offer that was aborted, never as messages,
    /// which a successor might still take for complete.
    void reopen(key_shard shard);
    /// Closes a shard for good, and sends its table as messages.
    void hand_over(key_shard shard, node_id const& successor);
    /// Time has passed.
    void tick(clock_reading const& clock);

    /// @returns what is to be done, in order; empties the list
    std::vector<key_action> take_actions();
    /// @returns records kept over all shards
    std::size_t records() const noexcept { return memory_.records(); }
    /// @returns bytes of answers kept over all shards
    std::size_t answer_bytes() const noexcept { return memory_.answer_bytes(); }

private:
    struct staged_table {
        log_offset fencing;
        wall_time unknown_up_to;
        std::map<std::uint32_t, std::vector<key_record>> parts;
        std::uint32_t expected = 0;
    };

    bool clocks_agree(
        node_id const& from, key_permission_request const& message,
        clock_reading const& clock);
    void adopt_staged(key_shard shard, clock_reading const& clock);
    void refuse(
        node_id const& to, key_permission_request const& message, reason why);
    void send_replies(key_table& table);

    key_settings settings_;
    internal::key_memory memory_;
    std::map<key_shard, key_table> tables_;
    std::map<key_shard, key_claim> claims_;
    std::map<key_shard, staged_table> staged_;
    std::optional<instant> last_clock_warning_;
    std::vector<key_action> actions_;
};

} // namespace camphorpoint
