#pragma once

namespace camphorpoint::bench {

/// Measures what one request costs the decisions: choosing a replica at the
/// entry node, and asking, granting and releasing at the replica's owner.
/// Prints nanoseconds, bytes and allocations while one of nodes, replicas,
/// adapters and queue length grows and the others stay at today's size.
void print_slopes();

} // namespace camphorpoint::bench
