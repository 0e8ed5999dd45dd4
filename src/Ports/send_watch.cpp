#include "Ports/send_watch.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace camphorpoint::internal {

namespace {

using std::chrono::milliseconds;

/// A shorter stall needs no extension. It leaves the limit alone for a host
/// that is lost while it receives.
constexpr milliseconds shortest_stall{1'000};

/// The kernel counts acknowledgements in ticks, of 10 ms at the most.
constexpr milliseconds kernel_tick{10};

void set_option(int handle, int level, int name, int value) noexcept {
    ::setsockopt(handle, level, name, &value, sizeof value);
}

void limit_silence(int handle, milliseconds limit) noexcept {
    set_option(
        handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

/// @returns the time since the peer's host last acknowledged anything
milliseconds since_last_ack(int handle) noexcept {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return milliseconds::max();
    }
    return milliseconds(info.tcpi_last_ack_recv);
}

} // namespace

void bound_silence(int handle) noexcept {
    constexpr int keep_alive_seconds = 1;
    constexpr int keep_alive_probes = 2;
    limit_silence(handle, silence_limit);
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_seconds);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_seconds);
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

bool send_watch::check(int handle, instant now) noexcept {
    int unacknowledged = 0;
    bool const known = ::ioctl(handle, SIOCOUTQ, &unacknowledged) == 0;
    bool const goes_on = known && unacknowledged > 0;
    if (!goes_on || unacknowledged < unacknowledged_) {
        stalled_since_ = now;
        limit_silence(handle, silence_limit);
    } else if (
        now - stalled_since_ >= shortest_stall &&
        since_last_ack(handle) <= now - checked_at_ + kernel_tick) {
        // The kernel counts from the beginning of the stall, and doubles the
        // time between its window probes: the next one comes when the stall
        // has lasted about twice as long.
        auto const stalled =
            std::chrono::ceil<milliseconds>(now - stalled_since_);
        limit_silence(handle, 2 * stalled + period + silence_limit);
    }
    checked_at_ = now;
    unacknowledged_ = unacknowledged;
    return goes_on;
}

} // namespace camphorpoint::internal
