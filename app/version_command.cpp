#include "app/command.hpp"

#include <fmt/format.h>

namespace camphorpoint {

exit_code run_version(command_words const&) {
    fmt::print("camphorpoint {}\n", CAMPHORPOINT_VERSION);
    return exit_code::ok;
}

} // namespace camphorpoint
