#include "Config/change.hpp"

#include "Config/profile_rules.hpp"

#include <fmt/format.h>

#include <set>

namespace camphorpoint {

profile_name const& edited_profile(profile_edit const& edit) noexcept {
    if (auto const* put = std::get_if<put_profile>(&edit)) {
        return put->next.name;
    }
    return std::get<remove_profile>(edit).name;
}

std::uint64_t base_revision(profile_edit const& edit) noexcept {
    return std::visit(
        [](auto const& each) { return each.base_revision; }, edit);
}

namespace {

std::vector<std::string> check_edit(profile_edit const& edit) {
    if (auto const* put = std::get_if<put_profile>(&edit)) {
        return check_profile(put->next);
    }
    std::string problem = check_name("name", edited_profile(edit).str());
    if (problem.empty()) {
        return {};
    }
    return {std::move(problem)};
}

} // namespace

std::vector<std::string> check_change(change const& value) {
    std::vector<std::string> problems;
    for (std::string problem :
         {check_name("change id", value.id.str()),
          check_name("author", value.author)}) {
        if (!problem.empty()) {
            problems.push_back(std::move(problem));
        }
    }
    if (value.edits.empty()) {
        problems.emplace_back("there is no edit");
    }
    std::set<profile_name> seen;
    for (profile_edit const& edit : value.edits) {
        profile_name const& name = edited_profile(edit);
        for (std::string const& problem : check_edit(edit)) {
            problems.push_back(fmt::format("{}: {}", name.str(), problem));
        }
        if (!seen.insert(name).second) {
            problems.push_back(fmt::format("{}: is edited twice", name.str()));
        }
    }
    return problems;
}

} // namespace camphorpoint
