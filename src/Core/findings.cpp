#include "Core/findings.hpp"

#include <fmt/format.h>

#include <utility>

namespace camphorpoint {

void findings::add(place where, std::string what) {
    all_.push_back({std::move(where), std::move(what)});
}

std::string findings::report() const {
    std::string text;
    for (finding const& each : all_) {
        text += fmt::format(
            "{}:{}: {}: {}\n", each.where.file, each.where.line, each.where.key,
            each.what);
    }
    return text;
}

} // namespace camphorpoint
