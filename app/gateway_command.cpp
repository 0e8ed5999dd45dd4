#include "app/gateway_command.hpp"

#include "Gateway/gateway.hpp"
#include "app/files.hpp"
#include "app/signals.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace camphorpoint {

namespace {

namespace asio = boost::asio;

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
/// The file may change without a signal; a change waits no longer than this.
constexpr std::chrono::seconds file_look{5};

/// Takes up the settings file when its content has changed; one with findings
/// is left alone.
class settings_watch {
public:
    settings_watch(gateway& node, std::string file, std::string_view text)
        : node_(&node)
        , file_(std::move(file))
        , text_(text) {}

    void look() {
        std::optional<std::string> const text = read_file(file_);
        if (!text || *text == text_) {
            return;
        }
        text_ = *text;
        findings problems;
        gateway_settings const read =
            read_gateway_settings(file_, *text, problems);
        if (problems.empty()) {
            node_->reload(read);
        } else {
            fmt::print(stderr, "{}", problems.report());
            node_->report_findings(problems);
        }
    }

private:
    gateway* node_;
    std::string file_;
    std::string text_;
};

asio::awaitable<void> look_at_file(settings_watch& watch) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        timer.expires_after(file_look);
        co_await timer.async_wait(use_result);
        watch.look();
    }
}

asio::awaitable<void>
heed_reload(asio::signal_set& signals, settings_watch& watch) {
    while (true) {
        co_await signals.async_wait(use_result);
        watch.look();
    }
}

} // namespace

exit_code run_gateway(std::string const& file, std::string_view text) {
    findings problems;
    findings replaced;
    gateway_settings settings =
        read_gateway_settings(file, text, problems, replaced);
    fmt::print(stderr, "{}{}", problems.report(), replaced.report());
    if (!problems.empty()) {
        return exit_code::usage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);
    gateway running(io, std::move(settings));
    if (!running.start(problems)) {
        fmt::print(stderr, "{}", problems.report());
        return exit_code::failed;
    }
    running.report_findings(replaced);
    settings_watch watch(running, file, text);
    asio::co_spawn(io, look_at_file(watch), asio::detached);
    asio::signal_set reloads(io, SIGHUP);
    asio::co_spawn(io, heed_reload(reloads, watch), asio::detached);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto const& error, int) {
        if (!error) {
            running.drain([&] { io.stop(); });
        }
    });
    release_signals();
    io.run();
    return exit_code::ok;
}

} // namespace camphorpoint
