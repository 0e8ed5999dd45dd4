// Export and import of a shard's table, for the handover from one owner to the
// next.
#include "Keys/key_table.hpp"

#include <string>
#include <vector>

namespace camphorpoint {

void key_table::import_records(
    std::vector<key_record> const& records, wall_time bound,
    clock_reading const& clock) {
    for (key_record const& each : records) {
        auto const [position, is_new] = entries_.try_emplace(each.key);
        if (!is_new) {
            merge(position->second, each);
            continue;
        }
        // Records are imported even when the table is full: if one were left
        // out, its key would be forgotten without notice, and its work could be
        // executed again.
        memory_.add_records(1);
        entry& made = position->second;
        made.record = each;
        made.record.answer_kept = false;
        made.record.answer = std::string();
        made.last_seen = clock.now;
        if (each.state == key_state::running) {
            running_.insert(each.key);
        }
        if (each.answer_kept) {
            keep_answer(made, each.answer);
        }
    }
    unknown_up_to_ = bound;
}

void key_table::merge(entry& known, key_record const& other) {
    // The table may have a record of the key already: a delayed heartbeat can
    // arrive before the imported table.
    bool const ended = known.record.state == key_state::done;
    if (!ended && other.state == key_state::done) {
        complete(known, other.answer);
    }
}

std::vector<key_handover> key_table::export_parts() const {
    // Serialized size of a record apart from its strings, in bytes.
    constexpr std::size_t record_overhead = 160;
    key_handover empty;
    empty.shard = shard_;
    empty.fencing = fencing_;
    empty.unknown_up_to = unknown_up_to_;
    std::vector<key_handover> parts{empty};
    std::size_t used = record_overhead;
    for (auto const& [key, each] : entries_) {
        key_record const& record = each.record;
        std::size_t const size =
            record_overhead + key.str().size() + record.answer.size() +
            record.entry_node.str().size() + record.request.str().size();
        if (used + size > handover_part_bytes) {
            parts.push_back(empty);
            used = record_overhead;
        }
        parts.back().records.push_back(record);
        used += size;
    }
    for (std::size_t index = 0; index < parts.size(); ++index) {
        parts[index].part = static_cast<std::uint32_t>(index);
        parts[index].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

} // namespace camphorpoint
