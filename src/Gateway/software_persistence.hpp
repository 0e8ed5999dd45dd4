#pragma once

#include "Gateway/gateway_state.hpp"
#include "platform/software_record.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>

namespace camphorpoint {

/// Records in the store which service has a single software version, and reads
/// that when the node starts. Guards against the refusal of every resumption
/// after a restart of all nodes, which no longer know at which version a stream
/// began, although one version has served all along. A record is written
/// by the lease holder of one fixed partition.
///
/// Guards also against a write without an answer that the store carries out
/// late: each write names the end of the log that its writer has read, so that
/// any later write makes it void. A lease holder therefore writes once when it
/// has gained the lease, and after a write without an answer, also if the
/// records are right.
class software_persistence {
public:
    /// @param state must outlive this
    /// @param store must outlive this
    software_persistence(gateway_state& state, platform::store_client& store);

    /// Starts a read or write if one is due; called periodically.
    void poll();
    /// The store was restored from an older snapshot: the records are read and
    /// written again.
    void on_store_rollback();
    /// Starts no further reads or writes.
    void stop() { *running_ = false; }
    /// @returns true when the records were read, or could not be read for so
    ///          long that the node does without them
    bool settled(instant now) const { return loaded_ || now >= give_up_at_; }

private:
    using record = platform::software_record;

    boost::asio::awaitable<void> work();
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> write(record update);
    void adopt(record const& known);
    /// @param memory for how long a version must have been alone
    record make_record(service_id const& service, duration memory, instant now);
    bool may_write(instant now) const;
    std::optional<record> next_unsaved(instant now);
    record parse(platform::keyed_record const& stored);

    gateway_state* state_;
    platform::store_client* store_;
    /// The records as they are in the store. One that can't be read stands for
    /// several versions.
    std::map<service_id, record> saved_;
    /// Where the topic ends, by the last read or write.
    store_position end_;
    /// End of the topic behind this node's last write as the lease holder; none
    /// when a write of an earlier one, or one without an answer, may still be
    /// carried out.
    std::optional<store_position> written_end_;
    /// The store may have lost records, in a rollback or as unreadable ones.
    bool may_lack_records_ = false;
    bool loaded_ = false;
    bool active_ = false;
    instant give_up_at_;
    instant next_at_;
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
