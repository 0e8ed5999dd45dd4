#pragma once

#include "Core/hash.hpp"
#include "world.hpp"

#include <algorithm>
#include <concepts>
#include <numeric>
#include <random>
#include <vector>

namespace camphorpoint::bench {

/// Picks an engine for a request and a replica for a call of a plain service.
template <class Chooser>
concept engine_chooser = std::constructible_from<Chooser, world&> && requires(
    Chooser chooser, std::size_t index,
    std::vector<std::uint32_t> const& pending) {
    { chooser.engine(index, pending) } -> std::same_as<std::uint32_t>;
    { chooser.service() } -> std::same_as<std::uint32_t>;
};

/// Any engine that is up.
class random_chooser {
public:
    explicit random_chooser(world& cluster)
        : world_(cluster) {}

    std::uint32_t engine(std::size_t, std::vector<std::uint32_t> const&) {
        while (true) {
            std::uint32_t const chosen = pick(world_.engine_count());
            if (world_.engine(chosen).up()) {
                return chosen;
            }
        }
    }
    std::uint32_t service() { return pick(world_.workload().service.replicas); }

private:
    std::uint32_t pick(std::uint32_t count) {
        return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(
            random_);
    }

    world& world_;
    std::mt19937_64 random_{1};
};

/// One engine after the other.
class round_robin_chooser {
public:
    explicit round_robin_chooser(world& cluster)
        : world_(cluster) {}

    std::uint32_t engine(std::size_t, std::vector<std::uint32_t> const&) {
        do {
            next_engine_ = (next_engine_ + 1) % world_.engine_count();
        } while (!world_.engine(next_engine_).up());
        return next_engine_;
    }
    std::uint32_t service() {
        next_service_ =
            (next_service_ + 1) % world_.workload().service.replicas;
        return next_service_;
    }

private:
    world& world_;
    std::uint32_t next_engine_ = 0;
    std::uint32_t next_service_ = 0;
};

/// @returns the replica of the plain service with the fewest calls
inline std::uint32_t least_loaded_service(world const& cluster) {
    std::uint32_t best = 0;
    for (std::uint32_t each = 1; each < cluster.workload().service.replicas;
         ++each) {
        if (cluster.service_outstanding(each) <
            cluster.service_outstanding(best)) {
            best = each;
        }
    }
    return best;
}

/// The engine with the fewest requests; among equals one that holds the
/// adapter.
class least_loaded_chooser {
public:
    explicit least_loaded_chooser(world& cluster)
        : world_(cluster) {}

    std::uint32_t
    engine(std::size_t index, std::vector<std::uint32_t> const& pending) {
        adapter_key const key = world_.record(index).adapter;
        std::uint32_t best = 0;
        std::uint64_t best_cost = UINT64_MAX;
        for (std::uint32_t each = 0; each < world_.engine_count(); ++each) {
            bool const has = world_.engine(each).slot(key) != nullptr;
            std::uint64_t const cost = 2ULL * pending[each] + (has ? 0 : 1);
            if (world_.engine(each).up() && cost < best_cost) {
                best = each;
                best_cost = cost;
            }
        }
        return best;
    }
    std::uint32_t service() { return least_loaded_service(world_); }

private:
    world& world_;
};

/// Each adapter has its order of engines; the first one that is not loaded
/// beyond a factor of the mean takes the request.
/// Reference: V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing
/// with Bounded Loads", SODA 2018, over rendezvous hashing.
class rendezvous_chooser {
public:
    explicit rendezvous_chooser(world& cluster)
        : world_(cluster) {}

    std::uint32_t
    engine(std::size_t index, std::vector<std::uint32_t> const& pending) {
        constexpr double bound_factor = 1.25;
        double const total =
            std::accumulate(pending.begin(), pending.end(), 1.0);
        double const bound = std::max<double>(
            bound_factor * total / world_.engine_count(),
            world_.workload().engine.batch_limit);
        std::uint32_t best = 0;
        std::uint64_t best_score = 0;
        for (std::uint32_t each = 0; each < world_.engine_count(); ++each) {
            std::uint64_t const score =
                combine_hashes(world_.request(index).adapter + 1, each + 1);
            bool const room = pending[each] + 1 <= bound + 1;
            if (world_.engine(each).up() && room && score > best_score) {
                best = each;
                best_score = score;
            }
        }
        return best;
    }
    std::uint32_t service() { return least_loaded_service(world_); }

private:
    world& world_;
};

} // namespace camphorpoint::bench
