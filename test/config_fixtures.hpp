#pragma once

#include <Camphorpoint/Config>

#include <string>
#include <vector>

namespace camphorpoint {

inline profile make_profile(std::string const& name, std::uint32_t version) {
    profile value;
    value.name = profile_name(name);
    value.model = model_id("base-7b");
    value.adapter = {adapter_id(name), version};
    return value;
}

inline profile_edit
put(std::string const& name, std::uint64_t base, std::uint32_t version = 1) {
    return put_profile{base, make_profile(name, version)};
}

inline profile_edit take_out(std::string const& name, std::uint64_t base) {
    return remove_profile{base, profile_name(name)};
}

inline change
make_change(std::string const& id, std::vector<profile_edit> edits) {
    return {change_id(id), "eva", std::move(edits)};
}

/// A log with an offset for each record, whose first records can expire.
class fake_log {
public:
    log_offset append(config_record const& record) {
        return append_text(encode(record));
    }
    log_offset append_text(std::string text) {
        log_offset const offset = head();
        records_.push_back({offset, clock, std::move(text)});
        return offset;
    }
    void trim(log_offset first) { first_ = std::max(first_, first); }
    log_offset head() const { return log_offset{records_.size()}; }
    log_record const& at(log_offset offset) const {
        return records_[offset.value];
    }
    log_batch read(log_offset from, instant started) const {
        log_batch batch;
        batch.from = from;
        batch.first = first_;
        batch.head = head();
        batch.read_started = started;
        for (log_offset at = std::max(from, first_);
             at < head() && batch.records.size() < batch_records; ++at.value) {
            batch.records.push_back(records_[at.value]);
        }
        return batch;
    }

    /// The log service's clock.
    wall_time clock{};

private:
    static constexpr std::size_t batch_records = 100;

    log_offset first_;
    std::vector<log_record> records_;
};

/// Applies all records from next() on.
inline void replay(configuration& into, fake_log const& log) {
    while (into.next() < log.head()) {
        into.apply(log.at(into.next()));
    }
}

/// Writes a whole checkpoint, or its first parts.
inline void write_checkpoint(
    fake_log& log, configuration const& from, std::string const& writer,
    std::size_t parts = most_state_parts, std::size_t part_bytes = 2'048) {
    for (state_part const& part : split_state(from.snapshot(), part_bytes)) {
        if (part.index < parts) {
            log.append(checkpoint_part{node_id(writer), part});
        }
    }
}

} // namespace camphorpoint
