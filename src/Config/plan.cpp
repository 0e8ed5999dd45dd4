#include "Config/plan.hpp"

#include "Config/config_record.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

namespace camphorpoint {

namespace {

using states_by_name = std::map<profile_name, profile_state const*>;

std::string kind_of(profile const& value) {
    return value.kind == endpoint_kind::service ? "service" : "engine";
}

struct field {
    char const* key;
    std::string text;
};

std::vector<field> fields_of(profile const& value) {
    return {
        {"kind", kind_of(value)},
        {"model", value.model.str()},
        {"adapter", value.adapter.id.str()},
        {"version", std::to_string(value.adapter.version)},
        {"urgency", std::string(to_string(value.how_urgent))},
        {"idempotent", value.idempotent ? "true" : "false"},
        {"deadline", fmt::format("{}ms", value.default_deadline.count())}};
}

std::string describe_new(profile const& value) {
    std::string text = fmt::format("+ {}\n", value.name.str());
    for (field const& each : fields_of(value)) {
        text += fmt::format("    {}: {}\n", each.key, each.text);
    }
    return text;
}

std::string describe_changed(profile const& from, profile const& to) {
    std::string text =
        fmt::format("~ {} (revision {})\n", to.name.str(), from.revision);
    std::vector<field> const old_fields = fields_of(from);
    std::vector<field> const new_fields = fields_of(to);
    for (std::size_t index = 0; index < old_fields.size(); ++index) {
        if (old_fields[index].text != new_fields[index].text) {
            text += fmt::format(
                "    {}: {} -> {}\n", old_fields[index].key,
                old_fields[index].text, new_fields[index].text);
        }
    }
    return text;
}

bool says_the_same(profile const& left, profile right) {
    right.revision = left.revision;
    return left == right;
}

void plan_declared(
    states_by_name const& states, profile const& wanted, plan& result) {
    auto const found = states.find(wanted.name);
    profile_state const* state =
        found == states.end() ? nullptr : found->second;
    std::uint64_t const base = state == nullptr ? 0 : state->value.revision;
    bool const in_force = state != nullptr && !state->removed;
    if (in_force && says_the_same(state->value, wanted)) {
        return;
    }
    result.diff += in_force ? describe_changed(state->value, wanted)
                            : describe_new(wanted);
    put_profile edit{base, wanted};
    edit.next.revision = 0;
    result.edits.emplace_back(std::move(edit));
}

void plan_undeclared(
    profile const& value, undeclared_profiles rest, plan& result) {
    if (rest == undeclared_profiles::keep) {
        result.kept.push_back(value.name);
        return;
    }
    result.diff +=
        fmt::format("- {} (revision {})\n", value.name.str(), value.revision);
    result.edits.emplace_back(remove_profile{value.revision, value.name});
}

/// Well under longest_config_record, whatever the escapes.
constexpr std::size_t most_edit_bytes = longest_config_record / 2;

std::size_t text_size(profile_edit const& edit) {
    change one;
    one.edits.push_back(edit);
    return encode(one).size();
}

} // namespace

plan make_plan(
    std::vector<profile_state> const& current,
    std::vector<profile> const& declared, undeclared_profiles rest) {
    plan result;
    states_by_name states;
    for (profile_state const& each : current) {
        states[each.value.name] = &each;
    }
    std::map<profile_name, profile const*> wanted;
    for (profile const& each : declared) {
        wanted[each.name] = &each;
        // So that one pass goes through all names in order.
        states.try_emplace(each.name, nullptr);
    }
    for (auto const& [name, state] : states) {
        auto const found = wanted.find(name);
        if (found != wanted.end()) {
            plan_declared(states, *found->second, result);
        } else if (!state->removed) {
            plan_undeclared(state->value, rest, result);
        }
    }
    return result;
}

std::vector<change> make_changes(
    std::vector<profile_edit> const& edits, change_id const& id,
    std::string const& author) {
    std::vector<change> changes;
    std::size_t bytes = 0;
    for (profile_edit const& edit : edits) {
        std::size_t const size = text_size(edit);
        if (changes.empty() || bytes + size > most_edit_bytes) {
            changes.push_back({id, author, {}});
            bytes = 0;
        }
        bytes += size;
        changes.back().edits.push_back(edit);
    }
    if (changes.size() > 1) {
        for (std::size_t index = 0; index < changes.size(); ++index) {
            changes[index].id =
                change_id(fmt::format("{}-{}", id.str(), index + 1));
        }
    }
    return changes;
}

} // namespace camphorpoint
