#include "app/planning.hpp"

#include "Operator/profile_listing.hpp"
#include "app/files.hpp"
#include "app/flags.hpp"

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <cstdio>

namespace camphorpoint {

std::optional<plan> make_plan_with(
    std::string_view what, command_words const& words, node_client const& node,
    exit_code& end) {
    end = exit_code::usage;
    if (words.empty()) {
        fmt::print(stderr, "{}: name declarations\n", what);
        return std::nullopt;
    }
    declarations const read = read_declarations(words);
    if (!read.usable()) {
        print_problems(read);
        return std::nullopt;
    }
    end = exit_code::failed;
    fetch_result const got = node.get("/profiles");
    auto const listing = decode_profile_listing(got.response.body);
    if (got.how != call_result::answered || !listing) {
        print_failure(what, node, got);
        return std::nullopt;
    }
    end = exit_code::ok;
    undeclared_profiles const rest = absl::GetFlag(FLAGS_prune)
                                         ? undeclared_profiles::remove
                                         : undeclared_profiles::keep;
    return make_plan(listing->profiles, read.reader.profiles(), rest);
}

void print_plan(plan const& wanted) {
    fmt::print("{}", wanted.diff);
    if (!wanted.kept.empty()) {
        fmt::print(
            "{} profiles in force are not declared here and stay\n",
            wanted.kept.size());
    }
    if (wanted.edits.empty()) {
        fmt::print("nothing to change\n");
    }
}

} // namespace camphorpoint
