#pragma once

#include "Core/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace standins {

/// A record of a topic; in a keyed one without value the key is removed.
struct stored_record {
    std::string key;
    std::string value;
};

/// Topics, keyed records and groups, as the users' platform keeps them.
class metadata_store {
public:
    /// Sets the newest value of a key of a keyed topic.
    void put(std::string const& topic, std::string key, std::string value);
    /// Adds a record to a partition.
    /// @returns its place
    std::uint64_t
    append(std::string const& topic, unsigned part, std::string record);
    /// @returns the newest record of each key
    std::map<std::string, std::string> newest(std::string const& topic) const;
    /// @returns the place of the next record of a topic's partition
    std::uint64_t end(std::string const& topic, unsigned part = 0) const;
    /// @returns the records from a place on, nothing when they are forgotten
    std::optional<std::vector<stored_record>>
    read(std::string const& topic, std::uint64_t from) const;
    /// Drops all history; the newest record of each key stays.
    void forget(std::string const& topic);

    /// A pair of topic and partition.
    using part_name = std::pair<std::string, unsigned>;
    /// Joins a member, or keeps it.
    /// @returns what it holds from now on
    std::vector<part_name> join(
        std::string const& member, std::vector<std::string> const& topics,
        std::chrono::milliseconds lease, camphorpoint::instant now);
    /// Takes a member out.
    void leave(std::string const& member);
    /// @returns who holds what
    std::map<part_name, std::string> const& owners() const noexcept {
        return owners_;
    }
    /// @returns the group's generation
    std::uint64_t generation() const noexcept { return generation_; }

private:
    struct topic_log {
        std::uint64_t first = 0;
        std::vector<stored_record> records;
        std::map<std::string, std::string> newest;
    };
    void deal(std::vector<std::string> const& topics);

    std::map<std::pair<std::string, unsigned>, topic_log> logs_;
    std::map<std::string, camphorpoint::instant> members_;
    std::map<part_name, std::string> owners_;
    std::uint64_t generation_ = 0;
};

} // namespace standins
