#include "Kernel/kernel.hpp"

namespace camphorpoint {

bool kernel::start(findings& problems) {
    std::vector<service_name> const order = services_->start_order(problems);
    if (!problems.empty()) {
        return false;
    }
    for (service_name const& name : order) {
        start_result const result = services_->start(name);
        if (!result) {
            problems.add({"services", 0, name.str()}, result.error().what);
            // A half-started process would take requests that it cannot
            // serve, so what already runs is stopped before the report.
            stop();
            return false;
        }
        running_.push_back(name);
    }
    return true;
}

void kernel::stop() {
    while (!running_.empty()) {
        service_name const last = running_.back();
        running_.pop_back();
        services_->stop(last);
    }
}

} // namespace camphorpoint
