#pragma once

namespace camphorpoint::bench {

/// Measures what each role of a node costs against the size of what it keeps,
/// and prints the straight line through the sizes. docs/CAPACITY.md works out
/// the design size from these lines.
void print_capacity();

} // namespace camphorpoint::bench
