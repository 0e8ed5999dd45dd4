#pragma once

#include "net.hpp"

#include <atomic>
#include <cstdint>
#include <string>

namespace stage {

/// A stand-in of a replica of a plain service: it answers each request after
/// its work time, and writes its entry in the platform's store every 1.2 s.
class plain_replica {
public:
    plain_replica(
        std::string id, std::string service, int port, int store_port,
        record& notes)
        : id_(std::move(id))
        , service_(std::move(service))
        , port_(port)
        , store_port_(store_port)
        , notes_(&notes) {}

    void start();
    unsigned runs() const { return runs_; }

private:
    void answer(connection& link, message const& request);
    void ping();

    std::string id_;
    std::string service_;
    int port_;
    int store_port_;
    record* notes_;
    std::uint64_t heartbeats_ = 0;
    std::atomic<unsigned> runs_ = 0;
};

} // namespace stage
