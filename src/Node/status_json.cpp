#include "Node/status_json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <chrono>

namespace camphorpoint {

namespace json = boost::json;

namespace {

json::array reasons_of(node_status const& status) {
    json::array result;
    for (reason const each : status.not_ready) {
        result.emplace_back(to_string(each));
    }
    return result;
}

json::object configuration_of(node_status const& status) {
    using std::chrono::milliseconds;
    auto const age =
        std::chrono::duration_cast<milliseconds>(status.configuration_age);
    // Sixteen digits in text: JSON readers round numbers past 53 bits.
    return {
        {"offset", status.configuration.value},
        {"digest", fmt::format("{:016x}", status.configuration_digest)},
        {"age_ms", age.count()},
        {"profiles", status.profiles}};
}

json::array owned_of(node_status const& status) {
    json::array result;
    for (owned_status const& each : status.owned) {
        result.push_back(json::object{
            {"resource", each.resource},
            {"fencing", each.fencing.value},
            {"authority", each.authority}});
    }
    return result;
}

json::array replicas_of(node_status const& status) {
    json::array result;
    for (replica_status const& each : status.replicas) {
        result.push_back(json::object{
            {"replica", each.replica.str()},
            {"queued", each.queued},
            {"running", each.running}});
    }
    return result;
}

json::array members_of(node_status const& status) {
    json::array result;
    for (member_status const& each : status.members) {
        result.push_back(json::object{
            {"id", each.id.str()},
            {"incarnation", each.incarnation},
            {"state", each.state}});
    }
    return result;
}

} // namespace

std::string write_status(node_status const& status) {
    json::object result{
        {"ready", status.ready},
        {"not_ready", reasons_of(status)},
        {"draining", status.draining},
        {"configuration", configuration_of(status)}};
    result["requests"] = json::object{
        {"waiting", status.waiting_requests},
        {"running", status.running_requests}};
    result["owned"] = owned_of(status);
    result["replicas"] = replicas_of(status);
    result["members"] = members_of(status);
    return json::serialize(result) + "\n";
}

std::string write_readiness(node_status const& status) {
    json::object const result{
        {"ready", status.ready}, {"reasons", reasons_of(status)}};
    return json::serialize(result) + "\n";
}

} // namespace camphorpoint
