#pragma once

namespace camphorpoint::bench {

/// Configuration: memory and time against profiles and changes.
void print_configuration_capacity();
/// Membership: bytes, time and memory against nodes and endpoints.
void print_membership_capacity();
/// Ownership: memory and time against owned resources.
void print_ownership_capacity();
/// A caller's entry: placement against replicas and adapters.
void print_entry_capacity();
/// The owners' work: scheduling, keys, the store's budget.
void print_work_capacity();
/// A gateway's choice of a replica: time against replicas.
void print_selection_capacity();
/// Bytes of what is sent and read.
void print_message_sizes();

} // namespace camphorpoint::bench
