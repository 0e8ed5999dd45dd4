#include "log/log_faults.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace standins {

namespace json = boost::json;

void log_faults::change(json_body const& order) {
    outage_ = order.flag("outage", outage_);
    lose_answers_ = order.integer("lose_answers", lose_answers_);
    lose_requests_ = order.integer("lose_requests", lose_requests_);
    delay_ =
        std::chrono::milliseconds(order.integer("delay_ms", delay_.count()));
    if (order.has("cut_from")) {
        auto const names = order.texts("cut_from");
        cut_from_ = {names.begin(), names.end()};
    }
}

bool log_faults::reachable(
    std::string_view node, std::string_view domain) const {
    return !outage_ && !cut_from_.contains(node) && !cut_from_.contains(domain);
}

append_fate log_faults::next_append() {
    if (lose_answers_ > 0) {
        --lose_answers_;
        return append_fate::answer_lost;
    }
    if (lose_requests_ > 0) {
        --lose_requests_;
        return append_fate::request_lost;
    }
    return append_fate::normal;
}

std::string log_faults::describe() const {
    json::array cut;
    for (std::string const& each : cut_from_) {
        cut.emplace_back(each);
    }
    return json::serialize(json::object{
        {"outage", outage_},
        {"lose_answers", lose_answers_},
        {"lose_requests", lose_requests_},
        {"delay_ms", delay_.count()},
        {"cut_from", cut}});
}

} // namespace standins
