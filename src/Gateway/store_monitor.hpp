#pragma once

#include "Gateway/gateway_state.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <optional>
#include <string_view>

namespace camphorpoint {

/// Who has named an era: the store itself, or another node.
inline constexpr std::string_view epoch_from_answer = "answer";
inline constexpr std::string_view epoch_from_peer = "word";

/// Whether the store can be reached, by the readings of this node, and whether
/// it has come back from an older copy.
class store_monitor {
public:
    /// @param beliefs   where the belief stands; must outlive the watch
    /// @param on_recovered called when the store answers again
    /// @param on_rollback called when the store has come back from an older
    /// copy,
    ///                  with the time at which this node is to read it whole
    store_monitor(
        gateway_state& state, std::function<void()> on_recovered,
        std::function<void(store_epoch epoch, instant read_at)> on_rollback);

    /// A reading has been answered.
    void note_answer();
    /// An answer, or another node's word, has named the store's era.
    /// @param by for the log: who has named it
    void observe_epoch(store_epoch epoch, std::string_view by);
    /// Records were read whole.
    void note_snapshot(platform::store_topic topic, store_epoch epoch);
    /// A reading has failed.
    /// @param topic what was read
    /// @param began when
    /// @param seen  what came of it
    /// @param why   how it failed
    void note_failure(
        platform::store_topic topic, instant began,
        platform::store_reading const& reading,
        platform::store_failure failure);

private:
    gateway_state* state_;
    std::function<void()> on_recovered_;
    std::function<void(store_epoch epoch, instant read_at)> on_rollback_;
    /// When the present era was met, until all is read whole in it.
    std::optional<instant> epoch_observed_at_;
    bool registry_complete_ = false;
    bool declarations_complete_ = false;
    instant last_answer_;
};

/// Writes a line on a reading that has brought records or has failed.
/// @param how   which reading it was
/// @param from  where it began
/// @param began when it began
/// @param seen  what came of it
void log_store_read(
    gateway_state& state, platform::store_topic topic, std::string_view how,
    std::uint64_t from, instant began, platform::store_reading const& reading,
    platform::store_result<platform::keyed_batch> const& result);

} // namespace camphorpoint
