#include "test/soak/stream_reading.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <sstream>

namespace camphorpoint::soak {

std::vector<stream_event> parse_events(std::string_view body) {
    constexpr std::string_view end_of_event = "\n\n";
    std::vector<stream_event> events;
    std::size_t end = body.find(end_of_event);
    while (end != std::string_view::npos) {
        std::istringstream words{std::string(body.substr(0, end))};
        stream_event event;
        std::string name;
        std::string written_number;
        words >> name >> event.number >> name >> event.run >> event.software >>
            written_number;
        // What the replica wrote and what the node numbered are the same.
        if (written_number != std::to_string(event.number)) {
            event.run += "?";
        }
        events.push_back(std::move(event));
        body.remove_prefix(end + end_of_event.size());
        end = body.find(end_of_event);
    }
    return events;
}

std::string find_disorder(
    stream_reading const& stream, std::uint64_t events,
    std::map<std::string, stream_run> const& runs) {
    stream_event last;
    for (stream_event const& each : stream.events) {
        if (each.number != last.number + 1) {
            return fmt::format(
                "event {} of {} follows {} of {}", each.number, each.run,
                last.number, last.run);
        }
        if (last.number > 0 && each.software != last.software) {
            return fmt::format(
                "event {} of {} at {} follows one of {} at {}", each.number,
                each.run, each.software, last.run, last.software);
        }
        auto const run = runs.find(each.run);
        if (run == runs.end()) {
            return fmt::format("event {} of no run: {}", each.number, each.run);
        }
        if (each.run != last.run && run->second.after != last.number) {
            return fmt::format(
                "event {} of {}, which began after {}", each.number, each.run,
                run->second.after);
        }
        last = each;
    }
    if (stream.whole && last.number < events) {
        return fmt::format("ends whole after event {}", last.number);
    }
    return {};
}

} // namespace camphorpoint::soak
