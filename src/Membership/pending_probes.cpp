#include "Membership/pending_probes.hpp"

#include <algorithm>

namespace camphorpoint {

std::uint32_t
pending_probes::begin(node_id const& target, instant ask_at, instant end_at) {
    ++last_;
    // Zero marks datagrams that want no answer.
    if (last_ == 0) {
        ++last_;
    }
    open_[last_] = {target, ask_at, end_at, false};
    return last_;
}

void pending_probes::heard(node_id const& target) {
    std::erase_if(open_, [&target](auto const& entry) {
        return entry.second.target == target;
    });
}

std::vector<pending_probes::late_probe> pending_probes::take_late(instant now) {
    std::vector<late_probe> result;
    for (auto& [sequence, each] : open_) {
        if (!each.asked && now >= each.ask_at) {
            each.asked = true;
            result.push_back({sequence, each.target});
        }
    }
    return result;
}

std::vector<node_id> pending_probes::take_failed(instant now) {
    std::vector<node_id> result;
    std::erase_if(open_, [&](auto const& entry) {
        if (now < entry.second.end_at) {
            return false;
        }
        result.push_back(entry.second.target);
        return true;
    });
    return result;
}

bool pending_probes::probing(node_id const& target) const {
    return std::ranges::any_of(open_, [&target](auto const& entry) {
        return entry.second.target == target;
    });
}

} // namespace camphorpoint
