#pragma once

#include "Config/profile.hpp"
#include "Core/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint::bench {

/// One kind of request to a model engine.
struct work_class {
    std::string name;
    urgency how_urgent = urgency::normal;
    /// Its part of all requests to engines.
    double share = 0;
    /// Tokens of an answer, log-normally distributed.
    double mean_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    std::chrono::milliseconds deadline{};
};

/// A time of higher load, part of which goes to a few adapters.
struct burst {
    /// After the warm-up's end.
    std::chrono::seconds first{};
    /// Comes again after this; zero when it comes once.
    std::chrono::seconds every{};
    std::chrono::seconds length{};
    double rate_factor = 1;
    /// Part of the requests that goes to the burst's own adapters.
    double focus_share = 0;
    std::uint32_t focus_adapters = 0;
};

/// How an engine behaves; docs/MEASUREMENTS.md gives the grounds.
struct engine_parameters {
    std::uint32_t adapter_slots = 0;
    std::uint32_t batch_limit = 0;
    /// Prompt prefixes that the cache holds.
    std::uint32_t prefix_slots = 0;
    duration step_base{};
    duration step_per_sequence{};
    /// Added to a step for each prompt token that it takes in.
    duration prefill_per_token{};
    /// From a restart until it takes orders again, with empty slots.
    duration cold_start{};
};

/// The weight store's limits.
struct store_parameters {
    double loads_per_second = 0;
    std::uint32_t full_speed_loads = 0;

    /// @returns how long a load takes when the store is at its limit but not
    /// beyond it
    duration load_time() const {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(full_speed_loads / loads_per_second));
    }
};

/// Plain services: scans, label data, lot status.
struct service_parameters {
    std::uint32_t replicas = 0;
    /// Calls that a replica serves at once.
    std::uint32_t workers = 0;
    duration mean_time{};
    double calls_per_second = 0;
};

/// A workload and the cluster that it meets.
struct preset {
    std::string name;
    std::uint32_t nodes = 0;
    std::uint32_t engines = 0;
    std::vector<std::string> domains;
    duration domain_latency{};
    duration client_latency{};
    engine_parameters engine;
    store_parameters store;
    service_parameters service;
    std::uint32_t adapters = 0;
    /// Adapters that get requests; the rest is idle.
    std::uint32_t active_adapters = 0;
    double zipf_exponent = 0;
    /// Part of the adapters that wakes up or falls idle within an hour.
    double hourly_churn = 0;
    /// Stationary load as part of the engines' token capacity.
    double load = 0;
    std::vector<work_class> classes;
    std::vector<burst> bursts;
    /// Between version changes.
    /// placement_settings::target_batch_utilization of the product's policy.
    double target_batch_utilization = 0;
    std::chrono::seconds version_change_every{};
    std::chrono::seconds warm_up{};
    std::chrono::seconds measured{};

    /// @returns tokens a second of all engines with full batches
    double token_capacity() const;
    /// @returns tokens of an answer, averaged over the classes
    double mean_tokens() const;
    /// @returns requests a second of the stationary load
    double request_rate() const {
        return load * token_capacity() / mean_tokens();
    }
};

/// What goes wrong in a run.
enum class fault {
    none,
    popularity_shift,
    cold_start,
    failed_loads,
    store_slow,
    store_down,
    owner_paused,
    log_outage
};

/// @returns the preset, or nothing when the name is not known
std::optional<preset> find_preset(std::string_view name);
/// @returns the fault's name on the command line
std::string_view to_string(fault value) noexcept;
/// @returns the fault, or nothing when the name is not known
std::optional<fault> parse_fault(std::string_view name) noexcept;
/// @returns all faults, none first
std::vector<fault> const& all_faults();

} // namespace camphorpoint::bench
