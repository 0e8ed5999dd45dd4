#include "Config/state_assembler.hpp"

#include <cassert>
#include <iterator>
#include <utility>

namespace camphorpoint {

namespace {

// Upper bounds of an entry's JSON text: keys, numbers and line ends, and each
// byte of text twice, since quotes and backslashes are escaped.
constexpr std::size_t profile_overhead = 360;
constexpr std::size_t change_overhead = 200;
constexpr std::size_t part_overhead = 512;

std::size_t size_bound(profile_state const& state) {
    profile const& value = state.value;
    return profile_overhead +
           2 * (value.name.str().size() + value.model.str().size() +
                value.adapter.id.str().size());
}

std::size_t size_bound(remembered_change const& entry) {
    return change_overhead + 2 * entry.id.str().size();
}

/// Fills parts one after the other.
class part_filler {
public:
    explicit part_filler(std::size_t most_bytes)
        : most_bytes_(most_bytes) {}

    void make_room(std::size_t bytes) {
        if (parts_.empty() || used_ + bytes > most_bytes_) {
            parts_.emplace_back();
            used_ = part_overhead;
        }
        used_ += bytes;
    }
    state_part& last() { return parts_.back(); }
    std::vector<state_part> take() { return std::move(parts_); }

private:
    std::size_t most_bytes_;
    std::size_t used_ = 0;
    std::vector<state_part> parts_;
};

// The most states that are put together at a time; in the log two writers at
// once are rare, and half-written checkpoints are left behind by any number.
constexpr std::size_t most_open = 4;

template <class T>
void append(std::vector<T>& to, std::vector<T> const& from) {
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

std::vector<state_part>
split_state(configuration_state const& state, std::size_t most_bytes) {
    part_filler filler(most_bytes);
    filler.make_room(0);
    for (profile_state const& each : state.profiles) {
        filler.make_room(size_bound(each));
        filler.last().profiles.push_back(each);
    }
    for (remembered_change const& each : state.changes) {
        filler.make_room(size_bound(each));
        filler.last().changes.push_back(each);
    }
    std::vector<state_part> parts = filler.take();
    assert(parts.size() <= most_state_parts && "the state has too many parts");
    for (std::size_t index = 0; index < parts.size(); ++index) {
        parts[index].covers = state.next;
        parts[index].index = static_cast<std::uint32_t>(index);
        parts[index].count = static_cast<std::uint32_t>(parts.size());
    }
    parts.back().digest = state.digest;
    return parts;
}

std::optional<configuration_state>
state_assembler::add(std::string const& sender, state_part const& part) {
    if (part.index >= part.count || part.count > most_state_parts) {
        return std::nullopt;
    }
    key const which{part.covers, sender, part.count};
    parts& have = open_[which];
    have[part.index] = part;
    if (have.size() < part.count) {
        // The lowest offset goes first: it is the least use to anybody.
        if (open_.size() > most_open) {
            open_.erase(open_.begin());
        }
        return std::nullopt;
    }
    configuration_state state;
    state.next = part.covers;
    state.digest = have.rbegin()->second.digest;
    for (auto const& [index, each] : have) {
        append(state.profiles, each.profiles);
        append(state.changes, each.changes);
    }
    // What covers no more than this one is of no use any longer.
    open_.erase(open_.begin(), std::next(open_.find(which)));
    return state;
}

} // namespace camphorpoint
