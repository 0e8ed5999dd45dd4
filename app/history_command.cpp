#include "Operator/change_history.hpp"
#include "app/command.hpp"
#include "app/flags.hpp"
#include "app/node_client.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace camphorpoint {

exit_code run_history(command_words const&) {
    node_client const node(absl::GetFlag(FLAGS_node));
    fetch_result const got = node.get("/changes");
    auto const entries = decode_change_history(got.response.body);
    if (got.how != call_result::answered || !entries) {
        print_failure("history", node, got);
        return exit_code::failed;
    }
    for (history_entry const& each : *entries) {
        std::string const time = absl::FormatTime(
            "%Y-%m-%dT%H:%M:%SZ", absl::FromChrono(each.appended),
            absl::UTCTimeZone());
        fmt::print(
            "{:>8} {} {:<18} {:<32} {} {}\n", each.offset.value, time,
            each.verdict_code, each.id.str(), each.author,
            fmt::join(each.profiles, ","));
    }
    return exit_code::ok;
}

} // namespace camphorpoint
