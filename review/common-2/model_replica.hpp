#pragma once

#include "net.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace stage {

/// What a model replica is like.
struct replica_form {
    std::string id;
    std::string service;
    std::string model;
    int port = 0;
    int store_port = 0;
    /// Requests that it runs at once, and that it queues beyond.
    unsigned slots = 32;
    unsigned queued = 32;
    unsigned adapter_slots = 19;
    /// Adapters that it holds at its start, with their versions.
    std::map<std::string, unsigned> adapters;
    std::int64_t token_ms = 10;
    unsigned event_tokens = 5;
    std::int64_t load_ms = 250;
    /// How many times as long as usual its work takes at the moment.
    std::function<double()> slowness = [] {
        return 1.0;
    };
    /// The newest version of an adapter, as a load without a version takes.
    std::function<unsigned(std::string const&)> newest =
        [](std::string const&) {
            return 1U;
        };
};

/// One run of a request, in milliseconds of the record.
struct run_note {
    std::string request;
    std::string replica;
    std::string adapter;
    unsigned version = 0;
    std::int64_t began = 0;
    std::int64_t ended = -1;
    std::uint64_t after = 0;
};

/// A stand-in of a model replica: requests in a batch of `slots` and a queue,
/// streams of events that hold several tokens, orders for adapters, a report,
/// an entry in the platform's store.
class model_replica {
public:
    model_replica(replica_form form, record& notes);
    /// Listens, and writes its entry every 1.2 s.
    void start();
    /// @returns all runs so far
    std::vector<run_note> runs();
    unsigned running() const { return running_; }

private:
    struct held_adapter {
        unsigned version = 1;
        bool ready = true;
        unsigned used = 0;
        /// The version that replaces it once its runs have ended, 0 for none.
        unsigned next = 0;
        /// It is unloaded once its runs have ended.
        bool leaving = false;
    };

    void answer(connection& link, message const& request);
    std::string order(std::string const& body);
    std::string order_load(std::string const& name, std::string const& body);
    std::string order_unload(std::string const& name);
    /// @returns the answer to an order that holds already or is carried out;
    ///          empty for another one
    std::string known_order(std::string const& name, std::string const& body);
    void load(std::string const& name, unsigned version);
    std::string report();
    void ping();
    /// @returns the refusal; empty when the request may run
    std::string refusal(message const& request);
    std::string refuse(int status, message const& request) const;
    void run(connection& link, message const& request);
    bool await_slot(connection& link);
    void stream(connection& link, message const& request, std::size_t number);
    bool token(connection& link) const;
    std::string event(std::string const& request, std::uint64_t number) const;
    void end_run(std::size_t number, std::string const& how);

    replica_form form_;
    record* notes_;
    std::mutex mutex_;
    std::map<std::string, held_adapter> adapters_;
    std::uint64_t sequence_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t heartbeats_ = 0;
    std::atomic<unsigned> running_ = 0;
    std::uint64_t next_ticket_ = 0;
    std::set<std::uint64_t> waiting_;
    std::vector<run_note> runs_;
};

} // namespace stage
