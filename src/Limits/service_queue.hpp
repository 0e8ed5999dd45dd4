#pragma once

#include "Limits/service_messages.hpp"

#include <array>
#include <cstdint>
#include <iterator>
#include <optional>
#include <set>
#include <vector>

namespace camphorpoint::internal {

/// Requests that wait for a plain service: by urgency, and within one class by
/// earliest deadline.
class service_queue {
public:
    struct item {
        service_request request;
        instant since;
        /// Keeps requests with the same deadline in order of arrival.
        std::uint64_t number = 0;
        friend bool operator<(item const& left, item const& right) {
            if (left.request.deadline != right.request.deadline) {
                return left.request.deadline < right.request.deadline;
            }
            return left.number < right.number;
        }
    };

    /// Adds a request.
    void push(service_request const& request, instant now) {
        class_of(request.how_urgent).insert({request, now, ++numbered_});
    }
    /// @returns how many requests are queued
    std::size_t size() const noexcept {
        std::size_t count = 0;
        for (auto const& each : classes_) {
            count += each.size();
        }
        return count;
    }
    bool empty() const noexcept { return size() == 0; }
    /// @returns how many requests of this class and more urgent ones wait
    std::size_t ahead_of(urgency how_urgent) const noexcept {
        std::size_t count = 0;
        for (std::size_t each = 0; each <= index_of(how_urgent); ++each) {
            count += classes_[each].size();
        }
        return count;
    }
    /// Takes the next request to dispatch. Every `fair_turn`th goes to the
    /// least urgent class that waits: strict order would starve it for good
    /// while more urgent work fills the services.
    std::optional<item> pop() {
        bool const lowest_first = ++turns_ % fair_turn == 0;
        for (std::size_t step = 0; step < urgency_count; ++step) {
            std::size_t const place =
                lowest_first ? urgency_count - 1 - step : step;
            if (!classes_[place].empty()) {
                return classes_[place].extract(classes_[place].begin()).value();
            }
        }
        return std::nullopt;
    }
    /// Takes the request that can wait best, if it is less urgent.
    std::optional<item> pop_below(urgency how_urgent) {
        for (std::size_t place = urgency_count - 1;
             place > index_of(how_urgent); --place) {
            if (!classes_[place].empty()) {
                auto const last = std::prev(classes_[place].end());
                return classes_[place].extract(last).value();
            }
        }
        return std::nullopt;
    }
    /// Takes out all requests for which a condition holds.
    template <class Condition>
    std::vector<item> extract_if(Condition condition) {
        std::vector<item> result;
        for (auto& each : classes_) {
            for (auto place = each.begin(); place != each.end();) {
                if (condition(*place)) {
                    result.push_back(*place);
                    place = each.erase(place);
                } else {
                    ++place;
                }
            }
        }
        return result;
    }

private:
    static constexpr std::uint64_t fair_turn = 16;

    static std::size_t index_of(urgency how_urgent) noexcept {
        return static_cast<std::size_t>(how_urgent);
    }
    std::set<item>& class_of(urgency how_urgent) {
        return classes_[index_of(how_urgent)];
    }

    std::array<std::set<item>, urgency_count> classes_;
    std::uint64_t numbered_ = 0;
    std::uint64_t turns_ = 0;
};

} // namespace camphorpoint::internal
