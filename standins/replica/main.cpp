#include "common/standin_main.hpp"
#include "replica/replica_engine.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <fcntl.h>
#include <random>
#include <string>
#include <unistd.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:7020", "address to serve on");
ABSL_FLAG(std::string, id, "r1", "names the replica");
ABSL_FLAG(std::string, model, "", "base model; empty for a plain service");
ABSL_FLAG(unsigned, slots, 8, "places for adapters");
ABSL_FLAG(
    std::string, ledger, "",
    "file to which a line is added when a request begins to run: its id and "
    "body");
ABSL_FLAG(
    unsigned, fault_percent, 0, "how many of a hundred requests meet a fault");
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

    void add(camphorpoint::http_request const& request) const {
        std::string const line = fmt::format(
            "{} {}\n", request.fields.get("X-Request-Id"), request.body);
        // One call for a line, so that lines of several processes don't mix.
        [[maybe_unused]] auto const written =
            ::write(file_, line.data(), line.size());
    }

private:
    int file_;
};

/// Draws what befalls requests.
class fault_source {
public:
    fault_source(std::uint64_t seed, unsigned percent)
        : random_(seed)
        , percent_(percent) {}

    standins::replica_fault draw(standins::replica_engine& replica) {
        using standins::replica_fault;
        constexpr std::array kinds{
            replica_fault::full, replica_fault::answer_lost,
            replica_fault::failure, replica_fault::failure,
            replica_fault::unsigned_answer};
        // 408, 429 and 503 promise nothing here: the request has run.
        constexpr std::array statuses{302, 400, 408, 409, 429, 500, 503};
        constexpr unsigned whole = 100;
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
    if (!absl::GetFlag(FLAGS_ledger).empty()) {
        replica.on_run = [&](camphorpoint::http_request const& request) {
            ledger.add(request);
        };
    }
    fault_source faults(
        absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_fault_percent));
    replica.draw_fault = [&] {
        return faults.draw(replica);
    };
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return replica.answer(exchange);
        });
}
