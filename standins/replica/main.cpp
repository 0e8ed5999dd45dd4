#include "common/standin_main.hpp"
#include "replica/replica_engine.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <fcntl.h>
#include <random>
#include <string>
#include <string_view>
#include <unistd.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:7020", "address to serve on");
ABSL_FLAG(std::string, id, "r1", "names the replica");
ABSL_FLAG(std::string, model, "", "base model; empty for a plain service");
ABSL_FLAG(unsigned, slots, 8, "places for adapters");
ABSL_FLAG(
    std::string, ledger, "",
    "file to which a line is added when a request begins to run: its id, the "
    "replica and the number of the run, the software version, the event after "
    "which it was resumed, its body; and one when it ends: \"end\", the run, "
    "the "
    "software version, \"whole\" or \"broke\", milliseconds since the boot");
ABSL_FLAG(std::string, software, "v1", "version of its software");
ABSL_FLAG(unsigned, events, 8, "of a stream");
ABSL_FLAG(unsigned, pause_ms, 5, "before each event");
ABSL_FLAG(
    unsigned, fault_percent, 0, "how many of a hundred requests meet a fault");
ABSL_FLAG(
    unsigned, refusal_percent, 0, "how many of a hundred requests are refused");
ABSL_FLAG(
    unsigned, slow_percent, 0,
    "how many of a hundred requests without a model take 2 to 6 s");
ABSL_FLAG(std::uint64_t, seed, 1, "of the faults");

namespace {

/// Adds a line for each run to a file that other replicas share, and that
/// outlives the process.
class run_ledger {
public:
    explicit run_ledger(std::string const& file)
        : file_(::open(
              file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644)) {}
    ~run_ledger() { ::close(file_); }
    run_ledger(run_ledger const&) = delete;
    run_ledger& operator=(run_ledger const&) = delete;

    /// @param run names the run
    void
    add(camphorpoint::http_request const& request,
        std::string const& run) const {
        std::string_view const last = request.fields.get("Last-Event-Id");
        std::string const line = fmt::format(
            "{} {} {} {} {}\n", request.fields.get("X-Request-Id"), run,
            last.empty() ? "0" : last,
            standins::in_milliseconds(standins::clock_now()),
            request.body.text());
        write(line);
    }
    /// @param run   names the run
    /// @param broke its answer was broken off
    void end(std::string const& run, bool broke) const {
        write(fmt::format(
            "end {} {} {}\n", run, broke ? "broke" : "whole",
            standins::in_milliseconds(standins::clock_now())));
    }

private:
    void write(std::string const& line) const {
        // One call for a line, so that lines of several processes don't mix.
        [[maybe_unused]] auto const written =
            ::write(file_, line.data(), line.size());
    }

    int file_;
};

/// Draws what befalls requests.
class fault_source {
public:
    fault_source(std::uint64_t seed, unsigned percent, unsigned refusals)
        : random_(seed)
        , percent_(percent)
        , refusals_(refusals) {}

    standins::replica_fault draw(standins::replica_engine& replica) {
        using standins::replica_fault;
        constexpr std::array kinds{
            replica_fault::full, replica_fault::answer_lost,
            replica_fault::failure, replica_fault::failure,
            replica_fault::unsigned_answer};
        // 408, 429 and 503 promise nothing here: the request has run.
        constexpr std::array statuses{302, 400, 408, 409, 429, 500, 503};
        constexpr unsigned whole = 100;
        if (random_() % whole < refusals_) {
            return replica_fault::full;
        }
        if (random_() % whole >= percent_) {
            return replica_fault::none;
        }
        replica.failure_status = statuses.at(random_() % statuses.size());
        replica.failure_signed = random_() % 2 == 0;
        return kinds.at(random_() % kinds.size());
    }

private:
    std::mt19937_64 random_;
    unsigned percent_;
    unsigned refusals_;
};

/// Draws how long requests take.
class work_times {
public:
    work_times(std::uint64_t seed, unsigned slow_percent)
        : random_(seed)
        , slow_percent_(slow_percent) {}

    std::chrono::milliseconds draw() {
        constexpr unsigned whole = 100;
        constexpr std::chrono::milliseconds least{2'000};
        constexpr std::uint64_t more_ms = 4'000;
        if (slow_percent_ == 0 || random_() % whole >= slow_percent_) {
            return std::chrono::milliseconds(0);
        }
        return least + std::chrono::milliseconds(random_() % more_ms);
    }

private:
    std::mt19937_64 random_;
    unsigned slow_percent_;
};

} // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("A stand-in of a replica.");
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::replica_engine replica(
        absl::GetFlag(FLAGS_id), absl::GetFlag(FLAGS_model),
        absl::GetFlag(FLAGS_slots));
    run_ledger const ledger(absl::GetFlag(FLAGS_ledger));
    work_times times(
        absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_slow_percent));
    auto const name_run = [&](std::uint64_t run) {
        // The process may have been started again under its id.
        return fmt::format(
            "{}.{}.{} {}", absl::GetFlag(FLAGS_id), ::getpid(), run,
            absl::GetFlag(FLAGS_software));
    };
    if (!absl::GetFlag(FLAGS_ledger).empty()) {
        replica.on_run = [&](camphorpoint::http_request const& request) {
            ledger.add(request, name_run(replica.run_count()));
            replica.service_time = times.draw();
        };
        replica.on_end = [&](std::uint64_t run, bool broke) {
            ledger.end(name_run(run), broke);
        };
        replica.event_text = [&](std::uint64_t run, unsigned number) {
            return fmt::format("{} {}", name_run(run), number);
        };
    }
    replica.events = absl::GetFlag(FLAGS_events);
    replica.pause = std::chrono::milliseconds(absl::GetFlag(FLAGS_pause_ms));
    fault_source faults(
        absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_fault_percent),
        absl::GetFlag(FLAGS_refusal_percent));
    replica.draw_fault = [&] {
        return faults.draw(replica);
    };
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return replica.answer(exchange);
        });
}
