#include "Config/configuration.hpp"

#include "Config/profile_rules.hpp"
#include "Core/hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace camphorpoint {

namespace {

// Seeds keep a profile's hash and a change's apart.
constexpr std::uint64_t profile_seed = 1;
constexpr std::uint64_t change_seed = 2;
constexpr std::uint64_t content_seed = 3;

// Names hold no control characters, so this one keeps fields apart.
constexpr char separator = '\x1f';

std::string fields_of(profile const& value) {
    return fmt::format(
        "{1}{0}{2}{0}{3}{0}{4}{0}{5}{0}{6}{0}{7}{0}{8}", separator,
        value.name.str(), static_cast<int>(value.kind), value.model.str(),
        value.adapter.id.str(), value.adapter.version,
        static_cast<int>(value.how_urgent), value.idempotent,
        value.default_deadline.count());
}

// The digest is the sum of these hashes, modulo 2^64: a change of one profile
// takes one hash out and puts one in, whatever the number of profiles, and the
// order of changes does not count. Reference: M. Bellare, D. Micciancio, "A
// new paradigm for collision-free hashing", Eurocrypt 1997 (AdHash). It finds
// faults, not attackers: 64 bits stand against no one who looks for collisions.
std::uint64_t hash_of(profile_state const& state) {
    std::string const fields =
        state.removed ? state.value.name.str() : fields_of(state.value);
    return hash_text(
        fmt::format(
            "{1}{0}{2}{0}{3}", separator, state.removed, state.value.revision,
            fields),
        profile_seed);
}

std::uint64_t hash_of(remembered_change const& entry) {
    return hash_text(
        fmt::format(
            "{1}{0}{2}{0}{3}{0}{4}", separator, entry.id.str(),
            entry.offset.value, static_cast<int>(entry.first), entry.content),
        change_seed);
}

bool is_right(profile_state const& state) {
    if (state.removed) {
        return check_name("name", state.value.name.str()).empty();
    }
    return check_profile(state.value).empty();
}

} // namespace

std::uint64_t content_hash(change const& value) {
    std::string text = value.author;
    for (profile_edit const& edit : value.edits) {
        text += separator;
        text += std::to_string(base_revision(edit));
        text += separator;
        if (auto const* put = std::get_if<put_profile>(&edit)) {
            text += fields_of(put->next);
        } else {
            text += edited_profile(edit).str();
        }
    }
    return hash_text(text, content_seed);
}

bool is_intact(configuration_state const& state) {
    std::uint64_t digest = 0;
    profile_name const* last_name = nullptr;
    for (profile_state const& each : state.profiles) {
        if (!is_right(each) ||
            (last_name != nullptr && each.value.name <= *last_name)) {
            return false;
        }
        last_name = &each.value.name;
        digest += hash_of(each);
    }
    log_offset free_offset{};
    for (remembered_change const& each : state.changes) {
        if (each.offset < free_offset || each.offset >= state.next ||
            each.first > verdict::withdrawn) {
            return false;
        }
        free_offset = log_offset{each.offset.value + 1};
        digest += hash_of(each);
    }
    return digest == state.digest;
}

apply_report configuration::apply(log_record const& record) {
    if (record.offset < next_) {
        return {};
    }
    advance(record.offset);
    if (looks_like_checkpoint(record.data)) {
        // It says again what replay has made of the records before it.
        return {};
    }
    decoded_record const decoded = decode(record.data);
    if (!decoded) {
        apply_report report;
        report.what = verdict::rejected_invalid;
        report.problem = decoded.error().what;
        return report;
    }
    return std::visit(
        [&](auto const& value) { return judge(value, record.offset); },
        decoded.value());
}

void configuration::pass(log_offset offset) {
    if (offset >= next_) {
        advance(offset);
    }
}

void configuration::advance(log_offset offset) {
    assert(offset == next_ && "records are applied without a gap");
    next_ = log_offset{offset.value + 1};
    forget_old();
}

apply_report configuration::judge(change const& value, log_offset offset) {
    apply_report report;
    report.id = value.id;
    // Guards against a record that stands twice in the log, after a retry
    // below the publisher: the second would be reported as a conflict with its
    // own first, or, if the first was too early for its base, take effect.
    if (changes_.contains(value.id)) {
        report.what = verdict::repeated;
        return report;
    }
    report.conflicts = conflicts_of(value);
    report.what = report.conflicts.empty() ? verdict::accepted
                                           : verdict::rejected_conflict;
    if (report.conflicts.empty()) {
        for (profile_edit const& edit : value.edits) {
            accept(edit, offset);
        }
    }
    remember({value.id, offset, report.what, content_hash(value)});
    return report;
}

apply_report
configuration::judge(change_withdrawal const& value, log_offset offset) {
    apply_report report;
    report.id = value.id;
    if (changes_.contains(value.id)) {
        report.what = verdict::repeated;
        return report;
    }
    report.what = verdict::withdrawn;
    remember({value.id, offset, verdict::withdrawn, 0});
    return report;
}

apply_report configuration::judge(checkpoint_part const&, log_offset) {
    return {};
}

void configuration::accept(profile_edit const& edit, log_offset offset) {
    profile_name const& name = edited_profile(edit);
    auto const found = profiles_.find(name);
    undo entry{offset, name, std::nullopt};
    if (found != profiles_.end()) {
        entry.before = found->second;
    }
    undo_.push_back(std::move(entry));
    while (undo_.size() > pinned_edits) {
        pinned_from_ = log_offset{undo_.front().offset.value + 1};
        undo_.pop_front();
    }
    profile_state next;
    if (auto const* put = std::get_if<put_profile>(&edit)) {
        next.value = put->next;
    } else {
        next.value.name = name;
        next.removed = true;
    }
    next.value.revision = revision_of(name) + 1;
    replace(std::move(next));
}

void configuration::replace(profile_state state) {
    auto const found = profiles_.find(state.value.name);
    if (found != profiles_.end()) {
        digest_ -= hash_of(found->second);
        in_force_ -= found->second.removed ? 0 : 1;
    }
    digest_ += hash_of(state);
    in_force_ += state.removed ? 0 : 1;
    profile_name const name = state.value.name;
    profiles_[name] = std::move(state);
}

void configuration::remember(remembered_change entry) {
    digest_ += hash_of(entry);
    change_order_.push_back(entry.id);
    change_id const id = entry.id;
    changes_[id] = std::move(entry);
}

void configuration::forget_old() {
    // By offsets alone, so that all nodes forget at the same record.
    while (!change_order_.empty()) {
        auto const oldest = changes_.find(change_order_.front());
        if (oldest->second.offset.value + change_memory >= next_.value) {
            return;
        }
        digest_ -= hash_of(oldest->second);
        changes_.erase(oldest);
        change_order_.pop_front();
    }
}

bool configuration::adopt(configuration_state const& state) {
    // Guards against going back: a stale peer or an old checkpoint would bring
    // earlier profiles in force again. What is not ahead is not taken.
    if (state.next <= next_ || !is_intact(state)) {
        return false;
    }
    *this = configuration{};
    next_ = state.next;
    pinned_from_ = state.next;
    for (profile_state const& each : state.profiles) {
        replace(each);
    }
    for (remembered_change const& each : state.changes) {
        remember(each);
    }
    return true;
}

configuration_state configuration::snapshot() const {
    configuration_state state;
    state.next = next_;
    state.digest = digest_;
    for (auto const& [name, each] : profiles_) {
        state.profiles.push_back(each);
    }
    for (change_id const& id : change_order_) {
        state.changes.push_back(changes_.at(id));
    }
    return state;
}

profile const* configuration::find(profile_name const& name) const {
    auto const found = profiles_.find(name);
    bool const in_force = found != profiles_.end() && !found->second.removed;
    return in_force ? &found->second.value : nullptr;
}

pinned_profile
configuration::find_at(profile_name const& name, log_offset at) const {
    if (at > next_ || at < pinned_from_) {
        return {};
    }
    std::optional<profile_state> state;
    auto const found = profiles_.find(name);
    if (found != profiles_.end()) {
        state = found->second;
    }
    for (auto each = undo_.rbegin(); each != undo_.rend() && each->offset >= at;
         ++each) {
        if (each->name == name) {
            state = each->before;
        }
    }
    if (!state || state->removed) {
        return {true, std::nullopt};
    }
    return {true, std::move(state->value)};
}

std::uint64_t configuration::revision_of(profile_name const& name) const {
    auto const found = profiles_.find(name);
    return found == profiles_.end() ? 0 : found->second.value.revision;
}

std::optional<remembered_change>
configuration::verdict_of(change_id const& id) const {
    auto const found = changes_.find(id);
    if (found == changes_.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<profile_conflict>
configuration::conflicts_of(change const& value) const {
    std::vector<profile_conflict> conflicts;
    for (profile_edit const& edit : value.edits) {
        profile_name const& name = edited_profile(edit);
        std::uint64_t const base = base_revision(edit);
        std::uint64_t const current = revision_of(name);
        bool const removes_nothing =
            std::holds_alternative<remove_profile>(edit) &&
            find(name) == nullptr;
        if (base != current || removes_nothing) {
            conflicts.push_back({name, base, current});
        }
    }
    return conflicts;
}

} // namespace camphorpoint
