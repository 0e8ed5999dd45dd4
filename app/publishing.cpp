#include "app/publishing.hpp"

#include "Config/config_record.hpp"

#include <fmt/format.h>

#include <optional>
#include <thread>

namespace camphorpoint {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds ask_period{200};
constexpr int status_conflict = 409;

std::optional<publish_answer> read_answer(fetch_result const& got) {
    if (got.how != call_result::answered) {
        return std::nullopt;
    }
    auto answer = decode_publish_answer(got.response.body);
    if (answer && got.response.status == status_conflict) {
        answer->conflict = true;
    }
    return answer;
}

publish_answer ask_on(
    node_client const& node, change_id const& id,
    steady_clock::time_point end) {
    publish_answer unknown;
    unknown.known = false;
    unknown.problems = {"the node's answer was lost, and no node knows of the "
                        "change yet"};
    while (steady_clock::now() < end) {
        auto const answer = read_answer(node.get("/changes/" + id.str()));
        if (answer && answer->known) {
            return *answer;
        }
        std::this_thread::sleep_for(ask_period);
    }
    return unknown;
}

} // namespace

publish_answer publish(
    node_client const& node, change const& value,
    std::chrono::milliseconds limit) {
    auto const end = steady_clock::now() + limit;
    fetch_result const got = node.post("/changes", encode(value));
    auto const answer = read_answer(got);
    if (answer && answer->known) {
        return *answer;
    }
    if (got.how == call_result::not_sent) {
        publish_answer refused;
        refused.problems = {fmt::format(
            "{} does not answer; nothing was sent", node.address())};
        return refused;
    }
    if (got.how == call_result::answered && !answer) {
        publish_answer refused;
        refused.problems = {fmt::format(
            "{} answered {}: {}", node.address(), got.response.status,
            got.response.body)};
        return refused;
    }
    return ask_on(node, value.id, end);
}

exit_code exit_code_of(publish_answer const& answer) noexcept {
    if (!answer.known) {
        return exit_code::unknown;
    }
    if (answer.accepted) {
        return exit_code::ok;
    }
    return answer.conflict ? exit_code::conflict : exit_code::failed;
}

} // namespace camphorpoint
