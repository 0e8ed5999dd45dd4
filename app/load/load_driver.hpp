#pragma once

#include "Load/load_plan.hpp"
#include "Load/load_report.hpp"
#include "Load/planned_request.hpp"
#include "Load/request_result.hpp"
#include "app/load/entry_nodes.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace camphorpoint {

/// Where the load goes, and which answers are right.
struct load_targets {
    entry_nodes nodes;
    /// Engines that probes call without a node.
    std::vector<std::string> engines;
    /// Pairs of probes a second; 0 for none.
    double direct_rate = 0;
    /// Versions of the adapters that may be in force during the run.
    std::vector<std::uint32_t> versions;
};

/// Makes the requests of a plan at their times and waits for all their ends.
class load_driver {
public:
    load_driver(load_settings settings, load_targets targets);
    /// Runs the whole plan.
    load_report const& run();

private:
    boost::asio::awaitable<void> make_requests();
    boost::asio::awaitable<void> make_one(planned_request planned);
    boost::asio::awaitable<void>
    make_repeat(planned_request planned, std::string key, seen_end& end);
    boost::asio::awaitable<void> call_node(
        planned_request const& planned, std::string key,
        request_result& result);
    boost::asio::awaitable<void> make_probes();
    boost::asio::awaitable<void> probe_pair(std::uint64_t number);
    boost::asio::awaitable<void> probe_engine(
        planned_request planned, std::string engine, adapter_ref adapter,
        request_result& result);
    boost::asio::awaitable<void>
    probe_node(planned_request planned, request_result& result);
    boost::asio::awaitable<adapter_ref>
    resident_adapter(std::string const& engine);
    std::string new_key();

    load_settings settings_;
    load_targets targets_;
    boost::asio::io_context io_;
    load_report report_;
    std::mt19937_64 random_;
    std::uint64_t probes_ = 0;
};

} // namespace camphorpoint
