#include "capacity.hpp"

#include "capacity_parts.hpp"

#include <fmt/format.h>

namespace camphorpoint::bench {

void print_capacity() {
    fmt::print(
        "what, unit, slope per item [least, most of 3 runs] + intercept, R2, "
        "largest residual | size:median\n");
    print_message_sizes();
    print_configuration_capacity();
    print_ownership_capacity();
    print_entry_capacity();
    print_work_capacity();
    print_selection_capacity();
    print_membership_capacity();
}

} // namespace camphorpoint::bench
