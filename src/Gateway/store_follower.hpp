#pragma once

#include "Fleet/list_turns.hpp"
#include "Gateway/gateway_beliefs.hpp"
#include "Gateway/peer_words.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorpoint {

/// Follows what the operator declares and what the replicas say of themselves,
/// from the store into this node's beliefs.
class store_follower {
public:
    /// @param beliefs where what is read goes; must outlive the follower
    /// @param store   the store's client; must outlive the follower
    /// @param words   tells other nodes what was read; must outlive the
    /// follower
    /// @param changed called when replicas or versions have changed
    store_follower(
        gateway_beliefs& beliefs, platform::store_client& store,
        peer_words& words, std::function<void()> changed);

    /// Begins to follow.
    void start();
    /// Ends at the next answer.
    void stop();
    /// Another node has read on in the list.
    void heard(peer_reading const& reading);
    /// Another node has read so far in what the operator declares.
    void heard_operator(std::uint64_t place);

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
    read(place const& at, platform::reading_progress& seen);
    boost::asio::awaitable<bool> step(place& at);
    boost::asio::awaitable<void> read_list(place& at);
    boost::asio::awaitable<void> catch_up();
    std::chrono::milliseconds operator_wait() const;
    void tell_list(std::uint64_t from, platform::keyed_batch const& batch);
    bool apply(replica_record const& record);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    void note_store(bool answered, std::string_view what);
    void note_reading(
        place const& at, instant began, platform::reading_progress const& seen,
        platform::store_result<platform::keyed_batch> const& brought);
    void take_operator(platform::keyed_record const& record);
    void take_configuration(std::string const& text);
    void take_version(std::string const& text);
    bool take_replica(platform::keyed_record const& record);
    void take_end(endpoint_id const& id);
    void take_whole_list(platform::keyed_batch const& batch);
    void note_gone(endpoint_id const& id);

    gateway_beliefs* beliefs_;
    platform::store_client* store_;
    peer_words* words_;
    std::function<void()> changed_;
    list_turns turns_;
    boost::asio::steady_timer list_timer_;
    bool catching_up_ = false;
    // Shared with the coroutines, which end after it has turned false.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
