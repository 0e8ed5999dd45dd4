#pragma once

#include "test/support/cluster.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorpoint::fuzz {

/// What the profiles are after the first records of the log, found by the
/// plainest reading of the rules: a change stands when each edit builds on the
/// revision in force, and its id has not been seen before.
class plain_replay {
public:
    /// Reads on as far as the log goes.
    void read(std::vector<log_record> const& records);
    /// @returns the adapter of a profile after the first `offset` records;
    /// empty when there is none
    adapter_ref adapter_at(log_offset offset, profile_name const& name) const;
    std::uint64_t revision(profile_name const& name) const;
    std::size_t read_so_far() const { return after_.size(); }

private:
    struct entry {
        adapter_ref adapter;
        std::uint64_t revision = 0;
    };
    using state = std::map<profile_name, entry>;
    /// The state behind each record.
    std::vector<state> after_;
    std::map<change_id, bool> seen_;
};

/// Watches a cluster and notes each breach of what must always hold. It knows
/// nothing of how the decisions are made.
class oracle {
public:
    /// Hooks itself in; must outlive the cluster's use.
    explicit oracle(test::cluster& watched);

    /// Checks what must hold at any moment.
    void check_now();
    /// Checks what must hold once all is healed and time has passed.
    void check_quiet();
    /// The platform's list says from now on that an engine leaves, or not.
    void leaving(std::size_t engine, bool leaves);

    /// @returns each breach, as a sentence
    std::vector<std::string> const& breaches() const { return breaches_; }

private:
    struct posted {
        caller_request asked;
        std::size_t node = 0;
        std::uint64_t run = 0;
        /// Empty when it was not admitted.
        adapter_ref adapter;
        bool idempotent = true;
        bool gone = false;
    };
    struct node_memory {
        std::uint64_t run = 0;
        log_offset offset;
    };

    void see(std::size_t node, node_event const& event);
    /// @returns false for an action that cannot be carried out
    bool see(std::size_t node, node_action const& action);
    void see_start(start_attempt const& action);
    void see_cancel(std::size_t node, cancel_attempt const& action);
    void check_runs();
    void check_endings();
    void check_configurations();
    void check_node_quiet(std::size_t node);
    void check_drained(std::size_t node);
    void breach(std::string text);

    test::cluster& all_;
    plain_replay replay_;
    std::map<request_id, posted> posts_;
    std::map<request_id, instant> attempt_ends_;
    std::map<endpoint_id, instant> left_;
    std::vector<node_memory> nodes_;
    std::map<log_offset, std::uint64_t> digests_;
    std::size_t runs_seen_ = 0;
    std::map<request_id, std::size_t> runs_of_request_;
    std::map<idempotency_key, std::size_t> runs_of_key_;
    std::vector<std::string> breaches_;
};

} // namespace camphorpoint::fuzz
