#include "ownership_fixture.hpp"

#include <doctest/doctest.h>

#include <utility>

namespace camphorpoint::ownership_test {

log_offset control_log::append(std::string data, instant now) {
    log_offset const at{first.value + records.size()};
    wall_time const appended(
        std::chrono::floor<milliseconds>(now.time_since_epoch()));
    records.push_back({at, appended, std::move(data)});
    return at;
}

log_batch control_log::read(log_offset from, instant started) const {
    log_batch result;
    result.stream = log_stream::control;
    result.from = from;
    result.first = first;
    result.head = log_offset{first.value + records.size()};
    result.read_started = started;
    for (log_record const& each : records) {
        if (each.offset >= from) {
            result.records.push_back(each);
        }
    }
    return result;
}

log_batch control_log::read_lagging(
    log_offset from, instant started, instant known_until) const {
    wall_time const last(
        std::chrono::floor<milliseconds>(known_until.time_since_epoch()));
    control_log copy = *this;
    while (!copy.records.empty() && copy.records.back().appended > last) {
        copy.records.pop_back();
    }
    return copy.read(from, started);
}

void control_log::expire() {
    first.value += records.size();
    records.clear();
}

cluster::cluster(
    std::vector<resource_id> resources, ownership_settings settings)
    : resources_(std::move(resources))
    , settings_(settings) {}

test_node& cluster::start(std::string const& name, std::uint64_t run) {
    node_run const self{node_id(name), run};
    nodes_.erase(name);
    std::mt19937_64 const random(hash_text(name, run));
    test_node fresh{ownership_manager(settings_, self, random), self};
    return nodes_.emplace(name, std::move(fresh)).first->second;
}

test_node&
cluster::start_second_run(std::string const& name, std::uint64_t run) {
    auto former = nodes_.extract(name);
    former.mapped().cut_from_log = true;
    former.key() = name + "#" + std::to_string(run);
    nodes_.insert(std::move(former));
    return start(name, run);
}

instant cluster::clock_of(test_node const& which) const {
    duration const since = now.time_since_epoch();
    return now + which.clock_ahead + since * which.clock_rate_error / 1'000'000;
}

test_node& cluster::node(std::string const& name) {
    return nodes_.at(name);
}

void cluster::set_live(std::vector<std::string> const& names) {
    live_ = names;
    std::vector<owner_candidate> live;
    for (std::string const& each : names) {
        test_node const& which = nodes_.at(each);
        live.push_back({which.self.node, which.self.run, which.leaving});
    }
    for (auto& [name, each] : nodes_) {
        if (!each.dead && !each.paused) {
            each.manager.set_candidates(live, resources_, clock_of(each));
        }
    }
}

void cluster::run(duration span) {
    instant const end = now + span;
    while (now < end) {
        now += step;
        deliver_answers();
        for (auto& [name, each] : nodes_) {
            if (!each.dead && !each.paused) {
                each.manager.on_tick(clock_of(each));
                perform(each);
            }
        }
    }
}

void cluster::drain(test_node& which) {
    which.leaving = true;
    which.manager.start_drain(clock_of(which));
    set_live(live_);
}

std::string cluster::run_until_owned(resource_id const& resource) {
    for (int count = 0; count < 1'000; ++count) {
        for (std::string const& each : nodes_with_authority(resource)) {
            if (!nodes_.at(each).paused) {
                return each;
            }
        }
        run(step);
    }
    FAIL("no node obtained authority for the resource within 100 s");
    return {};
}

std::vector<std::string>
cluster::nodes_with_authority(resource_id const& resource) {
    std::vector<std::string> result;
    for (auto const& [name, each] : nodes_) {
        if (!each.dead &&
            each.manager.authority_for(resource, clock_of(each))) {
            result.push_back(name);
        }
    }
    return result;
}

void cluster::check_evictions(resource_id const& resource) {
    std::size_t evict = 0;
    std::size_t grant = 0;
    for (auto const& [name, each] : nodes_) {
        instant const clock = clock_of(each);
        if (each.dead) {
            continue;
        }
        evict += each.manager.evict_authority(resource, clock) ? 1 : 0;
        grant += each.manager.grant_authority(resource, clock) ? 1 : 0;
    }
    if (evict > 0) {
        REQUIRE(grant <= 1);
    }
}

void cluster::perform(test_node& from) {
    for (ownership_action const& action : from.manager.take_actions()) {
        if (auto const* read = std::get_if<control_read>(&action)) {
            perform(from, *read);
        } else if (auto const* add = std::get_if<control_append>(&action)) {
            perform(from, *add);
        } else if (
            auto const* send = std::get_if<send_ownership_message>(&action)) {
            perform(from, *send);
        } else if (auto const* won = std::get_if<ownership_gained>(&action)) {
            from.gained.push_back(*won);
        } else if (auto const* lost = std::get_if<ownership_lost>(&action)) {
            from.lost.push_back(*lost);
        } else if (
            auto const* want = std::get_if<handover_requested>(&action)) {
            from.requested.push_back(*want);
            if (services_stop_at_once) {
                from.manager.handover_ready(
                    want->resource, "table of " + from.self.node.str(),
                    clock_of(from));
                perform(from);
            }
        } else if (auto const* back = std::get_if<handover_aborted>(&action)) {
            from.aborted.push_back(*back);
        }
    }
}

void cluster::perform(test_node& from, control_read const& read) {
    if (log.down || from.cut_from_log) {
        from.manager.on_read_failed(clock_of(from));
        return;
    }
    instant const clock = clock_of(from);
    if (max_answer_steps == 0) {
        from.manager.on_batch(log.read(read.from, clock), clock);
        return;
    }
    answer next{from.self.node.str(), from.self.run, {}, {}};
    next.steps = 1 + random() % max_answer_steps;
    milliseconds const lag(
        random() % static_cast<std::uint64_t>(max_copy_lag.count() + 1));
    next.batch = log.read_lagging(read.from, clock, now - lag);
    pending_answers_.push_back(std::move(next));
}

void cluster::deliver_answers() {
    std::vector<answer> waiting;
    waiting.swap(pending_answers_);
    for (answer& each : waiting) {
        auto const to = nodes_.find(each.to);
        bool const there = to != nodes_.end() && !to->second.dead &&
                           to->second.self.run == each.run;
        if (!there) {
            continue;
        }
        if (to->second.paused || --each.steps > 0) {
            pending_answers_.push_back(std::move(each));
            continue;
        }
        to->second.manager.on_batch(each.batch, clock_of(to->second));
    }
}

void cluster::perform(test_node& from, control_append const& append) {
    if (log.down || from.cut_from_log) {
        from.manager.on_append_ended(
            append.append, append_result::not_sent, {}, clock_of(from));
        return;
    }
    ++appends;
    log_offset const at = log.append(append.data, now);
    append_result const how =
        log.lose_answer ? append_result::lost : append_result::appended;
    log.lose_answer = false;
    from.manager.on_append_ended(append.append, how, at, clock_of(from));
}

void cluster::perform(test_node& from, send_ownership_message const& send) {
    auto const to = nodes_.find(send.to.str());
    bool const arrives = messages_arrive && to != nodes_.end() &&
                         !to->second.dead && !to->second.paused;
    if (!arrives) {
        return;
    }
    to->second.manager.on_message(
        from.self.node, send.message, clock_of(to->second));
    perform(to->second);
}

} // namespace camphorpoint::ownership_test
