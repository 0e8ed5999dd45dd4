#include "engine/cache_events.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace standins {

namespace json = boost::json;

namespace {

constexpr std::size_t most_kept = 1'024;

} // namespace

void cache_events::add(json::object event, camphorpoint::instant now) {
    std::uint64_t const number = next_++;
    if (std::bernoulli_distribution(gaps_)(random_)) {
        return;
    }
    event["number"] = number;
    kept_.push_back({number, now, std::move(event)});
    if (kept_.size() > most_kept) {
        kept_.pop_front();
    }
}

std::string
cache_events::read(std::uint64_t from, camphorpoint::instant now) const {
    json::array events;
    std::uint64_t next = from;
    for (entry const& each : kept_) {
        if (each.number >= from && each.at + lag_ <= now) {
            events.emplace_back(each.event);
            next = each.number + 1;
        }
    }
    return json::serialize(json::object{{"next", next}, {"events", events}});
}

} // namespace standins
