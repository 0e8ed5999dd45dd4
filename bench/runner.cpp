#include "runner.hpp"

#include "baseline.hpp"
#include "product_policy.hpp"

#include <cassert>

namespace camphorpoint::bench {

namespace {

template <class Policy>
void drive(world& cluster) {
    Policy policy(cluster);
    cluster.run();
}

struct named_policy {
    std::string name;
    void (*drive)(world&);
};

std::vector<named_policy> const& policies() {
    static std::vector<named_policy> const result{
        {"random", drive<baseline<random_chooser>>},
        {"round-robin", drive<baseline<round_robin_chooser>>},
        {"least-loaded", drive<baseline<least_loaded_chooser>>},
        {"rendezvous", drive<baseline<rendezvous_chooser>>},
        {"camphorpoint", drive<product_policy>},
    };
    return result;
}

} // namespace

std::vector<std::string> const& policy_names() {
    static std::vector<std::string> const result = [] {
        std::vector<std::string> names;
        for (named_policy const& each : policies()) {
            names.push_back(each.name);
        }
        return names;
    }();
    return result;
}

run_result run_policy(
    preset const& workload, trace const& input, std::string_view policy,
    std::uint64_t seed, fault what) {
    auto const found =
        std::ranges::find(policies(), policy, &named_policy::name);
    assert(found != policies().end() && "an unknown policy");
    world cluster(workload, input, seed, what);
    found->drive(cluster);
    run_result result = measure(cluster);
    result.policy = found->name;
    result.seed = seed;
    return result;
}

} // namespace camphorpoint::bench
