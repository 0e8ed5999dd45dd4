#include "service/call_records.hpp"

#include "common/standin_main.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <utility>

namespace standins {

namespace json = boost::json;

std::size_t call_records::begin(call_record record) {
    calls_.push_back(std::move(record));
    return calls_.size() - 1;
}

void call_records::end(
    std::size_t place, bool answered, camphorpoint::instant now) {
    calls_[place].end = now;
    calls_[place].answered = answered;
}

std::string call_records::describe() const {
    json::array calls;
    for (call_record const& each : calls_) {
        calls.push_back(json::object{
            {"request", each.request},
            {"key", each.key},
            {"body", fmt::format("{:016x}", each.body)},
            {"start_ms", in_milliseconds(each.start)},
            {"end_ms", in_milliseconds(each.end)},
            {"answered", each.answered}});
    }
    return json::serialize(
        json::object{{"calls", calls}, {"refusals", refusals_}});
}

} // namespace standins
