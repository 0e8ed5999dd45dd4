#pragma once

#include "Gateway/gateway_beliefs.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <string_view>

namespace camphorpoint {

/// Whether the store can be reached, by the readings of this node.
class store_watch {
public:
    /// @param beliefs   where the belief stands; must outlive the watch
    /// @param came_back called when the store answers again
    store_watch(gateway_beliefs& beliefs, std::function<void()> came_back);

    /// A reading has been answered.
    void answered();
    /// A reading has failed.
    /// @param topic what was read
    /// @param began when
    /// @param seen  what came of it
    /// @param why   how it failed
    void failed(
        platform::store_topic topic, instant began,
        platform::store_reading const& seen, platform::store_failure why);

private:
    gateway_beliefs* beliefs_;
    std::function<void()> came_back_;
    instant last_answer_;
};

/// Writes a line on a reading that has brought records or has failed.
/// @param how   which reading it was
/// @param from  where it began
/// @param began when it began
/// @param seen  what came of it
void note_reading(
    gateway_beliefs& beliefs, platform::store_topic topic, std::string_view how,
    std::uint64_t from, instant began, platform::store_reading const& seen,
    platform::store_result<platform::keyed_batch> const& brought);

} // namespace camphorpoint
