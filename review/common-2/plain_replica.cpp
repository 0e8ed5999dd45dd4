#include "plain_replica.hpp"

#include <thread>

namespace stage {

namespace {

constexpr std::int64_t work_ms = 30;

std::string field(message const& of, char const* name) {
    auto const found = of.head.find(name);
    return found == of.head.end() ? "" : found->second;
}

} // namespace

void plain_replica::start() {
    serve(port_, [this](connection& link, message& request) {
        answer(link, request);
    });
    std::thread([this] {
        constexpr std::int64_t interval = 1200;
        while (true) {
            ping();
            sleep_ms(interval);
        }
    }).detach();
}

void plain_replica::ping() {
    std::string const entry =
        R"({"service":")" + service_ + R"(","address":"127.0.0.1:)" +
        std::to_string(port_) +
        R"(","zone":"z1","version":"v1","slots":6,"state":"ready",)" +
        R"("cold_remaining_ms":0,"sequence":)" + std::to_string(++heartbeats_) +
        "}";
    std::string ignored;
    call(
        store_port_, "POST", "/log-append?topic=keyed.servers&part=0",
        keyed_record(id_, entry), ignored);
}

void plain_replica::answer(connection& link, message const& request) {
    std::string const id =
        "X-Request-Id: " + field(request, "x-request-id") + "\r\n";
    std::string const meant = field(request, "x-target-instance");
    if (!meant.empty() && meant != id_) {
        link.send(plain_answer(421, "X-Not-Executed: 1\r\n" + id, ""));
        return;
    }
    ++runs_;
    notes_->line(
        "request " + field(request, "x-request-id") + " runs at " + id_);
    sleep_ms(work_ms);
    link.send(plain_answer(
        200, "X-Response-Signature: signed." + id_ + "\r\n" + id,
        "answer to " + field(request, "x-request-id")));
}

} // namespace stage
