#include "Fleet/fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

using namespace camphorpoint;

namespace {

constexpr int ids = 12;
constexpr int adapter_count = 6;

endpoint_id replica_name(int number) {
    return endpoint_id("r" + std::to_string(number));
}

adapter_id adapter_name(int number) {
    return adapter_id("m/a" + std::to_string(number));
}

/// Applies random entries and messages to a fleet.
class random_changes {
public:
    explicit random_changes(unsigned seed)
        : random_(seed) {}

    void apply_one() {
        now_ += std::chrono::milliseconds(300);
        endpoint_id const id = replica_name(pick(ids));
        adapter_id const adapter = adapter_name(pick(adapter_count));
        switch (pick(6)) {
        case 0:
        case 1:
            replicas.apply(random_entry(id), now_);
            break;
        case 2:
            replicas.mark_resident(id, {adapter, 1}, now_);
            break;
        case 3:
            replicas.mark_unloading(id, adapter, now_);
            break;
        case 4:
            replicas.mark_unlisted(id, false, now_);
            break;
        default:
            now_ += removed_retention / 3;
            replicas.expire_missing(true, now_);
        }
    }

    fleet replicas;

private:
    int pick(int count) {
        return std::uniform_int_distribution<int>(0, count - 1)(random_);
    }
    replica_record random_entry(endpoint_id const& id) {
        replica_record record;
        record.id = id;
        record.heartbeat = ++heartbeat_;
        record.service = service_id(pick(2) == 0 ? "left" : "right");
        record.started_at = incarnation(std::chrono::milliseconds(pick(3)));
        for (int each = 0; each < adapter_count; ++each) {
            if (pick(2) == 0) {
                record.adapters.push_back({adapter_name(each), 1});
            }
        }
        return record;
    }

    std::mt19937 random_;
    std::uint64_t heartbeat_ = 0;
    instant now_ = instant{} + std::chrono::hours(1);
};

std::vector<endpoint_id> ids_of(std::vector<replica*> const& replicas) {
    std::vector<endpoint_id> result;
    result.reserve(replicas.size());
    for (replica const* const each : replicas) {
        result.push_back(each->record.id);
    }
    return result;
}

template <class Predicate>
std::vector<endpoint_id> scan(fleet const& replicas, Predicate&& wanted) {
    std::vector<endpoint_id> result;
    for (auto const& [id, each] : replicas.all()) {
        if (wanted(each)) {
            result.push_back(id);
        }
    }
    return result;
}

} // namespace

// Guards against an index that misses a replica or keeps one that is gone: the
// replica would get no requests, or a request would use freed memory.
TEST_CASE("the indexes of a fleet name the replicas that a scan finds") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_changes changes(seed);
        fleet& replicas = changes.replicas;
        for (int step = 0; step < 400; ++step) {
            changes.apply_one();
            for (int each = 0; each < adapter_count; ++each) {
                adapter_id const adapter = adapter_name(each);
                REQUIRE(
                    ids_of(replicas.with_adapter(adapter)) ==
                    scan(replicas, [&](replica const& at) {
                        return at.adapters.contains(adapter);
                    }));
            }
            for (char const* const name : {"left", "right"}) {
                service_id const service(name);
                REQUIRE(
                    ids_of(replicas.of_service(service)) ==
                    scan(replicas, [&](replica const& at) {
                        return at.record.service == service;
                    }));
            }
            for (auto const& [id, each] : replicas.all()) {
                REQUIRE(
                    replicas.find_by_hash(fleet::id_hash(id)) ==
                    replicas.find(id));
            }
        }
    }
}
