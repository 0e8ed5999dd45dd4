#pragma once

#include "Limits/service_messages.hpp"

#include <array>
#include <cstdint>
#include <iterator>
#include <optional>
#include <set>
#include <vector>

namespace camphorpoint::internal {

/// Queue of requests for a plain service, ordered by urgency class and within a
/// class by earliest deadline.
class service_queue {
public:
    struct entry {
        service_request request;
        instant queued_at;
        /// Keeps requests with the same deadline in order of arrival.
        std::uint64_t number = 0;
        friend bool operator<(entry const& left, entry const& right) {
            if (left.request.deadline != right.request.deadline) {
                return left.request.deadline < right.request.deadline;
            }
            return left.number < right.number;
        }
    };

    /// Adds a request to the queue.
    void push(service_request const& request, instant now) {
        class_of(request.how_urgent).insert({request, now, ++last_number_});
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
    /// @returns how many requests of this and of more urgent classes are queued
    std::size_t ahead_of(urgency how_urgent) const noexcept {
        std::size_t count = 0;
        for (std::size_t each = 0; each <= index_of(how_urgent); ++each) {
            count += classes_[each].size();
        }
        return count;
    }
    /// Removes the next request to dispatch. Every `fairness_interval`th call
    /// serves the least urgent class that has requests: strict priority would
    /// starve that class while more urgent requests use all the capacity.
    /// @returns the request; empty when the queue is empty
    std::optional<entry> pop() {
        bool const least_urgent_first = ++pop_count_ % fairness_interval == 0;
        for (std::size_t step = 0; step < urgency_count; ++step) {
            std::size_t const class_index =
                least_urgent_first ? urgency_count - 1 - step : step;
            if (!classes_[class_index].empty()) {
                return classes_[class_index]
                    .extract(classes_[class_index].begin())
                    .value();
            }
        }
        return std::nullopt;
    }
    /// Removes the request with the latest deadline from the least urgent class
    /// that has requests, if that class is less urgent than this one.
    /// @returns the request; empty when there is no less urgent one
    std::optional<entry> pop_less_urgent(urgency how_urgent) {
        for (std::size_t class_index = urgency_count - 1;
             class_index > index_of(how_urgent); --class_index) {
            if (!classes_[class_index].empty()) {
                auto const last = std::prev(classes_[class_index].end());
                return classes_[class_index].extract(last).value();
            }
        }
        return std::nullopt;
    }
    /// Removes all requests for which a condition holds.
    /// @returns the removed requests, more urgent classes first
    template <class Condition>
    std::vector<entry> extract_if(Condition condition) {
        std::vector<entry> result;
        for (auto& each : classes_) {
            for (auto position = each.begin(); position != each.end();) {
                if (condition(*position)) {
                    result.push_back(*position);
                    position = each.erase(position);
                } else {
                    ++position;
                }
            }
        }
        return result;
    }

private:
    static constexpr std::uint64_t fairness_interval = 16;

    static std::size_t index_of(urgency how_urgent) noexcept {
        return static_cast<std::size_t>(how_urgent);
    }
    std::set<entry>& class_of(urgency how_urgent) {
        return classes_[index_of(how_urgent)];
    }

    std::array<std::set<entry>, urgency_count> classes_;
    std::uint64_t last_number_ = 0;
    std::uint64_t pop_count_ = 0;
};

} // namespace camphorpoint::internal
