#include "Delivery/part_outputs.hpp"

#include <utility>

namespace camphorpoint {

namespace {

/// A node's requests have some hundred shared parts within ten minutes.
constexpr std::size_t max_entries_per_map = 2'048;

} // namespace

void part_outputs::record(request_fingerprint part, instant now) {
    bool const full =
        newer_.size() >= max_entries_per_map && !newer_.contains(part);
    if (full) {
        older_ = std::exchange(newer_, {});
    }
    newer_[part] = now;
}

bool part_outputs::seen_since(request_fingerprint part, instant time) const {
    return contains_since(newer_, part, time) ||
           contains_since(older_, part, time);
}

bool part_outputs::contains_since(
    times const& in, request_fingerprint part, instant time) {
    auto const found = in.find(part);
    return found != in.end() && found->second >= time;
}

} // namespace camphorpoint
