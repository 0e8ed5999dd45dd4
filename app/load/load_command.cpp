#include "app/command.hpp"

namespace camphorpoint {

exit_code run_load(command_words const&) {
    return exit_code::failed;
}

} // namespace camphorpoint
