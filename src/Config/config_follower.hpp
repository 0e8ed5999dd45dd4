#pragma once

#include "Config/config_messages.hpp"
#include "Config/configuration.hpp"
#include "Config/follower_settings.hpp"
#include "Config/state_assembler.hpp"
#include "Config/state_sender.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"
#include "Platform/log_record.hpp"
#include "Telemetry/log_event.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace camphorpoint {

/// Read the log's configuration stream.
struct config_read {
    log_offset from;
};

/// Send a message about configuration to a peer.
struct config_send {
    node_id to;
    config_message message;
};

/// A record was applied; for counters and the history.
struct config_applied {
    log_offset offset;
    apply_report report;
};

/// What the follower asks for.
using config_action =
    std::variant<config_read, config_send, config_applied, log_event>;
/// Actions in the order in which they are to be done.
using config_actions = std::vector<config_action>;

/// The newest whole checkpoint that passed by in the log.
struct seen_checkpoint {
    log_offset covers;
    /// When its closing part was appended, by the log service's clock.
    wall_time written;
};

/// Keeps this node's configuration up to date: polls the log, passes new
/// records on to peers, asks peers when the log does not answer, and starts
/// again from a checkpoint when its place in the log has expired.
/// It never goes back: every way in is refused unless it leads ahead.
class config_follower {
public:
    /// @param self     this node
    /// @param settings how to follow
    /// @param seed     of the jitter and of the choice of peers
    config_follower(
        node_id self, follower_settings settings, std::uint64_t seed);

    /// Time has passed; to be called every few tens of milliseconds.
    config_actions on_tick(instant now);
    /// The log answered a read of the configuration stream.
    config_actions on_batch(log_batch const& batch, instant now);
    /// A read of the configuration stream failed or was too late.
    config_actions on_read_failed(instant now);
    /// A peer sent a message about configuration.
    config_actions
    on_peer(node_id const& from, config_message const& message, instant now);
    /// A request or grant names a configuration offset ahead of this node's:
    /// reads at once, and asks the peer that named it.
    /// @param wanted what the peer has, its next()
    /// @param peer   who named it
    config_actions needs(log_offset wanted, node_id const& peer, instant now);
    /// Sets the live nodes, which may include this one.
    void set_peers(std::vector<node_id> peers);

    /// @returns the configuration in force on this node
    configuration const& current() const noexcept { return current_; }
    /// @returns true once there is a state to serve from
    bool ready() const noexcept { return ready_; }
    /// @returns when this node last knew that it was at the log's head: the
    /// start of the read that reached it, or a peer's such reading
    std::optional<instant> confirmed_at() const noexcept {
        return confirmed_at_;
    }
    /// @returns when the log or a peer last answered
    std::optional<instant> contact_at() const noexcept { return contact_at_; }
    /// @returns time since confirmed_at(); duration::max() when never
    duration stale_for(instant now) const noexcept;
    /// @returns none, not_ready or configuration_stale
    reason may_serve(instant now) const noexcept;
    /// @returns the time between two reads of the log, before jitter
    std::chrono::milliseconds poll_interval() const noexcept;
    /// @returns the newest whole checkpoint that is known to be in the log
    std::optional<seen_checkpoint> const& last_checkpoint() const noexcept {
        return last_checkpoint_;
    }
    /// @returns when the oldest record that this node read was appended
    std::optional<wall_time> oldest_record() const noexcept {
        return oldest_record_;
    }

private:
    /// Looking for a checkpoint, since the records after next() are gone or
    /// there are too many of them.
    struct checkpoint_search {
        /// Where this pass over the log began, and where it is now.
        log_offset begin;
        log_offset at;
        std::uint64_t reach = 0;
        state_assembler parts;
        std::optional<configuration_state> best;
    };
    struct offer {
        node_id peer;
        log_offset next;
    };
    /// One round of asks to peers.
    struct ask_round {
        std::uint64_t number = 0;
        instant sent;
        std::size_t open = 0;
        std::optional<offer> best;
    };
    struct transfer {
        std::uint64_t number = 0;
        node_id peer;
        instant last_part;
        state_assembler parts;
    };

    void begin_read(instant now, config_actions& out);
    void read_ended(instant now);
    void follow(log_batch const& batch, instant now, config_actions& out);
    void take(log_record const& record, config_actions& out);
    void observe(log_record const& record);
    void confirm(instant when);
    void begin_search(log_batch const& batch, config_actions& out);
    void search(log_batch const& batch, instant now, config_actions& out);
    void
    end_search_pass(log_batch const& batch, instant now, config_actions& out);
    void ask_peers(instant now, config_actions& out);
    void finish_round(instant now, config_actions& out);
    void on_ask(
        node_id const& from, config_ask const& ask, instant now,
        config_actions& out);
    void on_records(
        node_id const& from, config_records const& message, instant now,
        config_actions& out);
    void on_state(
        node_id const& from, config_state const& message, instant now,
        config_actions& out);
    void take_copies(
        config_records const& message, instant now, config_actions& out);
    void compare(
        node_id const& from, log_offset next, std::uint64_t digest,
        config_actions& out);
    config_records summary(instant now) const;
    void push_news(
        log_offset since, node_id const& but, instant now, config_actions& out);
    std::vector<node_id> some_peers(node_id const& but);
    bool adopt(
        configuration_state const& state, instant now, char const* source,
        config_actions& out);
    void keep(log_record const& record);

    node_id self_;
    follower_settings settings_;
    std::mt19937_64 random_;
    std::vector<node_id> peers_;
    configuration current_;
    bool ready_ = false;
    std::optional<instant> confirmed_at_;
    std::optional<instant> contact_at_;
    std::optional<instant> read_began_;
    instant next_read_{};
    instant next_ask_{};
    std::uint32_t failures_ = 0;
    bool lost_place_ = false;
    std::optional<checkpoint_search> search_;
    std::uint64_t last_number_ = 0;
    std::optional<ask_round> round_;
    std::optional<transfer> transfer_;
    state_sender sender_;
    std::deque<copied_record> kept_;
    state_assembler passing_checkpoints_;
    std::optional<seen_checkpoint> last_checkpoint_;
    std::optional<wall_time> oldest_record_;
    /// The last offset at which each peer's digest was found to differ.
    std::map<node_id, log_offset> reported_;
    bool stale_reported_ = false;
};

} // namespace camphorpoint
