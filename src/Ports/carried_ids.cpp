#include "Ports/carried_ids.hpp"

#include "Core/hash.hpp"

#include <algorithm>

namespace camphorpoint::internal {

void carried_ids::add(std::string_view id) {
    unnamed_ = unnamed_ || id.empty();
    if (!id.empty()) {
        hashes_.push_back(hash_text(id));
    }
}

bool carried_ids::contains(std::string_view id) const {
    return !id.empty() &&
           std::ranges::find(hashes_, hash_text(id)) != hashes_.end();
}

} // namespace camphorpoint::internal
