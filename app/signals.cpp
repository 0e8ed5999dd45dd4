#include "app/signals.hpp"

#include <csignal>

namespace camphorpoint {

namespace {

// Runs before the sanitizers' memory is set up, so it is not instrumented.
[[gnu::no_sanitize("address", "undefined")]] void change_mask(int how) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(how, &signals, nullptr);
}

[[gnu::no_sanitize("address", "undefined")]] void hold_signals() {
    change_mask(SIG_BLOCK);
}

// The loader calls these functions before any constructor, also before those
// of the shared libraries.
[[gnu::used,
  gnu::section(".preinit_array")]] void (*const before_start)() = hold_signals;

} // namespace

void release_signals() {
    change_mask(SIG_UNBLOCK);
}

} // namespace camphorpoint
