#include "app/command.hpp"
#include "app/flags.hpp"
#include "app/node_state.hpp"
#include "app/planning.hpp"
#include "app/publishing.hpp"

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>

ABSL_FLAG(
    std::string, author, "",
    "who publishes the change, for the history; $USER when empty");
ABSL_FLAG(
    std::string, change_id, "",
    "the change's id; a repeat with the same id is never a second change. "
    "Chosen at random when empty");
ABSL_FLAG(
    bool, check, false, "only check and show the differences, as diff does");
ABSL_FLAG(
    std::vector<std::string>, in_force_on, {},
    "operator addresses of nodes; waits until the change is in force on all");

namespace camphorpoint {

namespace {

using std::chrono::steady_clock;

std::string author() {
    std::string given = absl::GetFlag(FLAGS_author);
    if (!given.empty()) {
        return given;
    }
    // Nothing else runs in this process that could change the environment.
    char const* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
    return user == nullptr || *user == '\0' ? "unnamed" : user;
}

change_id chosen_id() {
    std::string const given = absl::GetFlag(FLAGS_change_id);
    if (!given.empty()) {
        return change_id(given);
    }
    std::random_device random;
    return change_id(fmt::format(
        "{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random()));
}

std::chrono::milliseconds since(steady_clock::time_point start) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        steady_clock::now() - start);
}

void print_answer(
    change const& value, publish_answer const& answer,
    steady_clock::time_point start) {
    if (answer.accepted) {
        fmt::print(
            "change {}: accepted at offset {} after {} ms\n", value.id.str(),
            answer.offset.value, since(start).count());
        return;
    }
    char const* const what = !answer.known     ? "unknown"
                             : answer.conflict ? "conflict"
                                               : "not in force";
    fmt::print(stderr, "change {}: {}\n", value.id.str(), what);
    for (std::string const& each : answer.problems) {
        fmt::print(stderr, "  {}\n", each);
    }
    if (!answer.known) {
        fmt::print(
            stderr,
            "  find out with: camphorpoint history, or apply again "
            "with --change_id={}\n",
            value.id.str());
    }
}

exit_code wait_everywhere(log_offset offset, steady_clock::time_point start) {
    auto const nodes = absl::GetFlag(FLAGS_in_force_on);
    if (nodes.empty()) {
        return exit_code::ok;
    }
    auto const limit = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_wait));
    auto const missing = wait_in_force(nodes, offset, limit);
    for (std::string const& each : missing) {
        fmt::print(stderr, "not in force yet on {}\n", each);
    }
    if (!missing.empty()) {
        return exit_code::failed;
    }
    fmt::print(
        "in force on all {} nodes after {} ms\n", nodes.size(),
        since(start).count());
    return exit_code::ok;
}

exit_code publish_all(node_client const& node, plan const& wanted) {
    auto const limit = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
    steady_clock::time_point const start = steady_clock::now();
    log_offset last;
    for (change const& each :
         make_changes(wanted.edits, chosen_id(), author())) {
        publish_answer const answer = publish(node, each, limit);
        print_answer(each, answer, start);
        if (!answer.accepted) {
            return exit_code_of(answer);
        }
        last = answer.offset;
    }
    return wait_everywhere(last, start);
}

} // namespace

exit_code run_apply(command_words const& words) {
    node_client const node(absl::GetFlag(FLAGS_node));
    exit_code end = exit_code::ok;
    auto const wanted = make_plan_with("apply", words, node, end);
    if (!wanted) {
        return end;
    }
    print_plan(*wanted);
    if (absl::GetFlag(FLAGS_check) || wanted->edits.empty()) {
        return exit_code::ok;
    }
    return publish_all(node, *wanted);
}

} // namespace camphorpoint
