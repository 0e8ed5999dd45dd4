#pragma once

#include "Core/time.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace standins {

/// Prefix-cache events, published late and with gaps: some numbers are never
/// seen.
class cache_events {
public:
    /// @param lag  how late an event is seen
    /// @param gaps share of the events that are lost
    cache_events(std::chrono::milliseconds lag, double gaps, std::uint64_t seed)
        : lag_(lag)
        , gaps_(gaps)
        , random_(seed) {}

    /// An event has happened.
    void add(boost::json::object event, camphorpoint::instant now);
    /// @returns the JSON text of the events from this number on that can be
    /// seen by now
    std::string read(std::uint64_t from, camphorpoint::instant now) const;

private:
    struct entry {
        std::uint64_t number = 0;
        camphorpoint::instant at;
        boost::json::object event;
    };

    std::chrono::milliseconds lag_;
    double gaps_;
    std::mt19937_64 random_;
    std::uint64_t next_ = 0;
    std::deque<entry> kept_;
};

} // namespace standins
