#include "common/standin_main.hpp"
#include "test/soak/disruptions.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>

#include <signal.h>
#include <utility>

namespace camphorpoint::soak {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::milliseconds;

namespace {

/// Sends datagrams that are no message until the buffer of a process that
/// stands still takes no further ones.
void fill_buffer(
    asio::any_io_executor const& executor, ip_address const& address) {
    constexpr int datagrams = 2'000;
    constexpr std::size_t large = 1'200;
    udp::endpoint const to(asio::ip::make_address(address.host), address.port);
    udp::socket socket(executor, udp::v4());
    boost::system::error_code ignored;
    for (std::size_t const size : {large, std::size_t(1)}) {
        std::string const junk(size, '?');
        for (int each = 0; each < datagrams; ++each) {
            socket.send_to(asio::buffer(junk), to, 0, ignored);
        }
    }
}

} // namespace

void disruptions::replace(
    std::string const& former, std::string const& later, std::size_t most) {
    for (replica_processes& each : target_->replicas) {
        if (most > 0 && !each.model.empty() && each.software == former) {
            --most;
            asio::co_spawn(executor_, renew(each, later), asio::detached);
        }
    }
}

asio::awaitable<void> disruptions::release_unseen() {
    if (std::exchange(releasing_, true)) {
        co_return;
    }
    std::string const former = software_;
    auto const executor = executor_;
    // What a node polls last belongs to the time before.
    constexpr milliseconds polls{2'000};
    co_await standins::wait_for(settings_.stream_lifetime + polls);
    software_ = former == "v1" ? "v2" : "v1";
    std::size_t const model_replicas = settings_.replicas / 2;
    node_processes& apart = target_->nodes[draw(target_->nodes.size())];
    target_->note("out of step: " + apart.node->name());
    apart.node->send_signal(SIGSTOP);
    apart.store_link->send_signal(SIGSTOP);
    fill_buffer(executor, apart.peers);
    replace(former, software_, model_replicas / 2);
    milliseconds const still =
        draw_time(milliseconds(1'500), milliseconds(3'000));
    co_await standins::wait_for(still);
    for (node_processes& each : target_->nodes) {
        if (&each != &apart) {
            each.node->send_signal(SIGKILL);
        }
    }
    apart.node->send_signal(SIGCONT);
    target_->note("goes on: " + apart.node->name());
    milliseconds const alone =
        draw_time(milliseconds(1'000), milliseconds(2'000));
    co_await standins::wait_for(alone);
    apart.store_link->send_signal(SIGCONT);
    for (node_processes& each : target_->nodes) {
        each.node->start();
    }
    target_->note("in step again: " + apart.node->name());
    co_await standins::wait_for(milliseconds(3'000));
    replace(former, software_, model_replicas);
    releasing_ = false;
}

} // namespace camphorpoint::soak
