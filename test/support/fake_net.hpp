#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>

namespace camphorpoint::test {

/// What becomes of one message.
struct transit {
    bool lost = false;
    duration delay{};
};

/// The net between the nodes: nodes cut off, lost and late messages. Messages
/// over a connection keep their order, as TCP does; datagrams need not.
class fake_net {
public:
    /// Nodes that reach none of the others.
    std::set<std::size_t> cut_off;
    /// Messages lost, in percent, and the longest time that one takes more.
    std::uint32_t lost_percent = 0;
    std::chrono::milliseconds lateness{0};

    void heal() {
        cut_off.clear();
        lost_percent = 0;
        lateness = {};
    }
    transit datagram(std::size_t from, std::size_t to, duration shortest) {
        bool const cut = cut_off.contains(from) != cut_off.contains(to) ||
                         (from != to && cut_off.contains(from));
        bool const lost = random_() % whole < lost_percent;
        std::uint64_t const more =
            random_() % (static_cast<std::uint64_t>(lateness.count()) + 1);
        return {cut || lost, shortest + std::chrono::milliseconds(more)};
    }
    transit
    send(std::size_t from, std::size_t to, instant now, duration shortest) {
        transit way = datagram(from, to, shortest);
        instant& last = last_arrival_[{from, to}];
        last = std::max(last, now + way.delay);
        way.delay = last - now;
        return way;
    }

private:
    static constexpr std::uint64_t whole = 100;
    std::mt19937_64 random_{2};
    std::map<std::array<std::size_t, 2>, instant> last_arrival_;
};

} // namespace camphorpoint::test
