#include "test/soak/disruptions.hpp"

#include "Ports/http_client.hpp"
#include "common/standin_main.hpp"
#include "platform/keyed_records.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <signal.h>
#include <utility>

namespace camphorpoint::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

disruptions::disruptions(
    asio::any_io_executor executor, deployment& target, std::uint64_t seed)
    : executor_(std::move(executor))
    , target_(&target)
    , random_(seed) {}

milliseconds disruptions::draw_time(milliseconds least, milliseconds most) {
    return least + milliseconds(draw((most - least).count()));
}

asio::awaitable<void> disruptions::run(bool const& stopping) {
    while (!stopping) {
        ++begun_;
        asio::co_spawn(executor_, begin_one(), asio::detached);
        milliseconds const rest =
            draw_time(milliseconds(100), milliseconds(600));
        co_await standins::wait_for(rest);
    }
}

asio::awaitable<void> disruptions::begin_one() {
    ++active_;
    node_processes& node = target_->nodes[draw(target_->nodes.size())];
    child_process& replica = *target_->replicas[draw(target_->replicas.size())];
    milliseconds const brief = draw_time(milliseconds(20), milliseconds(600));
    milliseconds const lengthy =
        draw_time(milliseconds(600), milliseconds(4'000));
    constexpr std::uint64_t kinds = 10;
    switch (draw(kinds)) {
    case 0:
        co_await end_process(*node.node, SIGKILL);
        break;
    case 1:
        co_await end_process(*node.node, SIGTERM);
        break;
    case 2:
        co_await stop_process(*node.node, brief);
        break;
    case 3:
        co_await stop_process(*node.node, lengthy);
        break;
    case 4:
        co_await end_process(replica, SIGKILL);
        break;
    case 5:
        co_await stop_process(replica, draw(2) == 0 ? brief : lengthy);
        break;
    case 6:
        // The node reaches no replica: new connections hang.
        co_await stop_process(*node.link, lengthy);
        break;
    case 7:
        // The node reaches no replica: connections are refused.
        node.link->end();
        co_await standins::wait_for(lengthy);
        node.link->start();
        break;
    case 8:
        node.node->send_signal(SIGHUP);
        break;
    default:
        co_await publish();
        break;
    }
    --active_;
}

asio::awaitable<void>
disruptions::end_process(child_process& which, int signal) {
    which.send_signal(signal);
    constexpr milliseconds step{20};
    // Another disruption may have started it again meanwhile.
    unsigned const starts = which.starts();
    while (which.running() && which.starts() == starts) {
        co_await standins::wait_for(step);
    }
    milliseconds const away = draw_time(milliseconds(50), milliseconds(1'500));
    co_await standins::wait_for(away);
    which.start();
}

asio::awaitable<void>
disruptions::stop_process(child_process& which, milliseconds time) {
    which.send_signal(SIGSTOP);
    co_await standins::wait_for(time);
    which.send_signal(SIGCONT);
}

asio::awaitable<void> disruptions::publish() {
    ++version_;
    http_request request;
    request.method = "POST";
    request.target = "/log-append?topic=keyed.op&part=0";
    request.body = platform::frame_record(
        platform::keyed_bytes("config", deployment::configuration(version_)));
    ip_address to = target_->store;
    co_await fetch(
        executor_, std::move(to), std::move(request), milliseconds(1'000));
}

} // namespace camphorpoint::soak
