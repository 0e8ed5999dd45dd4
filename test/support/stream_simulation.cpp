#include "test/support/stream_simulation.hpp"

#include "Delivery/stream_keepers.hpp"
#include "Delivery/stream_origins.hpp"
#include "Fleet/fleet.hpp"
#include "Fleet/software_history.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace camphorpoint::testing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick{100};
/// A node that started a shorter time ago is not in touch.
constexpr milliseconds contact_time{3'000};
/// Nodes know each other this long after their start, and for a while after
/// their end.
constexpr milliseconds peer_seen_after{1'000};
constexpr milliseconds peer_kept_for{20'000};
constexpr milliseconds max_registry_lag{3'000};
/// A record of the store is in force this long after it was written.
constexpr milliseconds store_delay{500};
constexpr milliseconds deadline_age{2'000};
constexpr int max_resumptions = 3;
constexpr int question_attempts = 3;
constexpr std::size_t deferred_per_tick = 64;
constexpr std::size_t keepers_asked_after_start = 8;

/// An entry of the registry, or its removal.
struct registry_event {
    milliseconds at{0};
    replica_record record;
    bool removed = false;
};

struct simulated_node {
    std::string address;
    milliseconds lag{0};
    bool up = true;
    milliseconds changed_at{0};
    /// Number of registry events that the node has applied.
    std::size_t applied = 0;
    std::unique_ptr<fleet> replicas;
    std::unique_ptr<software_history> history;
    std::unique_ptr<stream_origins> origins;
};

struct simulated_stream {
    std::size_t number = 0;
    std::size_t node = 0;
    software_key software{};
    milliseconds began_at{0};
    milliseconds ends_at{0};
    milliseconds breaks_at{milliseconds::max()};
    /// When the caller resumes it; set while it is interrupted.
    std::optional<milliseconds> resumes_at;
    int resumptions = 0;
    bool mixed = false;
};

/// The record of a single version; nothing for several.
struct simulated_record {
    using content = std::optional<software_key>;
    std::optional<content> written;
    milliseconds written_at{0};
    std::optional<content> in_store;
};

class simulation {
public:
    explicit simulation(stream_scenario const& scenario)
        : scenario_(scenario)
        , random_(scenario.seed) {
        plan_registry();
        nodes_.resize(scenario.nodes);
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            nodes_[index].address = "node" + std::to_string(index);
            start(nodes_[index], -scenario.warm_up);
        }
    }

    stream_trace run() {
        for (milliseconds now = -scenario_.warm_up; now < scenario_.length;
             now += tick) {
            apply_kills(now);
            update_views(now);
            update_record(now);
            if (now >= milliseconds::zero()) {
                begin_streams(now);
                interrupt_streams(now);
                resume_streams(now);
                announce_deferred(now);
            }
        }
        return trace_;
    }

private:
    static instant at(milliseconds time) {
        return instant{} + std::chrono::hours(1) + time;
    }
    double uniform(double below) {
        return std::uniform_real_distribution<>(0, below)(random_);
    }
    milliseconds random_time(milliseconds below) {
        return milliseconds(static_cast<std::int64_t>(
            uniform(static_cast<double>(below.count()))));
    }

    void plan_registry() {
        std::vector<replica_record> current;
        for (std::size_t each = 0; each < scenario_.replicas; ++each) {
            current.push_back(make_record(each, 0, "v1"));
            events_.push_back({-scenario_.warm_up * 2, current.back(), false});
        }
        unsigned generation = 0;
        for (simulated_release const& release : scenario_.releases) {
            ++generation;
            auto const count = static_cast<std::size_t>(
                release.fraction * static_cast<double>(scenario_.replicas));
            for (std::size_t each = 0; each < count; ++each) {
                milliseconds const when =
                    release.at + release.gap * static_cast<int>(each);
                replica_record const next =
                    make_record(each, generation, release.to);
                events_.push_back({when, next, false});
                events_.push_back(
                    {when + milliseconds(1'000), current[each], true});
                current[each] = next;
            }
        }
        std::ranges::stable_sort(events_, {}, &registry_event::at);
    }

    static replica_record make_record(
        std::size_t which, unsigned generation, std::string const& software) {
        replica_record record;
        record.id = endpoint_id(
            "r" + std::to_string(which) + "." + std::to_string(generation));
        record.service = service_id("llm");
        record.software = software_version(software);
        record.heartbeat = 1;
        return record;
    }

    void start(simulated_node& node, milliseconds now) {
        node.lag = random_time(max_registry_lag);
        node.up = true;
        node.changed_at = now;
        node.applied = 0;
        node.replicas = std::make_unique<fleet>();
        node.history = std::make_unique<software_history>(*node.replicas);
        node.origins = std::make_unique<stream_origins>();
        // A snapshot does not contain what was removed before.
        std::map<endpoint_id, replica_record> listed;
        while (node.applied < events_.size() &&
               events_[node.applied].at <= now - node.lag) {
            registry_event const& event = events_[node.applied++];
            if (event.removed) {
                listed.erase(event.record.id);
            } else {
                listed[event.record.id] = event.record;
            }
        }
        for (auto const& [id, record] : listed) {
            node.replicas->apply(record, at(now));
        }
        if (record_.in_store && *record_.in_store) {
            node.history->adopt(service_id("llm"), **record_.in_store);
        }
    }

    /// The first node that has run for a while writes the record.
    void update_record(milliseconds now) {
        if (record_.written && now >= record_.written_at + store_delay) {
            record_.in_store = record_.written;
        }
        for (std::size_t each = 0; each < nodes_.size(); ++each) {
            if (!nodes_[each].up || is_cut(each, now) ||
                now - nodes_[each].changed_at < contact_time) {
                continue;
            }
            software_history& history = *nodes_[each].history;
            duration const memory = record_.in_store
                                        ? duration(default_stream_lifetime)
                                        : duration::zero();
            auto const only =
                history.only_version(service_id("llm"), memory, at(now));
            if (!record_.written || *record_.written != only) {
                record_ = {only, now, record_.in_store};
            }
            return;
        }
    }

    void apply_kills(milliseconds now) {
        for (simulated_kill const& kill : scenario_.kills) {
            std::size_t const end =
                std::min(kill.first_node + kill.node_count, nodes_.size());
            for (std::size_t each = kill.first_node; each < end; ++each) {
                if (now == kill.at) {
                    nodes_[each].up = false;
                    nodes_[each].changed_at = now;
                } else if (now == kill.at + kill.down) {
                    start(nodes_[each], now);
                }
            }
        }
    }

    bool is_cut(std::size_t node, milliseconds now) const {
        return std::ranges::any_of(
            scenario_.cuts, [&](simulated_registry_cut const& cut) {
                return node >= cut.first_node &&
                       node < cut.first_node + cut.node_count &&
                       now >= cut.at && now < cut.at + cut.length;
            });
    }

    void update_views(milliseconds now) {
        peers_.clear();
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            simulated_node& node = nodes_[index];
            milliseconds const since = now - node.changed_at;
            if (node.up ? since >= peer_seen_after : since < peer_kept_for) {
                peers_[node.address] = index;
            }
            if (!node.up || is_cut(index, now)) {
                continue;
            }
            node.history->note_current(at(now));
            while (node.applied < events_.size() &&
                   events_[node.applied].at <= now - node.lag) {
                registry_event const& event = events_[node.applied++];
                if (event.removed) {
                    node.replicas->mark_unlisted(
                        event.record.id, false, at(now));
                } else {
                    node.replicas->apply(event.record, at(now));
                }
            }
        }
    }

    /// @returns the number of replicas of the version that serve in truth
    std::size_t serving(software_key software, milliseconds now) const {
        std::map<endpoint_id, bool> listed;
        for (registry_event const& event : events_) {
            if (event.at > now) {
                break;
            }
            listed[event.record.id] =
                !event.removed &&
                make_software_key(event.record.software) == software;
        }
        return static_cast<std::size_t>(std::ranges::count_if(
            listed, [](auto const& each) { return each.second; }));
    }

    /// @returns the version of a random replica that the node selects from
    std::optional<software_key>
    select_replica(simulated_node& node, std::optional<software_key> software) {
        std::vector<software_key> usable;
        for (replica const* const each :
             node.replicas->of_service(service_id("llm"))) {
            software_key const key = make_software_key(each->record.software);
            if (each->accepts_requests() && (!software || key == *software)) {
                usable.push_back(key);
            }
        }
        if (usable.empty()) {
            return std::nullopt;
        }
        return usable[random_() % usable.size()];
    }

    std::optional<std::size_t> random_node() {
        for (int tries = 0; tries < 50; ++tries) {
            std::size_t const index = random_() % nodes_.size();
            if (nodes_[index].up) {
                return index;
            }
        }
        return std::nullopt;
    }

    static stream_key key_of(simulated_stream const& stream) {
        return make_stream_key(
            request_id(std::to_string(stream.number)), service_id("llm"),
            adapter_id());
    }

    bool is_delivered() { return uniform(1) >= scenario_.datagram_loss; }

    std::vector<std::size_t> keepers_of(
        stream_key stream, std::size_t asking, std::size_t count,
        milliseconds now) {
        std::vector<std::size_t> result;
        if (now - nodes_[asking].changed_at < peer_seen_after) {
            return result;
        }
        if (scenario_.policy == origin_policy::all_nodes) {
            count = nodes_.size();
        }
        for (std::string const& each :
             rank_stream_keepers(stream, peers_, count + 1)) {
            std::size_t const index = peers_.at(each);
            if (index != asking && result.size() < count) {
                result.push_back(index);
            }
        }
        return result;
    }

    void
    announce(std::size_t from, stream_record const& record, milliseconds now) {
        if (scenario_.policy == origin_policy::beginner_only) {
            return;
        }
        std::size_t const count = stream_keeper_count(nodes_.size());
        for (std::size_t const each :
             keepers_of(record.stream, from, count, now)) {
            ++trace_.record_datagrams;
            if (nodes_[each].up && is_delivered()) {
                nodes_[each].origins->add(record, at(now));
            }
        }
    }

    void record_origin(simulated_stream const& stream, milliseconds now) {
        simulated_node& node = nodes_[stream.node];
        stream_record const record{key_of(stream), stream.software};
        node.origins->add(record, at(now));
        auto const only = node.history->only_version(
            service_id("llm"), default_stream_lifetime, at(now));
        if (only && *only == stream.software) {
            node.origins->defer_announcement(
                service_id("llm"), record, at(now));
        } else {
            announce(stream.node, record, now);
        }
    }

    void announce_deferred(milliseconds now) {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            simulated_node& node = nodes_[index];
            if (!node.up || node.origins->deferred_services().empty() ||
                node.history->only_version(
                    service_id("llm"), default_stream_lifetime, at(now))) {
                continue;
            }
            for (stream_record const& each : node.origins->take_deferred(
                     service_id("llm"), deferred_per_tick, at(now))) {
                announce(index, each, now);
            }
        }
    }

    void begin_streams(milliseconds now) {
        double const mean = scenario_.streams_per_second * 0.1;
        int const count = std::poisson_distribution<>(mean)(random_);
        for (int each = 0; each < count; ++each) {
            auto const node = random_node();
            auto const software =
                node ? select_replica(nodes_[*node], std::nullopt)
                     : std::nullopt;
            if (!software) {
                continue;
            }
            simulated_stream stream;
            stream.number = trace_.begun++;
            stream.node = *node;
            stream.software = *software;
            milliseconds const time =
                milliseconds(500) + random_time(milliseconds(10'000));
            stream.began_at = now;
            stream.ends_at = now + time;
            if (uniform(1) < scenario_.broken) {
                stream.breaks_at = now + random_time(time);
            }
            record_origin(stream, now);
            streams_.push_back(stream);
        }
    }

    void interrupt_streams(milliseconds now) {
        std::erase_if(streams_, [&](simulated_stream& stream) {
            if (stream.resumes_at) {
                return false;
            }
            simulated_node& node = nodes_[stream.node];
            bool const broken = !node.up || now >= stream.breaks_at;
            if (!broken && now >= stream.ends_at) {
                node.origins->cancel_announcement(key_of(stream));
                return true;
            }
            if (broken) {
                stream.breaks_at = milliseconds::max();
                stream.resumes_at = now + random_time(scenario_.resumed_within);
            }
            return broken && stream.resumptions == max_resumptions;
        });
    }

    std::optional<software_key> decide(
        simulated_stream const& resumed, std::size_t node, milliseconds now) {
        if (scenario_.policy == origin_policy::any_version) {
            return std::nullopt;
        }
        stream_key const stream = key_of(resumed);
        bool const just_started =
            now - nodes_[node].changed_at < contact_time + peer_seen_after;
        std::size_t const count =
            just_started
                ? keepers_asked_after_start
                : stream_keeper_count(nodes_.size()) + extra_keepers_asked;
        std::vector<origin_evidence> evidence{evidence_of(node, stream, now)};
        if (scenario_.policy != origin_policy::beginner_only) {
            for (std::size_t const each :
                 keepers_of(stream, node, count, now)) {
                for (int tries = 0; tries < question_attempts; ++tries) {
                    if (nodes_[each].up && is_delivered() && is_delivered()) {
                        evidence.push_back(evidence_of(each, stream, now));
                        break;
                    }
                }
            }
        }
        return choose_resumption(evidence, {true, true}).software;
    }

    origin_evidence
    evidence_of(std::size_t node, stream_key stream, milliseconds now) {
        bool const by_deadline =
            scenario_.policy == origin_policy::keepers_and_deadlines;
        return {
            nodes_[node].origins->find(stream, at(now)),
            nodes_[node].history->versions(
                service_id("llm"),
                by_deadline ? deadline_age : default_stream_lifetime, at(now))};
    }

    void resume_streams(milliseconds now) {
        std::erase_if(streams_, [&](simulated_stream& stream) {
            if (!stream.resumes_at || now < *stream.resumes_at) {
                return false;
            }
            return !resume(stream, now);
        });
    }

    /// @returns true when the stream goes on
    bool resume(simulated_stream& stream, milliseconds now) {
        auto const node = random_node();
        if (!node) {
            return false;
        }
        auto const decided = decide(stream, *node, now);
        bool const may_go_on =
            decided || scenario_.policy == origin_policy::any_version;
        auto const software =
            may_go_on ? select_replica(nodes_[*node], decided) : std::nullopt;
        bool const counts = now - nodes_[*node].changed_at >= contact_time &&
                            serving(stream.software, now) >= 2;
        trace_.resumed += counts ? 1 : 0;
        if (!software) {
            return false;
        }
        if (*software != stream.software && !stream.mixed) {
            stream.mixed = true;
            ++trace_.mixed;
        }
        trace_.went_on += counts ? 1 : 0;
        ++stream.resumptions;
        stream.resumes_at.reset();
        stream.node = *node;
        stream.software = *software;
        record_origin(stream, now);
        return true;
    }

    stream_scenario const& scenario_;
    std::mt19937_64 random_;
    std::vector<registry_event> events_;
    std::vector<simulated_node> nodes_;
    simulated_record record_;
    /// Indexes of the nodes that the others know, by address.
    std::map<std::string, std::size_t> peers_;
    std::vector<simulated_stream> streams_;
    stream_trace trace_;
};

} // namespace

stream_trace simulate(stream_scenario const& scenario) {
    return simulation(scenario).run();
}

} // namespace camphorpoint::testing
