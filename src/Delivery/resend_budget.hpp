#pragma once

#include "Core/time.hpp"
#include "Routing/routing_configuration.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace camphorpoint {

/// Limits on the sends, by all nodes together, beyond the first send of each
/// request.
struct resend_limits {
    /// Resends per request, in any window.
    double ratio = 0.2;
    /// Resends in a window that are allowed however few requests arrive.
    double slack = 50;
    std::chrono::seconds window{10};
};

/// This node's part of the resends to each service. Prevents a retry storm when
/// many replicas fail at once, in which each request would reach the remaining
/// replicas several times.
/// Nodes need no coordination: each earns credit for its own requests, and for
/// the time during which it holds a share of the slack. A new process starts
/// without credit, so the sum over all nodes stays within the limit although a
/// process does not know what the one before it, or the former holder of its
/// share, has spent. Credit is worth a part of a resend at once, and the rest
/// after one window: by then every resend that the node does not know of has
/// left the window.
class resend_budget {
public:
    explicit resend_budget(resend_limits limits)
        : limits_(limits) {}

    /// Records a request for the service.
    void on_request(service_id const& service, instant now);
    /// Sets the share of the slack that only this node holds from now on.
    /// @param share from 0 to 1
    void set_slack_share(double share, instant now);
    /// @returns true when a resend to the service is available
    bool available(service_id const& service, instant now);
    /// Consumes one resend if one is available.
    /// @returns true when the request may be sent again
    bool try_consume(service_id const& service, instant now);
    /// Replaces the limits after a change of the settings.
    void set_limits(resend_limits limits) { limits_ = limits; }

private:
    static constexpr std::size_t steps_per_window = 50;
    static constexpr std::size_t history_steps = 2 * steps_per_window;

    /// Requests and resends of one step, a fraction of a window.
    struct step {
        std::int64_t number = 0;
        double requests = 0;
        double resends = 0;
    };
    /// For one step, the integral of the share of the slack over time.
    struct slack_step {
        std::int64_t number = 0;
        std::chrono::duration<double> held{0};
    };
    /// Steps of the latest two windows, the oldest one first.
    using history = std::deque<step>;
    /// Resends earned and spent, by the age of the step.
    struct credit_step {
        double earned = 0;
        double spent = 0;
    };
    using timeline = std::array<credit_step, history_steps>;

    std::int64_t step_number(instant now) const;
    /// Drops the steps that have left the history.
    /// @returns the step of this number, the newest one
    template <class Step>
    static Step& newest_step(std::deque<Step>& past, std::int64_t number);
    timeline timeline_of(history const& past, std::int64_t number) const;

    resend_limits limits_;
    std::unordered_map<service_id, history> services_;
    std::deque<slack_step> slack_held_;
    double slack_share_ = 0;
    instant accrued_until_;
};

} // namespace camphorpoint
