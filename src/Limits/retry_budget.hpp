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

/// How many retries are allowed, and how they are spread.
struct retry_settings {
    /// Retries allowed for each request.
    double retries_per_request = 0.1;
    /// Retries a second that are allowed however few requests there are, so
    /// that a quiet caller may retry at all.
    double min_retries_per_second = 0.5;
    /// The most that a budget saves up, in retries.
    double max_saved_retries = 10.0;
    /// Budgets kept, of callers' groups and of endpoints each.
    std::size_t max_budgets = 4'096;
    /// The first retry waits up to this, each further one up to twice as long.
    std::chrono::milliseconds initial_backoff{25};
    /// No retry waits longer.
    std::chrono::milliseconds max_backoff{2'000};
};

/// A token bucket that requests fill and retries drain.
/// Reference: B. Beyer et al., "Site Reliability Engineering", O'Reilly 2016,
/// chapter 21, on per-client retry budgets.
class token_bucket {
public:
    /// Starts with one retry saved, so that a first failure may be retried.
    token_bucket(retry_settings const& settings, instant now)
        : tokens_(std::min(1.0, settings.max_saved_retries))
        , refilled_at_(now) {}

    /// A request (not a retry) was made.
    void deposit(retry_settings const& settings) noexcept {
        tokens_ = std::min(
            settings.max_saved_retries, tokens_ + settings.retries_per_request);
    }
    /// @returns true when one retry may be taken now
    bool has_token(retry_settings const& settings, instant now) noexcept {
        std::chrono::duration<double> const elapsed = now - refilled_at_;
        double const refill = elapsed.count() * settings.min_retries_per_second;
        tokens_ = std::min(settings.max_saved_retries, tokens_ + refill);
        refilled_at_ = now;
        return tokens_ >= 1.0;
    }
    /// Takes one retry; `has_token` must just have said true.
    void consume_token() noexcept { tokens_ -= 1.0; }

private:
    double tokens_;
    instant refilled_at_;
};

/// Token buckets by name; the one unused for longest makes room for a new one.
template <class Name>
class bucket_map {
public:
    /// @returns the name's bucket, a new one when there is none
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
    /// @returns how many buckets are kept
    std::size_t size() const noexcept { return index_.size(); }

private:
    struct named_bucket {
        Name name;
        token_bucket bucket;
    };
    std::list<named_bucket> by_recency_;
    std::map<Name, typename std::list<named_bucket>::iterator> index_;
};

/// Decides whether a retry may be made. Guards against the storm that shows
/// when a failure domain falls: each failed request would come back as several,
/// and the endpoints left would fail under them too. It holds since retries are
/// paid from what requests put in: over any span, retries are at most
/// ratio * requests + floor * seconds + max_saved_retries, for each endpoint
/// and for each caller's group.
class retry_budget {
public:
    explicit retry_budget(retry_settings const& settings)
        : settings_(settings) {}

    /// A first attempt goes to an endpoint.
    /// @param group whose request it is, such as the caller's API key
    void
    on_request(endpoint_id const& to, std::string const& group, instant now) {
        endpoints_.at(to, settings_, now).deposit(settings_);
        groups_.at(group, settings_, now).deposit(settings_);
    }

    /// Takes one retry from both budgets, or from neither.
    /// @param after the endpoint that the earlier attempt failed on
    /// @param group whose request it is
    /// @returns true when the retry may be made
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

    /// Spreads retries over time, so that requests that failed together do not
    /// come back together.
    /// Reference: M. Brooker, "Exponential Backoff And Jitter", AWS
    /// Architecture Blog, 2015 ("full jitter").
    /// @param retry  1 for a request's first retry
    /// @param random seeded generator
    /// @returns how long to wait
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
    /// @returns retries refused since the endpoint's budget was empty
    std::uint64_t refused_by_endpoint() const noexcept {
        return refused_by_endpoint_;
    }
    /// @returns retries refused since the caller group's budget was empty
    std::uint64_t refused_by_group() const noexcept {
        return refused_by_group_;
    }
    /// @returns caller groups that have a budget
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
