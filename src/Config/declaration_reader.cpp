#include "Config/declaration_reader.hpp"

#include "Config/profile_rules.hpp"
#include "Settings/toml_section.hpp"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <limits>

namespace camphorpoint {

namespace {

profile read_profile(toml_section section) {
    profile result;
    result.name = profile_name(section.required_text("name"));
    std::string const kind = section.text("kind", "engine");
    if (kind != "engine" && kind != "service") {
        section.complain("kind", "must be \"engine\" or \"service\"");
    }
    result.kind =
        kind == "service" ? endpoint_kind::service : endpoint_kind::engine;
    if (result.kind == endpoint_kind::engine) {
        result.model = model_id(section.required_text("model"));
        result.adapter.id = adapter_id(section.required_text("adapter"));
        result.adapter.version = static_cast<std::uint32_t>(section.integer(
            "version", std::nullopt, 1,
            std::numeric_limits<std::uint32_t>::max()));
    } else {
        result.model = model_id(section.required_text("service"));
    }
    std::string const urgency_code = section.text("urgency", "normal");
    std::optional<urgency> const parsed = parse_urgency(urgency_code);
    if (!parsed) {
        section.complain(
            "urgency", "must be immediate, high, normal or background");
    }
    result.how_urgent = parsed.value_or(urgency::normal);
    result.idempotent = section.boolean("idempotent", std::nullopt);
    result.default_deadline = section.time(
        "deadline", std::chrono::milliseconds(30'000),
        std::chrono::milliseconds(1), longest_deadline);
    section.refuse_unknown_keys();
    return result;
}

} // namespace

void declaration_reader::read(std::string const& file, std::string_view text) {
    std::optional<toml::table> const parsed = parse_toml(file, text, problems_);
    if (!parsed) {
        return;
    }
    toml_section root(file, "", *parsed, problems_);
    for (toml_section& each : root.tables("profile")) {
        profile next = read_profile(each);
        auto const same_name = [&](profile const& other) {
            return other.name == next.name;
        };
        if (std::ranges::any_of(profiles_, same_name)) {
            each.complain(
                "name", fmt::format("{} is declared twice", next.name.str()));
        }
        profiles_.push_back(std::move(next));
    }
    root.refuse_unknown_keys();
    std::ranges::sort(profiles_, {}, &profile::name);
}

} // namespace camphorpoint
