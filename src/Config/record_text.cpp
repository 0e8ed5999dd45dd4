#include "Config/record_text.hpp"

#include "Config/profile_rules.hpp"
#include "Config/state_assembler.hpp"

#include <array>
#include <optional>
#include <string_view>

namespace camphorpoint::internal {

namespace {

constexpr char const* engine_code = "engine";
constexpr char const* service_code = "service";
/// By the value of verdict; only these three are remembered.
constexpr std::array<std::string_view, 3> verdict_codes{
    "accepted", "conflict", "withdrawn"};

profile_text to_text(profile const& value) {
    profile_text text;
    text.name = value.name.str();
    text.kind =
        value.kind == endpoint_kind::service ? service_code : engine_code;
    text.model = value.model.str();
    text.adapter = value.adapter.id.str();
    text.version = value.adapter.version;
    text.urgency = to_string(value.how_urgent);
    text.idempotent = value.idempotent;
    text.deadline_ms = value.default_deadline.count();
    return text;
}

edit_text to_text(profile_edit const& edit) {
    edit_text text;
    text.base_revision = base_revision(edit);
    if (auto const* put = std::get_if<put_profile>(&edit)) {
        text.action = put_code;
        text.profile = to_text(put->next);
    } else {
        text.action = remove_code;
        text.profile.name = edited_profile(edit).str();
    }
    return text;
}

std::optional<profile> read_profile(profile_text const& text) {
    std::optional<urgency> const how_urgent = parse_urgency(text.urgency);
    bool const is_service = text.kind == service_code;
    if (!how_urgent || (!is_service && text.kind != engine_code)) {
        return std::nullopt;
    }
    profile value;
    value.name = profile_name(text.name);
    value.kind = is_service ? endpoint_kind::service : endpoint_kind::engine;
    value.model = model_id(text.model);
    value.adapter = {adapter_id(text.adapter), text.version};
    value.how_urgent = *how_urgent;
    value.idempotent = text.idempotent;
    value.default_deadline = std::chrono::milliseconds(text.deadline_ms);
    return value;
}

std::optional<profile_edit> read_edit(edit_text const& text) {
    if (text.action == remove_code) {
        profile_name name(text.profile.name);
        return remove_profile{text.base_revision, std::move(name)};
    }
    std::optional<profile> next = read_profile(text.profile);
    if (text.action != put_code || !next) {
        return std::nullopt;
    }
    return put_profile{text.base_revision, std::move(*next)};
}

std::optional<profile_state> read_state(profile_state_text const& text) {
    profile_state state;
    state.removed = text.removed;
    if (text.removed) {
        state.value.name = profile_name(text.profile.name);
    } else {
        std::optional<profile> value = read_profile(text.profile);
        if (!value) {
            return std::nullopt;
        }
        state.value = std::move(*value);
    }
    state.value.revision = text.revision;
    return state;
}

std::optional<remembered_change> read_change(remembered_text const& text) {
    for (std::size_t index = 0; index < verdict_codes.size(); ++index) {
        if (verdict_codes[index] == text.verdict) {
            return remembered_change{
                change_id(text.id), log_offset{text.offset},
                static_cast<verdict>(index), text.content};
        }
    }
    return std::nullopt;
}

record_error wrong_format() {
    return {"its format is not known to this version"};
}

} // namespace

change_text to_text(change const& value) {
    change_text text;
    text.id = value.id.str();
    text.author = value.author;
    for (profile_edit const& edit : value.edits) {
        text.edits.push_back(to_text(edit));
    }
    return text;
}

withdrawal_text to_text(change_withdrawal const& value) {
    withdrawal_text text;
    text.id = value.id.str();
    return text;
}

checkpoint_text to_text(checkpoint_part const& value) {
    checkpoint_text text;
    text.writer = value.writer.str();
    text.covers = value.part.covers.value;
    text.index = value.part.index;
    text.count = value.part.count;
    text.digest = value.part.digest;
    for (profile_state const& each : value.part.profiles) {
        text.profiles.push_back(
            {each.value.revision, each.removed, to_text(each.value)});
    }
    for (remembered_change const& each : value.part.changes) {
        auto const code = static_cast<std::size_t>(each.first);
        text.changes.push_back(
            {each.id.str(), each.offset.value,
             std::string(verdict_codes.at(code)), each.content});
    }
    return text;
}

decoded_record from_text(change_text const& text) {
    if (text.format != record_format) {
        return wrong_format();
    }
    change value;
    value.id = change_id(text.id);
    value.author = text.author;
    for (edit_text const& each : text.edits) {
        std::optional<profile_edit> edit = read_edit(each);
        if (!edit) {
            return record_error{"an edit has a code that is not known"};
        }
        value.edits.push_back(std::move(*edit));
    }
    std::vector<std::string> const problems = check_change(value);
    if (!problems.empty()) {
        return record_error{problems.front()};
    }
    return config_record(std::move(value));
}

decoded_record from_text(withdrawal_text const& text) {
    if (text.format != record_format) {
        return wrong_format();
    }
    std::string problem = check_name("change id", text.id);
    if (!problem.empty()) {
        return record_error{std::move(problem)};
    }
    return config_record(change_withdrawal{change_id(text.id)});
}

decoded_record from_text(checkpoint_text const& text) {
    if (text.format != record_format) {
        return wrong_format();
    }
    if (text.count > most_state_parts || text.index >= text.count) {
        return record_error{"its part number is out of range"};
    }
    checkpoint_part value;
    value.writer = node_id(text.writer);
    value.part.covers = log_offset{text.covers};
    value.part.index = text.index;
    value.part.count = text.count;
    value.part.digest = text.digest;
    for (profile_state_text const& each : text.profiles) {
        std::optional<profile_state> state = read_state(each);
        if (!state) {
            return record_error{"a profile has a code that is not known"};
        }
        value.part.profiles.push_back(std::move(*state));
    }
    for (remembered_text const& each : text.changes) {
        std::optional<remembered_change> entry = read_change(each);
        if (!entry) {
            return record_error{"a verdict is not known"};
        }
        value.part.changes.push_back(std::move(*entry));
    }
    return config_record(std::move(value));
}

} // namespace camphorpoint::internal
