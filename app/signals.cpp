#include "app/signals.hpp"

#include <array>
#include <csignal>

namespace camphorpoint {

namespace {

void change_mask(int how) {
    constexpr std::array<int, 3> held{SIGHUP, SIGTERM, SIGINT};
    sigset_t signals;
    sigemptyset(&signals);
    for (int const each : held) {
        sigaddset(&signals, each);
    }
    pthread_sigmask(how, &signals, nullptr);
}

} // namespace

void hold_signals() {
    change_mask(SIG_BLOCK);
}

void release_signals() {
    change_mask(SIG_UNBLOCK);
}

} // namespace camphorpoint
