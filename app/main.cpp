#include "app/commands.hpp"

#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <cstdio>
#include <string>

int main(int argc, char** argv) {
    auto const words = absl::ParseCommandLine(argc, argv);
    std::string const command = words.size() > 1 ? words[1] : "";
    if (command == "serve") {
        return camphorpoint::serve_command();
    }
    if (command == "apply" && words.size() == 3) {
        return camphorpoint::apply_command(words[2]);
    }
    if (command == "version") {
        fmt::print("camphorpoint {}\n", CAMPHORPOINT_VERSION);
        return 0;
    }
    fmt::print(stderr, "usage: camphorpoint serve|apply FILE|version\n");
    return 2;
}
