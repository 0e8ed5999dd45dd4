#include "test/soak/memory_watch.hpp"

#include "common/standin_main.hpp"

#include <fmt/format.h>
#include <sys/types.h>

#include <algorithm>
#include <chrono>
#include <fstream>

namespace camphorpoint::soak {

namespace {

/// The memory of a machine that runs one node.
constexpr std::uint64_t machine_mb = 260;
constexpr std::uint64_t kb_in_mb = 1'024;

/// @returns the peak of a process so far in kilobytes, 0 when it is gone
std::uint64_t peak_of(pid_t process) {
    std::ifstream status(fmt::format("/proc/{}/status", process));
    std::string word;
    while (status >> word) {
        std::uint64_t peak_kb = 0;
        if (word == "VmHWM:" && status >> peak_kb) {
            return peak_kb;
        }
    }
    return 0;
}

} // namespace

boost::asio::awaitable<void> memory_watch::run() {
    constexpr std::chrono::milliseconds step{100};
    auto const peaks = peaks_kb_;
    while (true) {
        for (node_processes const& each : target_->nodes) {
            std::uint64_t& peak_kb = (*peaks)[each.node->name()];
            peak_kb = std::max(peak_kb, peak_of(each.node->id()));
        }
        co_await standins::wait_for(step);
    }
}

std::vector<violation> memory_watch::excesses() const {
    std::vector<violation> found;
    for (auto const& [name, peak_kb] : *peaks_kb_) {
        if (peak_kb >= machine_mb * kb_in_mb) {
            found.push_back(
                {"MEMORY", fmt::format("{}: {} MB", name, peak_kb / kb_in_mb)});
        }
    }
    return found;
}

std::uint64_t memory_watch::peak_mb() const {
    std::uint64_t most_kb = 0;
    for (auto const& [name, peak_kb] : *peaks_kb_) {
        most_kb = std::max(most_kb, peak_kb);
    }
    return most_kb / kb_in_mb;
}

} // namespace camphorpoint::soak
