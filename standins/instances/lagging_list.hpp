#pragma once

#include "Core/time.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <deque>
#include <string>

namespace standins {

/// A list of instances that answers as it was some time ago.
class lagging_list {
public:
    explicit lagging_list(std::chrono::milliseconds lag)
        : lag_(lag) {}

    /// Replaces the list.
    void put(boost::json::object next, camphorpoint::instant now);
    /// Marks an instance, node or endpoint.
    /// @param state live or leaving
    /// @returns false when the list has no such instance
    bool set_state(
        std::string const& id, std::string const& state,
        camphorpoint::instant now);
    /// Takes an instance off the list.
    /// @returns false when the list has no such instance
    bool remove(std::string const& id, camphorpoint::instant now);
    /// Changes how far the answers lag.
    void set_lag(std::chrono::milliseconds lag) noexcept { lag_ = lag; }
    /// @returns the list as it stood before the lag
    boost::json::object const& read(camphorpoint::instant now);

private:
    struct version {
        camphorpoint::instant since;
        boost::json::object list;
    };

    boost::json::object newest() const;

    std::chrono::milliseconds lag_;
    std::deque<version> versions_;
};

} // namespace standins
