#include "metadata/metadata_store.hpp"

#include <set>

namespace standins {

namespace {

constexpr unsigned parts_of_topic = 12;

} // namespace

void metadata_store::put(
    std::string const& topic, std::string key, std::string value) {
    topic_log& log = logs_[{topic, 0}];
    if (value.empty()) {
        log.newest.erase(key);
    } else {
        log.newest[key] = value;
    }
    log.records.push_back({std::move(key), std::move(value)});
}

std::uint64_t metadata_store::append(
    std::string const& topic, unsigned part, std::string record) {
    topic_log& log = logs_[{topic, part}];
    log.records.push_back({"", std::move(record)});
    return log.first + log.records.size() - 1;
}

std::map<std::string, std::string>
metadata_store::newest(std::string const& topic) const {
    auto const found = logs_.find({topic, 0});
    return found == logs_.end() ? std::map<std::string, std::string>()
                                : found->second.newest;
}

std::uint64_t
metadata_store::end(std::string const& topic, unsigned part) const {
    auto const found = logs_.find({topic, part});
    return found == logs_.end()
               ? 0
               : found->second.first + found->second.records.size();
}

std::optional<std::vector<stored_record>>
metadata_store::read(std::string const& topic, std::uint64_t from) const {
    auto const found = logs_.find({topic, 0});
    if (found == logs_.end()) {
        return std::vector<stored_record>();
    }
    topic_log const& log = found->second;
    if (from < log.first) {
        return std::nullopt;
    }
    std::vector<stored_record> read;
    for (std::size_t at = from - log.first; at < log.records.size(); ++at) {
        read.push_back(log.records[at]);
    }
    return read;
}

void metadata_store::forget(std::string const& topic) {
    topic_log& log = logs_[{topic, 0}];
    log.first += log.records.size();
    log.records.clear();
}

std::vector<metadata_store::part_name> metadata_store::join(
    std::string const& member, std::vector<std::string> const& topics,
    std::chrono::milliseconds lease, camphorpoint::instant now) {
    bool changed = !members_.contains(member);
    members_[member] = now + lease;
    changed = std::erase_if(
                  members_,
                  [&](auto const& each) { return each.second <= now; }) > 0 ||
              changed;
    if (changed) {
        deal(topics);
    }
    std::vector<part_name> held;
    for (auto const& [part, owner] : owners_) {
        if (owner == member) {
            held.push_back(part);
        }
    }
    return held;
}

void metadata_store::leave(std::string const& member) {
    members_.erase(member);
    std::set<std::string> topics;
    for (auto const& [part, owner] : owners_) {
        topics.insert(part.first);
    }
    if (members_.empty()) {
        owners_.clear();
        ++generation_;
    } else {
        deal({topics.begin(), topics.end()});
    }
}

void metadata_store::deal(std::vector<std::string> const& topics) {
    ++generation_;
    owners_.clear();
    auto next = members_.begin();
    for (std::string const& topic : topics) {
        for (unsigned part = 0; part < parts_of_topic; ++part) {
            owners_[{topic, part}] = next->first;
            ++next;
            next = next == members_.end() ? members_.begin() : next;
        }
    }
}

} // namespace standins
