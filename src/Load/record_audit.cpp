#include "Load/record_audit.hpp"

#include "Operator/json_reading.hpp"

#include <fmt/format.h>

namespace camphorpoint {

bool record_audit::take_engine(std::string_view records) {
    json_reading const body(records);
    if (!body.valid() || !body.has("runs")) {
        return false;
    }
    for (json_reading const& each : body.objects("runs")) {
        ++engine_runs_[each.text("prompt")];
        ++runs_;
    }
    for (json_reading const& each : body.objects("evictions_under_request")) {
        ++evictions_under_request_;
        breaches_.push_back(fmt::format(
            "adapter {}@{} was evicted under {} requests", each.text("adapter"),
            each.number("version"), each.number("runs")));
    }
    return true;
}

bool record_audit::take_service(std::string_view records) {
    json_reading const body(records);
    if (!body.valid() || !body.has("calls")) {
        return false;
    }
    for (json_reading const& each : body.objects("calls")) {
        ++service_runs_[each.text("body")];
        ++runs_;
    }
    return true;
}

void record_audit::check(std::vector<request_result> const& results) {
    for (request_result const& each : results) {
        if (!each.direct) {
            check_one(each);
        }
    }
}

void record_audit::check_one(request_result const& result) {
    auto const& all = result.to_engine ? engine_runs_ : service_runs_;
    auto const found = all.find(fmt::format("{:016x}", result.work));
    std::uint64_t const runs = found == all.end() ? 0 : found->second;
    if (!result.idempotent) {
        ++non_idempotent_;
        if (runs > 1) {
            ++double_runs_;
            breaches_.push_back(fmt::format(
                "request {} ({}) ran {} times", result.number, result.task,
                runs));
        }
    }
    bool const all_not_run =
        result.end == seen_end::not_run &&
        (!result.repeated || result.repeat_end == seen_end::not_run);
    if (all_not_run) {
        ++told_not_run_;
        if (runs > 0) {
            ++not_run_that_ran_;
            breaches_.push_back(fmt::format(
                "request {} ({}) was told not-run ({}) and ran", result.number,
                result.task, result.why));
        }
    }
    if (result.end == seen_end::done && runs == 0) {
        ++done_that_never_ran_;
        breaches_.push_back(fmt::format(
            "request {} ({}) was told done and never ran", result.number,
            result.task));
    }
}

std::string record_audit::summary() const {
    return fmt::format(
        "records: {} runs; double runs {} of {} non-idempotent requests; "
        "not-run that ran {} of {}; done that never ran {}; evictions under a "
        "request {}",
        runs_, double_runs_, non_idempotent_, not_run_that_ran_, told_not_run_,
        done_that_never_ran_, evictions_under_request_);
}

} // namespace camphorpoint
