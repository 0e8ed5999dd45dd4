#include "Membership/update_queue.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace camphorpoint {

namespace {

/// SWIM passes news on lambda times log n times. With three probes and their
/// answers in each period, three is enough in the tests' clusters.
constexpr std::uint32_t rounds_per_doubling = 3;
/// Messages that carry urgent news at once, for each piece of news.
constexpr std::size_t urgent_fanout = 4;
/// Bounds what urgent news may cost when a whole domain leaves.
constexpr std::size_t most_urgent = 16;
/// cereal writes a length as eight bytes.
constexpr std::size_t length_bytes = 8;

std::uint32_t times_to_send(std::size_t cluster) {
    auto const doublings = static_cast<std::uint32_t>(std::bit_width(cluster));
    return rounds_per_doubling * std::max(doublings, 1U);
}

bool urgent(update_kind kind) {
    return kind == update_kind::endpoint_leaving ||
           kind == update_kind::node_leaving;
}

} // namespace

std::size_t encoded_size(membership_update const& update) noexcept {
    std::size_t size = sizeof(update.kind) + sizeof(update.at.start_time_ms) +
                       sizeof(update.at.refutations);
    size += length_bytes + update.name.size();
    size += length_bytes + update.of.domain.str().size();
    size += sizeof(update.of.processor_percent);
    size += length_bytes;
    for (node_id const& each : update.accusers) {
        size += length_bytes + each.str().size();
    }
    return size;
}

void update_queue::add(membership_update update) {
    if (urgent(update.kind)) {
        urgent_left_ = std::min(urgent_left_ + urgent_fanout, most_urgent);
    }
    std::string subject =
        update.kind == update_kind::endpoint_leaving ? "endpoint/" : "node/";
    subject += update.name;
    waiting_.insert_or_assign(subject, item{std::move(update), 0});
}

std::vector<membership_update>
update_queue::take(std::size_t most, std::size_t room, std::size_t cluster) {
    std::vector<item*> order;
    order.reserve(waiting_.size());
    for (auto& [name, each] : waiting_) {
        order.push_back(&each);
    }
    // Urgent news first: else it would queue behind a wave of deaths.
    std::ranges::stable_sort(order, [](item const* left, item const* right) {
        bool const left_waits = !urgent(left->update.kind);
        bool const right_waits = !urgent(right->update.kind);
        if (left_waits != right_waits) {
            return right_waits;
        }
        return left->sent < right->sent;
    });
    std::vector<membership_update> result;
    for (item* each : order) {
        std::size_t const size = encoded_size(each->update);
        if (result.size() == most || size > room) {
            break;
        }
        room -= size;
        ++each->sent;
        result.push_back(each->update);
    }
    std::uint32_t const enough = times_to_send(cluster);
    std::erase_if(waiting_, [enough](auto const& entry) {
        return entry.second.sent >= enough;
    });
    return result;
}

void update_queue::clear() {
    waiting_.clear();
    urgent_left_ = 0;
}

void update_queue::urgent_sent() noexcept {
    if (urgent_left_ > 0) {
        --urgent_left_;
    }
}

} // namespace camphorpoint
