#pragma once

#include "Keys/clock_reading.hpp"
#include "Keys/key_memory.hpp"
#include "Keys/key_messages.hpp"
#include "Keys/key_record.hpp"
#include "Keys/key_settings.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorpoint {

/// A reply and the entry node that it is sent to.
struct addressed_reply {
    node_id to;
    key_reply reply;
};

/// The records of one shard's keys at the owner of the shard.
class key_table {
public:
    /// @param settings limits and times; must outlive the table
    /// @param memory   counts records and answers over all tables of this node;
    ///        must outlive the table
    /// @param shard    the shard whose keys are recorded
    key_table(
        key_settings const& settings, internal::key_memory& memory,
        key_shard shard);
    key_table(key_table const&) = delete;
    key_table& operator=(key_table const&) = delete;
    ~key_table();

    /// Starts a new claim, under which the table gives permissions.
    /// @param fencing log offset of the claim
    void begin_claim(log_offset fencing);
    /// Sets a bound: work under keys with a time up to the bound may have been
    /// executed without a record in this table.
    void set_unknown_up_to(wall_time bound);
    /// Stops giving permissions until the next claim.
    void close() noexcept { closed_ = true; }

    /// Handles a permission request and queues the reply.
    /// @param from          the entry node that sent the message
    /// @param message       the permission request
    /// @param has_authority true while this node has authority over the shard
    /// @param clock         this node's clocks, read for this event
    void on_permission_request(
        node_id const& from, key_permission_request const& message,
        bool has_authority, clock_reading const& clock);
    /// Records a completion.
    /// @returns true when the entry node need not send it again
    bool on_completion(
        node_id const& from, key_completion const& completion,
        bool has_authority, clock_reading const& clock);
    /// Records that an entry node is executing a key's work.
    void on_heartbeat(
        node_id const& from, running_key const& running,
        clock_reading const& clock);
    /// Marks keys as unknown whose entry node has sent no heartbeat within
    /// key_settings::entry_timeout, and removes some expired records.
    void tick(clock_reading const& clock);

    /// Imports the records of the previous owner. A record that this table has
    /// already is kept, except that a completion is merged into it.
    /// @param records the previous owner's records
    /// @param bound   the previous owner's own bound, see set_unknown_up_to; it
    ///        replaces the bound of this table
    /// @param clock   this node's clocks, read for this event
    void import_records(
        std::vector<key_record> const& records, wall_time bound,
        clock_reading const& clock);
    /// @returns the full table in parts of at most `handover_part_bytes`
    std::vector<key_handover> export_parts() const;

    /// @returns the log offset of the claim under which permissions are given
    log_offset fencing() const noexcept { return fencing_; }
    /// @returns true while the table gives no permissions: before its first
    ///        claim, and after close()
    bool closed() const noexcept { return closed_; }
    /// @returns the record of a key, or null
    key_record const* find(idempotency_key const& key) const;
    /// @returns the queued replies, in order; empties the queue
    std::vector<addressed_reply> drain_replies();

private:
    struct waiter {
        node_id entry_node;
        request_id request;
        std::uint32_t attempt = 0;
        instant until;
    };
    struct entry {
        key_record record;
        instant last_seen;
        std::vector<waiter> waiters;
    };
    using entry_map = std::map<idempotency_key, entry>;

    void handle_known_key(
        entry& known, node_id const& from,
        key_permission_request const& message, bool has_authority,
        clock_reading const& clock);
    void handle_incomplete_key(
        entry& known, node_id const& from,
        key_permission_request const& message, clock_reading const& clock);
    void handle_new_key(
        node_id const& from, key_permission_request const& message,
        clock_reading const& clock);
    void add_waiter(
        entry& known, node_id const& from,
        key_permission_request const& message, clock_reading const& clock);
    reason check_key_time(
        key_permission_request const& message,
        clock_reading const& clock) const;
    void grant_permission(
        entry& known, node_id const& from,
        key_permission_request const& message, instant now);
    void complete_new_key(
        node_id const& from, key_completion const& completion,
        clock_reading const& clock);
    void complete_known_key(
        entry& known, node_id const& from, key_completion const& completion,
        clock_reading const& clock);
    void reassign_permission(entry& known, clock_reading const& clock);
    void complete(entry& known, std::string const& answer);
    void merge(entry& known, key_record const& other);
    void notify_waiters(entry& known);
    void keep_answer(entry& known, std::string const& answer);
    void drop_answer(entry& known);
    void mark_unknown(entry& known, reason why);
    void remove_expired(wall_time now);
    entry* make_entry(
        idempotency_key const& key, std::uint64_t digest, bool idempotent,
        wall_time now);
    void send(node_id const& to, key_reply const& reply);
    void reply(
        node_id const& to, key_permission_request const& message,
        key_verdict what, reason why);
    void reply_done(
        node_id const& to, request_id const& request, std::uint32_t attempt,
        entry const& known);
    void reply_run(entry const& known);

    key_settings const& settings_;
    internal::key_memory& memory_;
    key_shard shard_;
    log_offset fencing_;
    bool closed_ = true;
    wall_time unknown_up_to_{};
    std::uint64_t next_permission_ = 1;
    entry_map entries_;
    /// Keys in state running, so that a tick need not search all records.
    std::set<idempotency_key> running_;
    /// Key at which the search for expired records continues.
    idempotency_key cursor_;
    /// Keys with stored answers, the oldest answer first.
    std::deque<idempotency_key> keys_with_answer_;
    std::vector<addressed_reply> replies_;
};

} // namespace camphorpoint
