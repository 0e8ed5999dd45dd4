#include "Routing/declared_versions.hpp"

#include <algorithm>
#include <iterator>

namespace camphorpoint {

bool declared_versions::declare(
    adapter_ref const& adapter, instant now, duration grace) {
    auto const [position, inserted] = versions_.try_emplace(adapter.id);
    adapter_versions& entry = position->second;
    if (inserted) {
        entry.index = all_.size();
        all_.push_back({adapter.id, 0});
    }
    adapter_ref& newest = all_[entry.index];
    if (adapter.version <= newest.version) {
        return false;
    }
    // Guards against a version that never takes effect because each newer one
    // replaces it before its time: requests would start on a version that was
    // replaced long ago.
    std::vector<declared_version>& declared = entry.declared;
    declared.push_back({adapter.version, now + grace});
    auto const effective = std::find_if(
        declared.rbegin(), declared.rend(),
        [&](declared_version const& each) { return now >= each.effective_at; });
    if (effective != declared.rend()) {
        declared.erase(declared.begin(), std::prev(effective.base()));
    }
    total_ += adapter.version - newest.version;
    newest.version = adapter.version;
    return true;
}

std::uint32_t
declared_versions::min_version(adapter_id const& adapter, instant now) const {
    auto const found = versions_.find(adapter);
    std::uint32_t result = 0;
    if (found != versions_.end()) {
        for (declared_version const& each : found->second.declared) {
            result = now >= each.effective_at ? each.version : result;
        }
    }
    return result;
}

std::optional<std::uint32_t>
declared_versions::newest(adapter_id const& adapter) const {
    auto const found = versions_.find(adapter);
    if (found == versions_.end()) {
        return std::nullopt;
    }
    return all_[found->second.index].version;
}

} // namespace camphorpoint
