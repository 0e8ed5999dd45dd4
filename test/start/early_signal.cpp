// Preloaded into a program, raises the signal that EARLY_SIGNAL numbers before
// the program's main.

#include <csignal>
#include <cstdlib>

namespace {

[[gnu::constructor]] void raise_early() {
    if (char const* const number = std::getenv("EARLY_SIGNAL")) {
        std::raise(std::atoi(number));
    }
}

} // namespace
