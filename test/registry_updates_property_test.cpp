#include <Camphorpoint/Fleet>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A leaving replica serves for two seconds after its notice.
constexpr seconds bound{2};
constexpr milliseconds max_interval{670};
constexpr milliseconds tick{5};
constexpr milliseconds heartbeat_interval{20};
constexpr milliseconds leave_interval{500};
constexpr milliseconds retry_delay{250};
constexpr seconds end_of_leaves{30};
constexpr seconds end_of_run{33};

constexpr store_position at(std::uint64_t offset) {
    return {store_epoch{1}, offset};
}

/// Delays and losses of one run.
struct network {
    milliseconds max_store_delay;
    milliseconds max_peer_delay;
    double lost_datagrams;
};

/// Nodes that follow one log and share what they read, in virtual time. Each
/// record of the log is a heartbeat or the notice of a replica that leaves.
class follower_model {
public:
    follower_model(unsigned nodes, network net, std::uint64_t seed)
        : network_(net)
        , random_(seed)
        , nodes_(nodes) {
        for (node& each : nodes_) {
            each.schedule.poll_completed(at(0), now_);
            each.fraction = fraction();
        }
    }

    /// @returns the longest time from a notice until all nodes know it; the
    ///          whole run when one of them never does
    duration run() {
        instant const began = now_;
        instant next_heartbeat = now_;
        instant next_leave = now_ + leave_interval;
        while (now_ < began + end_of_run) {
            if (now_ >= next_heartbeat) {
                ++log_end_;
                next_heartbeat += heartbeat_interval;
            }
            if (now_ >= next_leave && now_ < began + end_of_leaves) {
                notices_[log_end_++] = now_;
                next_leave += leave_interval;
            }
            deliver();
            for (node& each : nodes_) {
                advance(each);
            }
            now_ += tick;
        }
        return worst();
    }

private:
    struct update {
        store_position from;
        store_position to;
        std::vector<std::uint64_t> notices;
    };
    struct poll {
        store_position from;
        instant read_at;
        instant answered_at;
        std::uint64_t end = 0;
        bool read = false;
    };
    struct node {
        registry_poll_schedule schedule{max_interval};
        double fraction = 0;
        std::optional<poll> in_progress;
        instant retry_at;
        /// Notices that the node knows, and since when.
        std::map<std::uint64_t, instant> known;
    };
    struct datagram {
        instant due;
        std::size_t to;
        update content;
    };

    double fraction() { return std::uniform_real_distribution<>()(random_); }
    milliseconds delay(milliseconds longest) {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(
            1, longest.count())(random_));
    }

    void advance(node& self) {
        if (!self.in_progress) {
            if (now_ < self.schedule.next_poll_time(self.fraction) ||
                now_ < self.retry_at) {
                return;
            }
            poll next;
            next.from = self.schedule.position();
            next.read_at = now_ + delay(network_.max_store_delay);
            next.answered_at = next.read_at + delay(network_.max_store_delay);
            self.in_progress = next;
        }
        poll& current = *self.in_progress;
        if (!current.read && now_ >= current.read_at) {
            current.read = true;
            current.end = log_end_;
        }
        if (now_ >= current.answered_at) {
            poll const answered = current;
            self.in_progress.reset();
            complete(self, answered);
        }
    }

    void complete(node& self, poll const& answered) {
        store_position const end = at(answered.end);
        update told;
        told.from = self.schedule.claimed_from(answered.from, end);
        told.to = end;
        for (auto each = notices_.lower_bound(answered.from.offset);
             each != notices_.end() && each->first < answered.end; ++each) {
            if (!self.schedule.is_known(at(each->first)) &&
                self.known.emplace(each->first, now_).second) {
                told.notices.push_back(each->first);
            }
        }
        self.schedule.poll_completed(end, now_);
        self.fraction = fraction();
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            if (&nodes_[to] != &self && fraction() >= network_.lost_datagrams) {
                sent_.push_back(
                    {now_ + delay(network_.max_peer_delay), to, told});
            }
        }
    }

    void deliver() {
        std::vector<datagram> later;
        std::vector<datagram> arrived;
        for (datagram& each : sent_) {
            (each.due <= now_ ? arrived : later).push_back(std::move(each));
        }
        sent_ = std::move(later);
        for (datagram const& each : arrived) {
            node& to = nodes_[each.to];
            if (to.schedule.handle_update(
                    each.content.from, each.content.to, now_) ==
                registry_update_fit::applies) {
                for (std::uint64_t const notice : each.content.notices) {
                    to.known.emplace(notice, now_);
                }
            }
        }
    }

    duration worst() const {
        duration longest{0};
        for (node const& each : nodes_) {
            for (auto const& [notice, given_at] : notices_) {
                auto const known = each.known.find(notice);
                longest = std::max(
                    longest, known == each.known.end()
                                 ? duration(end_of_run)
                                 : known->second - given_at);
            }
        }
        return longest;
    }

    network network_;
    std::mt19937_64 random_;
    instant now_ = instant() + seconds(100);
    std::uint64_t log_end_ = 0;
    /// Notices by their position in the log, and when they were written.
    std::map<std::uint64_t, instant> notices_;
    std::vector<node> nodes_;
    std::vector<datagram> sent_;
};

} // namespace

// Guards against a notice that one node never receives. The node's update had
// been lost, and another node, whose poll was overtaken by newer updates, read
// the range of the notice again, found nothing new in it, and broadcast the
// range as complete.
TEST_CASE("every node knows in time that a replica leaves") {
    unsigned nodes = 9;
    network net{milliseconds(50), milliseconds(10), 0.05};
    std::uint64_t seeds = 60;
    SUBCASE("with a fast store") {}
    SUBCASE("with a slow store") {
        net.max_store_delay = milliseconds(200);
    }
    SUBCASE("with slow links between nodes") {
        net.max_store_delay = milliseconds(100);
        net.max_peer_delay = milliseconds(150);
    }
    SUBCASE("with every fifth datagram lost") {
        net.lost_datagrams = 0.2;
    }
    SUBCASE("with ninety nodes") {
        nodes = 90;
        seeds = 2;
    }
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        duration const longest = follower_model(nodes, net, seed).run();
        CHECK(longest <= bound);
    }
}

TEST_CASE("a poll that other nodes' updates have overtaken claims nothing") {
    registry_poll_schedule schedule(max_interval);
    instant const now = instant() + seconds(100);
    schedule.poll_completed(at(10), now);
    store_position const from = schedule.position();
    REQUIRE(
        schedule.handle_update(at(10), at(14), now) ==
        registry_update_fit::applies);
    CHECK(schedule.claimed_from(from, at(12)) == at(12));
    CHECK(schedule.claimed_from(from, at(16)) == at(14));
    CHECK(schedule.is_known(at(13)));
    CHECK_FALSE(schedule.is_known(at(14)));
    schedule.poll_completed(at(12), now);
    CHECK(schedule.position() == at(14));
    SUBCASE("unless the store no longer has the position") {
        schedule.position_expired();
        CHECK_FALSE(schedule.is_known(at(13)));
        schedule.poll_completed(at(12), now);
        CHECK(schedule.position() == at(12));
    }
}

} // namespace camphorpoint
