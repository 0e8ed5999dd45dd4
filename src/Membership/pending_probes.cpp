#include "Membership/pending_probes.hpp"

#include <algorithm>

namespace camphorpoint {

std::uint32_t pending_probes::start(
    node_id const& target, instant indirect_at, instant deadline) {
    ++last_sequence_;
    // Sequence number 0 marks probes that expect no ack.
    if (last_sequence_ == 0) {
        ++last_sequence_;
    }
    probes_[last_sequence_] = {target, indirect_at, deadline, false};
    return last_sequence_;
}

void pending_probes::complete(node_id const& target) {
    std::erase_if(probes_, [&target](auto const& entry) {
        return entry.second.target == target;
    });
}

std::vector<pending_probes::late_probe>
pending_probes::drain_late(instant now) {
    std::vector<late_probe> result;
    for (auto& [sequence, each] : probes_) {
        if (!each.indirect_requested && now >= each.indirect_at) {
            each.indirect_requested = true;
            result.push_back({sequence, each.target});
        }
    }
    return result;
}

std::vector<node_id> pending_probes::drain_failed(instant now) {
    std::vector<node_id> result;
    std::erase_if(probes_, [&](auto const& entry) {
        if (now < entry.second.deadline) {
            return false;
        }
        result.push_back(entry.second.target);
        return true;
    });
    return result;
}

bool pending_probes::contains(node_id const& target) const {
    return std::ranges::any_of(probes_, [&target](auto const& entry) {
        return entry.second.target == target;
    });
}

} // namespace camphorpoint
