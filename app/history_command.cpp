#include "Operator/change_history.hpp"
#include "app/command.hpp"
#include "app/flags.hpp"
#include "app/node_client.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace camphorpoint {

namespace {

/// @returns the time, or a dash when the node does not remember it
std::string time_text(wall_time at) {
    if (at == wall_time{}) {
        return "-";
    }
    return absl::FormatTime(
        "%Y-%m-%dT%H:%M:%SZ", absl::FromChrono(at), absl::UTCTimeZone());
}

} // namespace

exit_code run_history(command_words const&) {
    node_client const node(absl::GetFlag(FLAGS_node));
    fetch_result const got = node.get("/changes");
    auto const entries = decode_change_history(got.response.body);
    if (got.how != call_result::answered || !entries) {
        print_failure("history", node, got);
        return exit_code::failed;
    }
    for (history_entry const& each : *entries) {
        std::string const time = time_text(each.appended);
        fmt::print(
            "{:>8} {:<20} {:<18} {:<32} {} {}\n", each.offset.value, time,
            each.verdict_code, each.id.str(), each.author,
            fmt::join(each.profiles, ","));
    }
    return exit_code::ok;
}

} // namespace camphorpoint
