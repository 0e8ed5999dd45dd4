#pragma once

#include "Ports/http_server.hpp"
#include "common/async_signal.hpp"
#include "common/json_body.hpp"
#include "engine/model_engine.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>

namespace standins {

/// The HTTP form of a model engine. docs/STANDINS.md lists the calls.
class engine_http {
public:
    /// @param io    the loop
    /// @param store address of the weight store; empty loads without one
    engine_http(
        boost::asio::io_context& io, engine_settings const& settings,
        std::string const& store);

    /// Starts the step loop and the reports.
    void start();
    /// Answers one exchange.
    boost::asio::awaitable<void> answer(camphorpoint::http_exchange& exchange);
    /// Changes what an admin call names.
    void administer(json_body const& order);

private:
    boost::asio::awaitable<void> run_steps();
    boost::asio::awaitable<void> take_snapshots();
    boost::asio::awaitable<void>
    complete(camphorpoint::http_exchange& exchange);
    boost::asio::awaitable<void>
    resume(camphorpoint::http_exchange& exchange, std::string request);
    boost::asio::awaitable<void> stream(
        camphorpoint::http_exchange& exchange, run_batch::run_ptr run,
        std::uint32_t from);
    boost::asio::awaitable<bool> write_tokens(
        camphorpoint::http_exchange& exchange, engine_run const& run,
        std::uint32_t from, std::uint32_t to);
    boost::asio::awaitable<void> order(camphorpoint::http_exchange& exchange);
    boost::asio::awaitable<camphorpoint::http_response>
    load(camphorpoint::adapter_ref adapter, std::uint64_t fencing);
    boost::asio::awaitable<bool> fetch(camphorpoint::adapter_ref adapter);
    bool cut_this(engine_run const& run, std::uint32_t sent);

    boost::asio::io_context& io_;
    model_engine engine_;
    camphorpoint::ip_address store_;
    async_signal work_;
    async_signal stepped_;
    double slow_ = 1;
    std::int64_t cut_streams_ = 0;
    bool stalled_ = false;
};

} // namespace standins
