#include "engine/load_reports.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace standins {

namespace json = boost::json;

namespace {

json::array list_of(std::vector<camphorpoint::adapter_ref> const& adapters) {
    json::array result;
    for (camphorpoint::adapter_ref const& each : adapters) {
        result.push_back(json::object{
            {"adapter", each.id.str()}, {"version", each.version}});
    }
    return result;
}

} // namespace

void load_reports::add(engine_snapshot snapshot) {
    while (snapshots_.size() > 1 && snapshots_[1].at + lag_ <= snapshot.at) {
        snapshots_.pop_front();
    }
    snapshots_.push_back(std::move(snapshot));
}

engine_snapshot const& load_reports::read(camphorpoint::instant now) {
    while (snapshots_.size() > 1 && snapshots_[1].at + lag_ <= now) {
        snapshots_.pop_front();
    }
    return snapshots_.front();
}

std::string
report_text(engine_snapshot const& snapshot, camphorpoint::instant now) {
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - snapshot.at);
    return json::serialize(json::object{
        {"incarnation", snapshot.incarnation},
        {"running", snapshot.running},
        {"queued", snapshot.queued},
        {"resident", list_of(snapshot.resident)},
        {"loading", list_of(snapshot.loading)},
        {"in_use", list_of(snapshot.in_use)},
        {"age_ms", age.count()}});
}

} // namespace standins
