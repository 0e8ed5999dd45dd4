#pragma once

#include "Core/time.hpp"
#include "Limits/answer_budget.hpp"
#include "Settings/node_settings.hpp"

#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <string_view>

namespace camphorpoint {

namespace internal {
struct http_connection;
} // namespace internal

/// How many idle connections are kept, and how long.
struct http_pool_limits {
    std::size_t idle_per_endpoint = 16;
    std::size_t idle_in_all = 512;
    /// Below the time after which servers commonly close an idle connection.
    std::chrono::milliseconds idle_time{4'000};
};

/// Keeps idle connections for reuse, the newest in use first, and the budget of
/// the answers that its calls read.
class http_pool {
public:
    using connection_ptr = std::unique_ptr<internal::http_connection>;

    /// @param answers bounds the bodies of its calls' answers; not null
    explicit http_pool(
        http_pool_limits limits = {}, std::shared_ptr<answer_budget> answers =
                                          std::make_shared<answer_budget>());
    ~http_pool();
    http_pool(http_pool const&) = delete;
    http_pool& operator=(http_pool const&) = delete;

    /// @param idle_at_most older ones are left, as for a request that can't be
    ///        sent again when the server has dropped the connection unnoticed
    /// @param id           connections that have carried a request with this
    ///                     id are left; empty for a request without an id
    /// @param all_named    connections on which an answer without an id may
    ///                     come late are left
    /// @returns an idle connection that the server has not closed, or null
    connection_ptr take(
        ip_address const& to, instant now,
        duration idle_at_most = duration::max(), std::string_view id = {},
        bool all_named = false);
    /// Keeps a connection whose last answer was read whole, unless it has
    /// carried as many requests as it may; past the limits the oldest is
    /// closed.
    /// @param longest how long the server keeps it at the most, if it said so
    void give(
        ip_address const& to, connection_ptr connection, instant now,
        duration longest = duration::max());
    /// Closes all idle connections to a server, as when one of them has gone
    /// silent: what silenced it may have silenced the others.
    void drop(ip_address const& to);
    /// @returns how many connections are idle
    std::size_t idle() const noexcept { return count_; }
    /// @returns what bounds the bodies of its calls' answers
    answer_budget& answers() const noexcept { return *answers_; }

private:
    struct kept {
        connection_ptr connection;
        instant since;
        duration longest;
    };
    using kept_list = std::list<kept>;

    void drop_old(instant now);
    void drop_oldest();

    http_pool_limits limits_;
    std::shared_ptr<answer_budget> answers_;
    std::map<ip_address, kept_list> idle_;
    std::size_t count_ = 0;
};

} // namespace camphorpoint
