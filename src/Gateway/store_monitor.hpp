#pragma once

#include "Gateway/gateway_state.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <optional>
#include <string_view>

namespace camphorpoint {

/// Source of a reported store epoch, for the log: the store's own answer, or
/// another node's message.
inline constexpr std::string_view epoch_from_answer = "answer";
inline constexpr std::string_view epoch_from_peer = "word";

/// Tracks whether this node's polls reach the store, and whether the store was
/// rolled back to an older snapshot.
class store_monitor {
public:
    /// @param state holds the tracked state; must outlive the monitor
    /// @param on_recovered called when the store answers again after an outage
    /// @param on_rollback called when the store was rolled back, with the time
    ///        at which this node should read it in full
    store_monitor(
        gateway_state& state, std::function<void()> on_recovered,
        std::function<void(store_epoch epoch, instant read_at)> on_rollback);

    /// Records that the store has answered.
    void note_answer();
    /// Records the store epoch that an answer or another node's message
    /// contains.
    /// @param by source of the epoch, for the log
    void observe_epoch(store_epoch epoch, std::string_view by);
    /// Records that a topic was read in full.
    /// @param epoch store epoch in which it was read
    void note_snapshot(platform::store_topic topic, store_epoch epoch);
    /// Records that a poll has failed.
    /// @param topic what was polled
    /// @param began when the poll began
    /// @param reading progress of the poll
    /// @param failure how it failed
    void note_failure(
        platform::store_topic topic, instant began,
        platform::store_reading const& reading,
        platform::store_failure failure);

private:
    gateway_state* state_;
    std::function<void()> on_recovered_;
    std::function<void(store_epoch epoch, instant read_at)> on_rollback_;
    /// When the current epoch was first observed, until all topics have been
    /// read in full in it.
    std::optional<instant> epoch_observed_at_;
    bool registry_complete_ = false;
    bool declarations_complete_ = false;
    instant last_answer_;
};

/// Logs a poll that has returned records or has failed.
/// @param how kind of the poll
/// @param from offset at which it began
/// @param began when it began
/// @param reading progress of the poll
/// @param result records or the failure
void log_store_read(
    gateway_state& state, platform::store_topic topic, std::string_view how,
    std::uint64_t from, instant began, platform::store_reading const& reading,
    platform::store_result<platform::keyed_batch> const& result);

} // namespace camphorpoint
