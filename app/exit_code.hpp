#pragma once

namespace camphorpoint {

/// How the command line ends; scripts may depend on the numbers.
enum class exit_code : int {
    ok = 0,
    /// It could not be done: nothing answered, or the node refused.
    failed = 1,
    /// Wrong usage, or findings in settings or declarations.
    usage = 2,
    /// Another operator's change came first; nothing of this one is in force.
    conflict = 3,
    /// It is not known whether the change stands in the log.
    unknown = 4
};

/// @returns the worse of two ends, to sum up several steps
constexpr exit_code worse(exit_code left, exit_code right) noexcept {
    return static_cast<int>(left) > static_cast<int>(right) ? left : right;
}

} // namespace camphorpoint
