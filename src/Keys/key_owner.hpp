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

/// A claim of this node on a shard that has taken effect, as the log shows it.
struct key_claim {
    /// Log offset of the claim itself.
    log_offset fencing;
    /// Log offset of the preceding effective claim, if the log still contains
    /// it.
    std::optional<log_offset> previous;
    /// True when the previous lease holder released the shard to this node.
    bool handed_over = false;
    /// True when the ownership module knows that no node has ever owned the
    /// shard.
    bool first = false;
};

/// The key shards that this node owns. It permits the execution of each key's
/// work once, and answers repeated requests from its records. Its counterpart
/// on entry nodes is entry_key_tracker. docs/design/at-most-once.md argues why
/// no key's work is executed twice.
class key_owner {
public:
    explicit key_owner(key_settings settings)
        : settings_(settings)
        , memory_(settings.most_records, settings.most_answer_bytes) {}
    // Not copyable: the tables refer to the settings and the memory counter of
    // this object.
    key_owner(key_owner const&) = delete;
    key_owner& operator=(key_owner const&) = delete;

    /// Handles a claim of this node on a shard that took effect.
    /// @param shard the shard that was gained
    /// @param claim the claim, as the log shows it
    /// @param clock this node's clocks, read for this event
    void on_shard_gained(
        key_shard shard, key_claim const& claim, clock_reading const& clock);
    /// Drops the shard's table after another node's claim on the shard took
    /// effect.
    void on_shard_lost(key_shard shard);

    /// Handles a permission request and queues the reply.
    /// @param from    the entry node that sent the message
    /// @param message the permission request
    /// @param authority_until when this node's authority over the shard ends;
    ///        the epoch of the clock when it has none
    /// @param clock   this node's clocks, read for this event
    void on_permission_request(
        node_id const& from, key_permission_request const& message,
        instant authority_until, clock_reading const& clock);
    /// Records how the work under a key completed, and replies to the requests
    /// that wait for it. Parameters as for on_permission_request.
    void on_completion(
        node_id const& from, key_completion const& completion,
        instant authority_until, clock_reading const& clock);
    /// Records which keys an entry node is still executing.
    void on_heartbeat(
        node_id const& from, key_heartbeat const& heartbeat,
        clock_reading const& clock);
    /// Receives one part of a table that a shard owner hands over to this node.
    void on_handover(key_handover const& part, clock_reading const& clock);
    /// Closes a shard: the table gives no further permissions under its present
    /// claim.
    /// @returns the shard's table in parts. The component that calls this
    ///        function sends them inside the ownership module's handover offer,
    ///        or as messages before the release is appended to the log.
    std::vector<key_handover> close_and_export(key_shard shard);
    /// Resumes giving permissions after a handover was aborted and its copy of
    /// the table became void. This is safe only when the copy was sent inside
    /// the aborted offer, never as messages, which a successor might still
    /// accept as complete.
    void reopen(key_shard shard);
    /// Closes a shard for good, and sends its table to the successor as
    /// messages.
    /// @param shard     the shard to hand over
    /// @param successor the next owner; an empty id when there is none
    void hand_over(key_shard shard, node_id const& successor);
    /// Marks keys of unreachable entry nodes as unknown, and removes expired
    /// records. Called periodically.
    void tick(clock_reading const& clock);

    /// @returns the queued actions, in order; empties the queue
    std::vector<key_action> take_actions();
    /// @returns the number of records over all shards
    std::size_t records() const noexcept { return memory_.records(); }
    /// @returns the bytes of stored answers over all shards
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
