#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace camphorpoint {

/// What a node reaches of the replicas.
enum class replica_links : std::uint8_t {
    /// Each replica, as far as is known.
    intact,
    /// Several replicas cannot be reached: they have stopped, or the node's
    /// links to them are cut.
    partly_cut,
    /// No replica.
    cut
};

/// Decides whether this node is partitioned from all replicas, while other
/// nodes may reach them. A single replica that cannot be reached has most
/// likely stopped. When several in a row cannot be reached, or a request has no
/// replica left to try, the node is in doubt and probes a few replicas by
/// opening connections; only when all of them fail is it partitioned.
class replica_reachability {
public:
    /// Records that a new connection to a replica was opened.
    void on_connected(endpoint_id const& replica);
    /// Records that a new connection to a replica could not be opened.
    void on_connect_failed(endpoint_id const& replica, instant now);
    /// Records that a request over an open connection got no answer.
    void on_answer_missing(endpoint_id const& replica, instant now);
    /// Records that a replica has answered over an open connection. It does not
    /// show that new connections can be opened.
    void on_answered();
    /// Records that a request has failed to reach each replica that it could
    /// use.
    void on_replicas_exhausted(instant now);

    /// @returns true when replicas should be probed now; the caller reports the
    ///          result
    bool probe_due(instant now);
    /// Records the result of a probe.
    /// @param any_connected true when one of the probed replicas was reached
    /// @returns true when `partitioned` has changed
    bool on_probe_result(bool any_connected, instant now);

    /// @returns true when failures may be due to this node's own links, so that
    ///          they say little about the replicas
    bool in_doubt(instant now) const;
    /// @returns true when this node reaches no replica
    bool partitioned() const noexcept { return partitioned_; }
    /// @returns what this node reaches
    replica_links links(instant now) const;

private:
    using failures = std::map<endpoint_id, instant>;
    static std::size_t
    recent(failures const& of, duration lifetime, instant now);
    void end_doubt();

    /// Since the last new connection to any replica.
    failures failed_connects_;
    /// Since the last new connection to the same replica.
    failures unreached_replicas_;
    failures missing_answers_;
    instant exhausted_at_;
    instant probed_at_;
    bool probe_running_ = false;
    bool partitioned_ = false;
};

} // namespace camphorpoint
