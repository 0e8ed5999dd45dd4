#include "Routing/declared_versions.hpp"

#include <algorithm>
#include <iterator>

namespace camphorpoint {

bool declared_versions::declare(
    adapter_ref const& adapter, instant now, duration grace) {
    auto const [place, fresh] = versions_.try_emplace(adapter.id);
    adapter_versions& of = place->second;
    if (fresh) {
        of.place = all_.size();
        all_.push_back({adapter.id, 0});
    }
    adapter_ref& newest = all_[of.place];
    if (adapter.version <= newest.version) {
        return false;
    }
    // Guards against a version that never binds, as each new one before its
    // time would put the others off: requests would begin on one that was
    // replaced long ago.
    std::vector<named>& row = of.named_so_far;
    row.push_back({adapter.version, now + grace});
    auto const binds =
        std::find_if(row.rbegin(), row.rend(), [&](named const& each) {
            return now >= each.binds_at;
        });
    if (binds != row.rend()) {
        row.erase(row.begin(), std::prev(binds.base()));
    }
    total_ += adapter.version - newest.version;
    newest.version = adapter.version;
    return true;
}

std::uint32_t
declared_versions::min_version(adapter_id const& adapter, instant now) const {
    auto const found = versions_.find(adapter);
    std::uint32_t bound = 0;
    if (found != versions_.end()) {
        for (named const& each : found->second.named_so_far) {
            bound = now >= each.binds_at ? each.version : bound;
        }
    }
    return bound;
}

std::optional<std::uint32_t>
declared_versions::newest(adapter_id const& adapter) const {
    auto const found = versions_.find(adapter);
    if (found == versions_.end()) {
        return std::nullopt;
    }
    return all_[found->second.place].version;
}

} // namespace camphorpoint
