#pragma once

#include "test/soak/deployment.hpp"
#include "test/soak/ledger.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorpoint::soak {

/// Watches the peak memory of the nodes.
class memory_watch {
public:
    /// @param target must outlive the watch
    explicit memory_watch(deployment const& target)
        : target_(&target) {}

    /// Looks at the nodes' processes again and again.
    boost::asio::awaitable<void> run();
    /// @returns a MEMORY violation for each node that had more than a machine
    ///          has
    std::vector<violation> excesses() const;
    /// @returns the most that a node had, in megabytes
    std::uint64_t peak_mb() const;

private:
    deployment const* target_;
    /// By the nodes' names, in kilobytes, over all of their processes.
    std::shared_ptr<std::map<std::string, std::uint64_t>> peaks_kb_ =
        std::make_shared<std::map<std::string, std::uint64_t>>();
};

} // namespace camphorpoint::soak
