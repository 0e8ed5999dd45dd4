#pragma once

namespace camphorpoint::bench {

/// Configuration: memory and time against profiles and changes.
void print_configuration_capacity();
/// Membership: bytes, time and memory against nodes and endpoints.
void print_membership_capacity();
/// Ownership: memory and time against owned resources.
void print_ownership_capacity();
/// The work of requests: scheduling, placement, keys, the store's budget.
void print_work_capacity();
/// Bytes of what is sent and read.
void print_message_sizes();

} // namespace camphorpoint::bench
