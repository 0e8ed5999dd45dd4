#include "app/flags.hpp"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, settings, "", "the node's settings file (TOML)");
ABSL_FLAG(
    std::string, node, "127.0.0.1:8101", "a node's operator_address to ask");
ABSL_FLAG(
    std::vector<std::string>, nodes, {},
    "operator addresses of several nodes, with commas; --node when empty");
ABSL_FLAG(
    bool, prune, false,
    "also remove profiles in force that the declarations do not name");
ABSL_FLAG(
    absl::Duration, wait, absl::Seconds(10),
    "how long to wait until it is done, such as 500ms or 10s");
ABSL_FLAG(
    absl::Duration, timeout, absl::Seconds(25),
    "how long to wait for one answer of a node; a node may look for the "
    "outcome of a change for 20 s");
