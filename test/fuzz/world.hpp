#pragma once

#include "test/fuzz/commands.hpp"
#include "test/fuzz/oracle.hpp"
#include "test/support/cluster.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorpoint::fuzz {

/// Three nodes before two engines, with three profiles, and the oracle beside
/// them. More adapters than slots, so that evictions come often.
class world {
public:
    world();

    /// Carries out a command, lets its pause pass and checks.
    void carry_out(command const& what);
    /// Heals everything, lets time pass and checks that nothing is left.
    void settle();
    /// Runs a whole case.
    /// @returns the breaches found, oldest first; the case ends with the first
    std::vector<std::string> run(std::vector<command> const& commands);

    test::cluster all;
    oracle watcher;

private:
    void disturb_node(command const& what);
    void disturb_world(command const& what);
    void disturb_engine(command const& what);
    void post(command const& what);
    void apply(command const& what);
    void repeat_change(std::string const& record, std::uint32_t at);
    void start_stopped();

    std::vector<caller_request> posted_;
    /// The node that each was posted to.
    std::vector<std::size_t> posted_at_;
    std::vector<caller_request> keyed_;
    std::vector<std::string> changes_;
    std::uint32_t version_ = 1;
};

} // namespace camphorpoint::fuzz
