#pragma once

#include "Core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace standins {

/// One call that a plain service executed.
struct call_record {
    std::string request;
    std::string key;
    /// Hash of the call's body.
    std::uint64_t body = 0;
    camphorpoint::instant start;
    camphorpoint::instant end;
    /// False when it failed after it began, or its answer was cut.
    bool answered = false;
};

/// What a plain service really did, for the proofs.
class call_records {
public:
    /// A call has begun to run.
    /// @returns its place
    std::size_t begin(call_record record);
    /// The call at this place has ended.
    void end(std::size_t place, bool answered, camphorpoint::instant now);
    /// A call was refused before it ran.
    void count_refusal() noexcept { ++refusals_; }
    /// @returns all of it, as JSON
    std::string describe() const;

private:
    std::vector<call_record> calls_;
    std::uint64_t refusals_ = 0;
};

} // namespace standins
