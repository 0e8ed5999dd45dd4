#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <string>

namespace camphorpoint {

/// How many retries are allowed, and how they are spread over time.
struct retry_settings {
    /// Retries allowed per request.
    double retries_per_request = 0.1;
    /// Retries per second that are allowed at any request rate, so that a
    /// caller that sends few requests can retry at all.
    double min_retries_per_second = 0.5;
    /// Most retries that an unused budget accumulates.
    double max_saved_retries = 10.0;
    /// Most budgets in memory, for caller groups and for endpoints separately.
    std::size_t max_budgets = 4'096;
    /// Longest delay of the first retry; doubled for each further retry.
    std::chrono::milliseconds initial_backoff{25};
    /// Longest delay of any retry.
    std::chrono::milliseconds max_backoff{2'000};
};

/// Token bucket that is filled by requests and by the passing of time, and
/// emptied by retries. One token is one retry.
/// Reference: B. Beyer et al., "Site Reliability Engineering", O'Reilly 2016,
/// chapter 21, on per-client retry budgets.
class token_bucket {
public:
    /// The bucket starts with one token, so that a first failure can be
    /// retried.
    token_bucket(retry_settings const& settings, instant now)
        : tokens_(std::min(1.0, settings.max_saved_retries))
        , refilled_at_(now) {}

    /// Credits the bucket for a request that is not a retry.
    void deposit(retry_settings const& settings) noexcept {
        tokens_ = std::min(
            settings.max_saved_retries, tokens_ + settings.retries_per_request);
    }
    /// Refills the bucket for the time since the last call.
    /// @returns true when one retry is allowed now
    bool has_token(retry_settings const& settings, instant now) noexcept {
        std::chrono::duration<double> const elapsed = now - refilled_at_;
        double const refill = elapsed.count() * settings.min_retries_per_second;
        tokens_ = std::min(settings.max_saved_retries, tokens_ + refill);
        refilled_at_ = now;
        return tokens_ >= 1.0;
    }
    /// Consumes one token. `has_token` must have returned true just before.
    void consume_token() noexcept { tokens_ -= 1.0; }

private:
    double tokens_;
    instant refilled_at_;
};

/// Token buckets by name. When the map is full, the least recently used bucket
/// is evicted for a new one.
template <class Name>
class bucket_map {
public:
    /// @returns the bucket of the name, created if absent
    token_bucket&
    at(Name const& name, retry_settings const& settings, instant now) {
        auto const found = index_.find(name);
        if (found != index_.end()) {
            by_recency_.splice(by_recency_.begin(), by_recency_, found->second);
            return by_recency_.front().bucket;
        }
        if (index_.size() >= settings.max_budgets) {
            index_.erase(by_recency_.back().name);
            by_recency_.pop_back();
        }
        by_recency_.push_front({name, token_bucket(settings, now)});
        index_[name] = by_recency_.begin();
        return by_recency_.front().bucket;
    }
    /// @returns how many buckets are in memory
    std::size_t size() const noexcept { return index_.size(); }

private:
    struct named_bucket {
        Name name;
        token_bucket bucket;
    };
    std::list<named_bucket> by_recency_;
    std::map<Name, typename std::list<named_bucket>::iterator> index_;
};

/// Decides whether a retry is allowed. Guards against a retry storm after the
/// failure of a failure domain: each failed request would be repeated several
/// times, and the remaining endpoints would fail under that load too. Each
/// retry consumes a token that requests or time have deposited, so that over
/// any period the number of retries, for each endpoint and for each caller
/// group, is at most
/// `retries_per_request * requests + min_retries_per_second * seconds +
/// max_saved_retries`.
class retry_budget {
public:
    explicit retry_budget(retry_settings const& settings)
        : settings_(settings) {}

    /// Credits the budgets for the first attempt of a request.
    /// @param to    the endpoint that the attempt is sent to
    /// @param group the caller group of the request, such as an API key
    void
    on_request(endpoint_id const& to, std::string const& group, instant now) {
        endpoints_.at(to, settings_, now).deposit(settings_);
        groups_.at(group, settings_, now).deposit(settings_);
    }

    /// Takes one retry from the endpoint's and the caller group's budget, or
    /// from neither.
    /// @param failed_endpoint the endpoint that the earlier attempt failed on
    /// @param group           the caller group of the request
    /// @returns true when the retry is allowed
    bool try_retry(
        endpoint_id const& failed_endpoint, std::string const& group,
        instant now) {
        token_bucket& endpoint_bucket =
            endpoints_.at(failed_endpoint, settings_, now);
        token_bucket& group_bucket = groups_.at(group, settings_, now);
        if (!endpoint_bucket.has_token(settings_, now)) {
            ++refused_by_endpoint_;
            return false;
        }
        if (!group_bucket.has_token(settings_, now)) {
            ++refused_by_group_;
            return false;
        }
        endpoint_bucket.consume_token();
        group_bucket.consume_token();
        ++allowed_;
        return true;
    }

    /// Computes a random delay before a retry, so that requests that failed at
    /// the same time are not retried at the same time.
    /// Reference: M. Brooker, "Exponential Backoff And Jitter", AWS
    /// Architecture Blog, 2015 ("full jitter").
    /// @param retry  number of the retry; 1 for the first retry of a request
    /// @param random seeded generator
    /// @returns the delay before the retry
    duration backoff(std::uint32_t retry, std::mt19937_64& random) const {
        constexpr std::uint32_t max_doublings = 16;
        std::uint32_t const doublings =
            std::min(retry == 0 ? 0U : retry - 1U, max_doublings);
        auto const cap = std::min<std::chrono::milliseconds>(
            settings_.max_backoff,
            settings_.initial_backoff * (1U << doublings));
        duration const max_wait = cap;
        std::uniform_int_distribution<std::int64_t> distribution(
            0, max_wait.count());
        return duration(distribution(random));
    }

    /// @returns retries allowed so far
    std::uint64_t allowed() const noexcept { return allowed_; }
    /// @returns retries refused because the endpoint's budget was empty
    std::uint64_t refused_by_endpoint() const noexcept {
        return refused_by_endpoint_;
    }
    /// @returns retries refused because the caller group's budget was empty
    std::uint64_t refused_by_group() const noexcept {
        return refused_by_group_;
    }
    /// @returns how many caller groups have a budget in memory
    std::size_t groups() const noexcept { return groups_.size(); }

private:
    retry_settings settings_;
    bucket_map<endpoint_id> endpoints_;
    bucket_map<std::string> groups_;
    std::uint64_t allowed_ = 0;
    std::uint64_t refused_by_endpoint_ = 0;
    std::uint64_t refused_by_group_ = 0;
};

} // namespace camphorpoint
