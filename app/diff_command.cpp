#include "app/command.hpp"
#include "app/flags.hpp"
#include "app/planning.hpp"

#include <absl/flags/flag.h>

namespace camphorpoint {

exit_code run_diff(command_words const& words) {
    node_client const node(absl::GetFlag(FLAGS_node));
    exit_code end = exit_code::ok;
    auto const wanted = make_plan_with("diff", words, node, end);
    if (wanted) {
        print_plan(*wanted);
    }
    return end;
}

} // namespace camphorpoint
