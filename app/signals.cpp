#include "app/signals.hpp"

#include <csignal>

namespace camphorpoint {

void release_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace camphorpoint
