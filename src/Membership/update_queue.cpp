#include "Membership/update_queue.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace camphorpoint {

namespace {

/// SWIM sends an update lambda * log(n) times. As each node sends three probes
/// and their acks per period, lambda = 3 is sufficient in the tested cluster
/// sizes.
constexpr std::uint32_t sends_per_doubling = 3;
/// Messages that are sent immediately for each urgent update.
constexpr std::size_t urgent_fanout = 4;
/// Bounds the traffic for urgent updates when an entire failure domain leaves.
constexpr std::size_t max_urgent_messages = 16;
/// cereal encodes a length in eight bytes.
constexpr std::size_t length_bytes = 8;

std::uint32_t required_sends(std::size_t cluster_size) {
    auto const doublings =
        static_cast<std::uint32_t>(std::bit_width(cluster_size));
    return sends_per_doubling * std::max(doublings, 1U);
}

bool is_urgent(update_kind kind) {
    return kind == update_kind::endpoint_leaving ||
           kind == update_kind::node_leaving;
}

} // namespace

std::size_t encoded_size(membership_update const& update) noexcept {
    std::size_t size = sizeof(update.kind) +
                       sizeof(update.node_incarnation.start_time_ms) +
                       sizeof(update.node_incarnation.refutations);
    size += length_bytes + update.name.size();
    size += length_bytes + update.attributes.domain.str().size();
    size += sizeof(update.attributes.processor_percent);
    size += length_bytes;
    for (node_id const& each : update.suspected_by) {
        size += length_bytes + each.str().size();
    }
    return size;
}

void update_queue::add(membership_update update) {
    if (is_urgent(update.kind)) {
        urgent_messages_left_ = std::min(
            urgent_messages_left_ + urgent_fanout, max_urgent_messages);
    }
    std::string subject =
        update.kind == update_kind::endpoint_leaving ? "endpoint/" : "node/";
    subject += update.name;
    pending_.insert_or_assign(subject, item{std::move(update), 0});
}

std::vector<membership_update> update_queue::select(
    std::size_t max_updates, std::size_t max_bytes, std::size_t cluster_size) {
    std::vector<item*> candidates;
    candidates.reserve(pending_.size());
    for (auto& [name, each] : pending_) {
        candidates.push_back(&each);
    }
    // Urgent updates go first; otherwise they would wait behind many node_dead
    // updates after a mass failure.
    std::ranges::stable_sort(
        candidates, [](item const* left, item const* right) {
            bool const left_is_normal = !is_urgent(left->update.kind);
            bool const right_is_normal = !is_urgent(right->update.kind);
            if (left_is_normal != right_is_normal) {
                return right_is_normal;
            }
            return left->times_sent < right->times_sent;
        });
    std::vector<membership_update> result;
    for (item* each : candidates) {
        std::size_t const size = encoded_size(each->update);
        if (result.size() == max_updates || size > max_bytes) {
            break;
        }
        max_bytes -= size;
        ++each->times_sent;
        result.push_back(each->update);
    }
    std::uint32_t const sends_needed = required_sends(cluster_size);
    std::erase_if(pending_, [sends_needed](auto const& entry) {
        return entry.second.times_sent >= sends_needed;
    });
    return result;
}

void update_queue::clear() {
    pending_.clear();
    urgent_messages_left_ = 0;
}

void update_queue::on_urgent_message_sent() noexcept {
    if (urgent_messages_left_ > 0) {
        --urgent_messages_left_;
    }
}

} // namespace camphorpoint
