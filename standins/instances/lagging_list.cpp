#include "instances/lagging_list.hpp"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <utility>

namespace standins {

namespace json = boost::json;

namespace {

constexpr std::array<char const*, 2> groups{"nodes", "endpoints"};

json::object const empty_list{
    {"nodes", json::array{}}, {"endpoints", json::array{}}};

/// Calls back for each instance until one call returns true.
/// @returns true when one did
template <class Visit>
bool visit_instances(json::object& list, Visit visit) {
    for (char const* const group : groups) {
        auto* const found = list.if_contains(group);
        if (found == nullptr || !found->is_array()) {
            continue;
        }
        json::array& all = found->as_array();
        for (auto at = all.begin(); at != all.end(); ++at) {
            if (visit(all, at)) {
                return true;
            }
        }
    }
    return false;
}

bool is_named(json::value const& instance, std::string const& id) {
    auto const* const object = instance.if_object();
    auto const* const name =
        object == nullptr ? nullptr : object->if_contains("id");
    return name != nullptr && *name == json::string(id);
}

} // namespace

json::object lagging_list::newest() const {
    return versions_.empty() ? empty_list : versions_.back().list;
}

void lagging_list::put(json::object next, camphorpoint::instant now) {
    versions_.push_back({now, std::move(next)});
}

bool lagging_list::set_state(
    std::string const& id, std::string const& state,
    camphorpoint::instant now) {
    json::object list = newest();
    bool const found = visit_instances(list, [&](auto&, auto at) {
        if (is_named(*at, id)) {
            at->as_object()["state"] = state;
            return true;
        }
        return false;
    });
    if (found) {
        put(std::move(list), now);
    }
    return found;
}

bool lagging_list::remove(std::string const& id, camphorpoint::instant now) {
    json::object list = newest();
    bool const found = visit_instances(list, [&](json::array& all, auto at) {
        if (is_named(*at, id)) {
            all.erase(at);
            return true;
        }
        return false;
    });
    if (found) {
        put(std::move(list), now);
    }
    return found;
}

json::object const& lagging_list::read(camphorpoint::instant now) {
    while (versions_.size() > 1 && versions_[1].since + lag_ <= now) {
        versions_.pop_front();
    }
    bool const visible =
        !versions_.empty() && versions_.front().since + lag_ <= now;
    return visible ? versions_.front().list : empty_list;
}

} // namespace standins
