#pragma once

#include "Config/change.hpp"
#include "Config/configuration.hpp"
#include "Core/time.hpp"
#include "Records/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace camphorpoint {

/// How long a publisher tries.
struct publisher_settings {
    /// For how long a change is appended again after appends that cannot have
    /// reached the log. change_memory must outlast it.
    std::chrono::milliseconds retry_for{10'000};
    /// Time between two such appends, and between two withdrawals.
    std::chrono::milliseconds retry_every{500};
    /// After a lost answer, how long the record itself is waited for before
    /// it is withdrawn.
    std::chrono::milliseconds withdraw_after{2'000};
    /// After a lost answer, when the publisher gives up and says "unknown".
    std::chrono::milliseconds unknown_after{20'000};
    /// Changes under way at one node.
    std::size_t most_pending = 64;
};

/// Append a record to the configuration stream.
struct publish_append {
    /// Given back in on_append_ended.
    std::uint64_t append = 0;
    std::string data;
};

/// How publishing a change ended.
enum class publish_end : std::uint8_t {
    /// In the log and accepted by replay.
    accepted,
    /// In the log; another change came first.
    conflict,
    /// Broke a rule; never appended, or rejected by replay.
    invalid,
    /// Not in force and never to be: no append reached the log, or the change
    /// was withdrawn before it showed up.
    not_published,
    /// It may be in force; to be asked for again by its id.
    unknown
};

/// What became of a change.
struct publish_report {
    /// The number that publish was called with.
    std::uint64_t number = 0;
    change_id id;
    publish_end how = publish_end::unknown;
    /// The change's offset, when it is in the log.
    log_offset offset;
    /// Each profile in conflict, with the revision that stands now.
    std::vector<profile_conflict> conflicts;
    /// Why it is invalid or was not published.
    std::vector<std::string> problems;
};

/// What the publisher asks for.
using publish_action = std::variant<publish_append, publish_report>;

/// Publishes changes and finds out what became of each. A change is appended
/// under one id only, and again only when no byte of the earlier append can
/// have reached the log. After a lost answer the publisher reads on; when the
/// change does not show up it appends a withdrawal, which decides the matter
/// in the log's own order.
class change_publisher {
public:
    explicit change_publisher(publisher_settings settings)
        : settings_(settings) {}

    /// Publishes a change.
    /// @param number  names it in the report
    /// @param current the node's configuration
    std::vector<publish_action> publish(
        std::uint64_t number, change value, configuration const& current,
        instant now);
    /// An append has ended.
    /// @param offset of the record; only when it was appended
    std::vector<publish_action> on_append_ended(
        std::uint64_t append, append_result how, log_offset offset,
        instant now);
    /// To be called after each batch and every tick.
    /// @param current the node's configuration
    std::vector<publish_action>
    on_progress(configuration const& current, instant now);
    /// @returns true while a change is under way
    bool busy() const noexcept { return !pending_.empty(); }

private:
    enum class stage : std::uint8_t {
        appending,
        /// The last append cannot have reached the log.
        not_sent,
        appended,
        /// The last append's answer was lost.
        lost
    };
    struct pending {
        std::uint64_t number = 0;
        change value;
        instant began{};
        stage where = stage::appending;
        /// When the present stage began.
        instant since{};
        log_offset offset;
        /// The append under way; 0 when there is none.
        std::uint64_t append = 0;
        instant next_withdrawal{};
    };
    using actions = std::vector<publish_action>;

    void append_change(pending& each, instant now, actions& out);
    void append_withdrawal(pending& each, instant now, actions& out);
    bool
    settle(pending const& each, configuration const& current, actions& out);
    bool settle_unseen(
        pending const& each, configuration const& current, actions& out);
    bool advance(pending& each, instant now, actions& out);

    publisher_settings settings_;
    std::uint64_t last_append_ = 0;
    std::vector<pending> pending_;
};

} // namespace camphorpoint
