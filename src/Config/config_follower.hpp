#pragma once

#include "Config/checkpoint_search.hpp"
#include "Config/config_messages.hpp"
#include "Config/configuration.hpp"
#include "Config/follower_settings.hpp"
#include "Config/record_buffer.hpp"
#include "Config/state_assembler.hpp"
#include "Config/state_sender.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"
#include "Records/log_record.hpp"
#include "Telemetry/log_event.hpp"

#include <map>
#include <optional>
#include <random>
#include <string_view>
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
    /// reads at once, and asks the peer that named it. Also to be called with
    /// one past the offset that an append of this node was given.
    /// @param wanted what the peer has, its next()
    /// @param peer   who named it; empty when nobody did
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
    struct offer {
        node_id peer;
        log_offset next;
    };
    /// One round of asks to peers.
    struct ask_round {
        std::uint64_t number = 0;
        instant sent;
        std::size_t open = 0;
        /// The highest of the answers.
        std::optional<offer> best;
        /// True when an answer's records led ahead.
        bool progress = false;
    };
    struct transfer {
        std::uint64_t number = 0;
        node_id peer;
        instant last_part;
        state_assembler parts;
    };

    void begin_read(instant now, config_actions& out);
    void follow(log_batch const& batch, instant now, config_actions& out);
    void take(log_record const& record, config_actions& out);
    log_offset closed_checkpoint(log_record const& record, config_actions& out);
    void note_checkpoint(log_offset covers, wall_time written);
    void confirm(instant when, config_actions& out);
    void begin_search(log_batch const& batch, instant now, config_actions& out);
    void search(log_batch const& batch, instant now, config_actions& out);
    void
    end_search_pass(log_batch const& batch, instant now, config_actions& out);
    void report_no_checkpoint(
        log_batch const& batch, instant now, config_actions& out);
    bool adopt(
        configuration_state const& state, std::string_view source,
        config_actions& out);
    void become_ready(config_actions& out);
    bool log_is_failing(instant now) const;
    void ask_when_due(instant now, config_actions& out);
    void
    ask(std::vector<node_id> const& peers, instant now, config_actions& out);
    void finish_round(instant now, config_actions& out);
    void begin_transfer(node_id const& peer, instant now, config_actions& out);
    void handle(
        node_id const& from, config_ask const& message, instant now,
        config_actions& out);
    void handle(
        node_id const& from, config_records const& message, instant now,
        config_actions& out);
    void handle(
        node_id const& from, config_state const& message, instant now,
        config_actions& out);
    bool take_copies(config_records const& message, config_actions& out);
    void compare(
        node_id const& from, log_offset next, std::uint64_t digest,
        config_actions& out);
    config_records summary(instant now) const;
    void add_kept(log_offset since, config_records& message) const;
    void push_news(
        log_offset since, node_id const& but, instant now, config_actions& out);
    std::vector<node_id> some_peers(node_id const& but, std::size_t most);
    void report_staleness(instant now, config_actions& out);

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
    /// Before this, nothing urgent is read for.
    instant next_urgent_{};
    /// True when something newer was heard of during a read.
    bool read_again_ = false;
    std::uint32_t failures_ = 0;
    /// True when the records after next() are gone and the log holds no
    /// checkpoint either.
    bool lost_place_ = false;
    /// True when there is no checkpoint and the log still has all records.
    bool replay_all_ = false;
    std::optional<checkpoint_search> search_;

    std::uint64_t last_number_ = 0;
    instant next_ask_{};
    std::optional<ask_round> round_;
    std::optional<transfer> transfer_;
    state_sender sender_;
    record_buffer kept_;

    state_assembler passing_checkpoints_;
    std::optional<seen_checkpoint> last_checkpoint_;
    std::optional<wall_time> oldest_record_;
    /// The offset at which a peer's digest was last reported to differ.
    std::map<node_id, log_offset> reported_;
    bool stale_reported_ = false;
};

} // namespace camphorpoint
