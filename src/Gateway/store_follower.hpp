#pragma once

#include "Gateway/gateway_beliefs.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace camphorpoint {

/// Follows what the operator declares and what the replicas say of themselves,
/// from the store into this node's beliefs.
class store_follower {
public:
    /// @param beliefs where what is read goes; must outlive the follower
    /// @param store   the store's client; must outlive the follower
    /// @param changed called when replicas or versions have changed
    store_follower(
        gateway_beliefs& beliefs, platform::store_client& store,
        std::function<void()> changed);

    /// Begins to follow.
    void start();
    /// Ends at the next answer.
    void stop() { running_ = false; }

private:
    /// Where a topic has been read to; 0 when it must be read whole.
    struct place {
        std::string topic;
        std::uint64_t next = 0;
        bool whole = true;
    };

    boost::asio::awaitable<void> follow_operator();
    boost::asio::awaitable<void> follow_replicas();
    boost::asio::awaitable<platform::store_result<platform::keyed_batch>>
    read(place const& at);
    boost::asio::awaitable<bool> step(place& at);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    void note_store(bool answered, std::string_view what);
    void take_operator(platform::keyed_record const& record);
    void take_configuration(std::string const& text);
    void take_version(std::string const& text);
    void take_replica(platform::keyed_record const& record);
    void take_whole_list(platform::keyed_batch const& batch);
    void note_gone(endpoint_id const& id);

    gateway_beliefs* beliefs_;
    platform::store_client* store_;
    std::function<void()> changed_;
    bool running_ = true;
};

} // namespace camphorpoint
