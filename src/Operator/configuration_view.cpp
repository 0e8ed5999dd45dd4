#include "Operator/configuration_view.hpp"

#include <fmt/format.h>

#include <optional>
#include <string>

namespace camphorpoint {

profile_listing list_profiles(configuration const& current) {
    profile_listing result;
    result.next = current.next();
    result.digest = current.digest();
    for (auto const& [name, state] : current.all()) {
        result.profiles.push_back(state);
    }
    return result;
}

publish_answer answer_about(configuration const& current, change_id const& id) {
    publish_answer answer;
    std::optional<remembered_change> const found = current.verdict_of(id);
    if (!found) {
        answer.known = false;
        answer.problems = {fmt::format(
            "no change {} up to offset {}", id.str(), current.next().value)};
        return answer;
    }
    answer.accepted = found->first == verdict::accepted;
    answer.conflict = found->first == verdict::rejected_conflict;
    answer.offset = found->offset;
    if (!answer.accepted) {
        answer.problems = {std::string(to_string(found->first))};
    }
    return answer;
}

std::vector<history_entry> list_changes(configuration const& current) {
    std::vector<history_entry> result;
    for (remembered_change const& each : current.snapshot().changes) {
        history_entry entry;
        entry.offset = each.offset;
        entry.id = each.id;
        entry.verdict_code = to_string(each.first);
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace camphorpoint
