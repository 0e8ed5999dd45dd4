#include "Config/change_publisher.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

std::vector<std::string> problems_of(change const& value) {
    std::vector<std::string> problems = check_change(value);
    if (problems.empty()) {
        // What replay will say of it, such as text that is not UTF-8.
        decoded_record const again = decode(encode(value));
        if (!again) {
            problems.push_back(again.error().what);
        }
    }
    return problems;
}

} // namespace

std::vector<publish_action> change_publisher::publish(
    std::uint64_t number, change value, configuration const& current,
    instant now) {
    actions out;
    publish_report refusal{number, value.id, publish_end::invalid, {}, {}, {}};
    refusal.problems = problems_of(value);
    if (!refusal.problems.empty()) {
        out.emplace_back(std::move(refusal));
        return out;
    }
    if (pending_.size() >= settings_.most_pending) {
        refusal.how = publish_end::not_published;
        refusal.problems.emplace_back("too many changes are under way here");
        out.emplace_back(std::move(refusal));
        return out;
    }
    pending next;
    next.number = number;
    next.value = std::move(value);
    next.began = now;
    // An id that replay knows is settled already: the operator asks again.
    if (settle(next, current, out)) {
        return out;
    }
    append_change(next, now, out);
    pending_.push_back(std::move(next));
    return out;
}

void change_publisher::append_change(pending& each, instant now, actions& out) {
    each.where = stage::appending;
    each.since = now;
    each.append = ++last_append_;
    out.emplace_back(publish_append{each.append, encode(each.value)});
}

void change_publisher::append_withdrawal(
    pending& each, instant now, actions& out) {
    each.next_withdrawal = now + settings_.retry_every;
    each.append = ++last_append_;
    out.emplace_back(
        publish_append{each.append, encode(change_withdrawal{each.value.id})});
}

std::vector<publish_action> change_publisher::on_append_ended(
    std::uint64_t append, append_result how, log_offset offset, instant now) {
    auto const found = std::ranges::find(pending_, append, &pending::append);
    if (append == 0 || found == pending_.end()) {
        return {};
    }
    found->append = 0;
    if (found->where != stage::appending) {
        // A withdrawal. Whatever became of it, the log's records decide; it is
        // appended again until one of them shows.
        found->next_withdrawal = now + settings_.retry_every;
        return {};
    }
    found->since = now;
    switch (how) {
    case append_result::appended:
        found->where = stage::appended;
        found->offset = offset;
        break;
    case append_result::not_sent:
        found->where = stage::not_sent;
        break;
    case append_result::lost:
        // Guards against a change that is published twice, or reported as not
        // published and then in force: the record may stand in the log, or
        // still be on its way. From here on it is never appended again.
        found->where = stage::lost;
        found->next_withdrawal = now + settings_.withdraw_after;
        break;
    }
    return {};
}

std::vector<publish_action>
change_publisher::on_progress(configuration const& current, instant now) {
    actions out;
    std::erase_if(pending_, [&](pending& each) {
        return settle(each, current, out) || advance(each, now, out);
    });
    return out;
}

bool change_publisher::settle(
    pending const& each, configuration const& current, actions& out) {
    std::optional<remembered_change> const known =
        current.verdict_of(each.value.id);
    if (!known) {
        return settle_unseen(each, current, out);
    }
    publish_report report;
    report.number = each.number;
    report.id = each.value.id;
    report.offset = known->offset;
    if (known->first == verdict::withdrawn) {
        report.how = publish_end::not_published;
        report.problems.emplace_back("it was withdrawn");
    } else if (known->content != content_hash(each.value)) {
        report.how = publish_end::invalid;
        report.problems.emplace_back("its id is that of another change");
    } else if (known->first == verdict::accepted) {
        report.how = publish_end::accepted;
    } else {
        report.how = publish_end::conflict;
        report.conflicts = current.conflicts_of(each.value);
    }
    out.emplace_back(std::move(report));
    return true;
}

bool change_publisher::settle_unseen(
    pending const& each, configuration const& current, actions& out) {
    if (each.where != stage::appended || current.next() <= each.offset) {
        return false;
    }
    // Replay is past the record and does not know the id: it is forgotten
    // already, or replay did not take the record for a change.
    bool const forgotten =
        current.next().value - each.offset.value > change_memory;
    publish_report report;
    report.number = each.number;
    report.id = each.value.id;
    report.offset = each.offset;
    report.how = forgotten ? publish_end::unknown : publish_end::invalid;
    report.problems.emplace_back(
        forgotten ? "its verdict is no longer remembered"
                  : "the record in the log was not taken for this change");
    out.emplace_back(std::move(report));
    return true;
}

bool change_publisher::advance(pending& each, instant now, actions& out) {
    publish_report report;
    report.number = each.number;
    report.id = each.value.id;
    switch (each.where) {
    case stage::appending:
        return false;
    case stage::not_sent:
        if (now - each.began < settings_.retry_for) {
            if (now - each.since >= settings_.retry_every) {
                append_change(each, now, out);
            }
            return false;
        }
        report.how = publish_end::not_published;
        report.problems.emplace_back("the log could not be reached");
        break;
    case stage::lost:
        if (each.append == 0 && now >= each.next_withdrawal) {
            append_withdrawal(each, now, out);
        }
        [[fallthrough]];
    case stage::appended:
        if (now - each.since < settings_.unknown_after) {
            return false;
        }
        report.offset = each.offset;
        report.problems.push_back(fmt::format(
            "it may be in force; ask again by its id {}", each.value.id.str()));
        break;
    }
    out.emplace_back(std::move(report));
    return true;
}

} // namespace camphorpoint
