#include "model_replica.hpp"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <thread>
#include <utility>

namespace stage {

namespace {

std::string field(message const& of, char const* name) {
    auto const found = of.head.find(name);
    return found == of.head.end() ? "" : found->second;
}

std::string adapter_of(message const& request) {
    std::string const asked = field(request, "x-model");
    std::size_t const slash = asked.find('/');
    return slash == std::string::npos ? "" : asked.substr(slash + 1);
}

std::string chunk(std::string const& text) {
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

} // namespace

model_replica::model_replica(replica_form form, record& notes)
    : form_(std::move(form))
    , notes_(&notes) {
    for (auto const& [name, version] : form_.adapters) {
        adapters_[name].version = version;
        ++sequence_;
    }
}

void model_replica::start() {
    serve(form_.port, [this](connection& link, message& request) {
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

std::vector<run_note> model_replica::runs() {
    std::lock_guard const guard(mutex_);
    return runs_;
}

void model_replica::ping() {
    std::string names;
    std::string entry;
    {
        std::lock_guard const guard(mutex_);
        for (auto const& [name, each] : adapters_) {
            if (each.ready) {
                names += (names.empty() ? "\"" : ",\"") + name + "@" +
                         std::to_string(each.version) + "\"";
            }
        }
        entry = R"({"service":")" + form_.service +
                R"(","address":"127.0.0.1:)" + std::to_string(form_.port) +
                R"(","zone":"z1","version":"v1","slots":)" +
                std::to_string(form_.slots) +
                R"(,"state":"ready","cold_remaining_ms":0,"sequence":)" +
                std::to_string(++heartbeats_) + R"(,"models":[{"name":")" +
                form_.model + R"(","version":1,"adapters":[)" + names + "]}]}";
    }
    std::string ignored;
    call(
        form_.store_port, "POST", "/log-append?topic=keyed.servers&part=0",
        keyed_record(form_.id, entry), ignored);
}

std::string model_replica::report() {
    std::lock_guard const guard(mutex_);
    std::string ready;
    std::string pending;
    for (auto const& [name, each] : adapters_) {
        std::string const listed = name + "@" + std::to_string(each.version);
        std::string& list = each.ready ? ready : pending;
        list += list.empty() ? "\"" : ",\"";
        list += each.ready ? listed : form_.model + "/" + listed;
        list += "\"";
    }
    std::string const body =
        R"({"stage":"colocated","models":[{"name":")" + form_.model +
        R"(","version":1,"adapters":[)" + ready +
        R"(]}],"busy":false,"sequence":)" + std::to_string(sequence_) +
        R"(,"queued":)" + std::to_string(waiting_.size()) + R"(,"active":)" +
        std::to_string(running_) + R"(,"kv_used":0,"kv_total":90000,)" +
        R"("handles":0,"pending":[)" + pending + "]}";
    return plain_answer(200, "Content-Type: application/json\r\n", body);
}

std::string model_replica::order(std::string const& body) {
    std::lock_guard const guard(mutex_);
    auto const fence =
        static_cast<std::uint64_t>(number_in(body, "fencing_token", 0));
    if (fence < fence_) {
        return plain_answer(412, "", "{}");
    }
    fence_ = fence;
    std::string const name = text_in(body, "adapter");
    if (name.empty()) {
        return plain_answer(200, "", "{}");
    }
    std::string known = known_order(name, body);
    if (!known.empty()) {
        return known;
    }
    if (number_in(body, "expect", static_cast<std::int64_t>(sequence_)) !=
        static_cast<std::int64_t>(sequence_)) {
        return plain_answer(409, "", "{}");
    }
    ++sequence_;
    notes_->line("order at " + form_.id + ": " + body);
    return text_in(body, "operation") == "unload" ? order_unload(name)
                                                  : order_load(name, body);
}

std::string
model_replica::known_order(std::string const& name, std::string const& body) {
    bool const unload = text_in(body, "operation") == "unload";
    auto const found = adapters_.find(name);
    if (found == adapters_.end()) {
        return unload ? plain_answer(200, "", "{}") : "";
    }
    held_adapter const& entry = found->second;
    if (unload) {
        return entry.leaving ? plain_answer(202, "", "{}") : "";
    }
    auto const asked =
        static_cast<unsigned>(number_in(body, "version", entry.version));
    bool const there = entry.version >= asked && entry.next == 0;
    bool const under_way = entry.next >= asked && entry.next > 0;
    if (there || under_way) {
        return plain_answer(there && entry.ready ? 200 : 202, "", "{}");
    }
    return "";
}

std::string model_replica::order_unload(std::string const& name) {
    held_adapter& entry = adapters_.at(name);
    if (entry.used == 0) {
        adapters_.erase(name);
        return plain_answer(200, "", "{}");
    }
    entry.leaving = true;
    return plain_answer(202, "", "{}");
}

std::string
model_replica::order_load(std::string const& name, std::string const& body) {
    auto const newest = static_cast<std::int64_t>(form_.newest(name));
    auto const version =
        static_cast<unsigned>(number_in(body, "version", newest));
    std::thread([this, name, version] { load(name, version); }).detach();
    auto const found = adapters_.find(name);
    if (found != adapters_.end()) {
        found->second.next = version;
    } else {
        adapters_[name] = {version, false, 0, 0, false};
    }
    return plain_answer(202, "", "{}");
}

void model_replica::load(std::string const& name, unsigned version) {
    constexpr std::int64_t step = 5;
    sleep_ms(form_.load_ms);
    bool waits = true;
    while (waits) {
        {
            std::lock_guard const guard(mutex_);
            waits = adapters_[name].used > 0;
            if (!waits) {
                adapters_[name] = {version, true, 0, 0, false};
            }
        }
        sleep_ms(waits ? step : 0);
    }
}

std::string model_replica::refuse(int status, message const& request) const {
    return plain_answer(
        status,
        "X-Not-Executed: 1\r\nX-Request-Id: " + field(request, "x-request-id") +
            "\r\n",
        "");
}

std::string model_replica::refusal(message const& request) {
    std::string const meant = field(request, "x-target-instance");
    if (!meant.empty() && meant != form_.id) {
        return refuse(421, request);
    }
    std::string const name = adapter_of(request);
    if (name.empty()) {
        return "";
    }
    auto const found = adapters_.find(name);
    if (found == adapters_.end() || !found->second.ready) {
        return refuse(421, request);
    }
    std::string const expected = field(request, "x-expected-version");
    if (!expected.empty() &&
        std::strtoul(expected.c_str(), nullptr, 10) != found->second.version) {
        return refuse(421, request);
    }
    bool const stays = found->second.next == 0 && !found->second.leaving;
    return stays ? "" : refuse(503, request);
}

void model_replica::answer(connection& link, message const& request) {
    if (request.target == "/report") {
        link.send(report());
    } else if (request.target == "/order") {
        std::string const meant = field(request, "x-target-instance");
        bool const other = !meant.empty() && meant != form_.id;
        link.send(other ? refuse(421, request) : order(request.body));
    } else {
        run(link, request);
    }
}

bool model_replica::await_slot(connection& link) {
    constexpr std::int64_t step = 2;
    std::uint64_t ticket = 0;
    {
        std::lock_guard const guard(mutex_);
        ticket = ++next_ticket_;
        waiting_.insert(ticket);
    }
    while (true) {
        {
            std::lock_guard const guard(mutex_);
            bool const next = *waiting_.begin() == ticket;
            if (link.left()) {
                waiting_.erase(ticket);
                return false;
            }
            if (next && running_ < form_.slots) {
                waiting_.erase(ticket);
                ++running_;
                return true;
            }
        }
        sleep_ms(step);
    }
}

void model_replica::run(connection& link, message const& request) {
    std::string refused;
    {
        std::lock_guard const guard(mutex_);
        refused = refusal(request);
        if (refused.empty() && waiting_.size() >= form_.queued) {
            refused = refuse(503, request);
        }
    }
    if (!refused.empty()) {
        link.send(refused);
        return;
    }
    if (!await_slot(link)) {
        notes_->line(
            "request " + field(request, "x-request-id") +
            " left the queue of " + form_.id);
        return;
    }
    std::size_t number = 0;
    {
        std::lock_guard const guard(mutex_);
        refused = refusal(request);
        if (refused.empty()) {
            std::string const name = adapter_of(request);
            unsigned const version =
                name.empty() ? 1 : adapters_.at(name).version;
            number = runs_.size();
            runs_.push_back(
                {field(request, "x-request-id"), form_.id, name, version,
                 notes_->since_start(), -1,
                 std::strtoull(
                     field(request, "last-event-id").c_str(), nullptr, 10)});
            adapters_[name].used += name.empty() ? 0 : 1;
            notes_->line(
                "request " + runs_.back().request + " begins to run at " +
                form_.id + " on " + name + "@" + std::to_string(version) +
                " after event " + std::to_string(runs_.back().after));
        }
    }
    if (refused.empty()) {
        stream(link, request, number);
    } else {
        link.send(refused);
    }
    --running_;
}

// A replica drops a request as soon as its connection closes, also between two
// tokens.
bool model_replica::token(connection& link) const {
    constexpr std::int64_t step = 5;
    auto const end =
        now_ms() + static_cast<std::int64_t>(
                       static_cast<double>(form_.token_ms) * form_.slowness());
    for (std::int64_t now = now_ms(); now < end; now = now_ms()) {
        if (link.left()) {
            return false;
        }
        sleep_ms(std::min(step, end - now));
    }
    return !link.left();
}

std::string
model_replica::event(std::string const& request, std::uint64_t number) const {
    std::string const text = std::to_string(number);
    return "id: " + text + "\ndata: " + request + " " + text + "\n\n";
}

void model_replica::end_run(std::size_t number, std::string const& how) {
    std::lock_guard const guard(mutex_);
    run_note& run = runs_[number];
    run.ended = notes_->since_start();
    if (!run.adapter.empty()) {
        held_adapter& entry = adapters_[run.adapter];
        --entry.used;
        if (entry.leaving && entry.used == 0) {
            adapters_.erase(run.adapter);
        }
    }
    notes_->line("request " + run.request + " " + how + " at " + form_.id);
}

void model_replica::stream(
    connection& link, message const& request, std::size_t number) {
    std::string const id = field(request, "x-request-id");
    std::string const count = field(request, "x-token-count");
    std::size_t const comma = count.find(',');
    std::uint64_t const tokens =
        comma == std::string::npos
            ? form_.event_tokens
            : std::strtoull(count.c_str() + comma + 1, nullptr, 10);
    std::uint64_t const events =
        std::max<std::uint64_t>(1, tokens / form_.event_tokens);
    std::uint64_t const after =
        std::strtoull(field(request, "last-event-id").c_str(), nullptr, 10);
    bool there = true;
    // The run begins with its first token.
    unsigned made = 1;
    bool begun = false;
    for (std::uint64_t each = after + 1; there && each <= events; ++each) {
        while (there && made < form_.event_tokens) {
            there = token(link);
            ++made;
        }
        made = 0;
        std::string const head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "X-Request-Id: " +
            id + "\r\nX-Response-Signature: signed." + form_.id +
            "\r\nTransfer-Encoding: chunked\r\n\r\n";
        there =
            there && link.send((begun ? "" : head) + chunk(event(id, each)));
        begun = true;
    }
    there = there && link.send("0\r\n\r\n");
    end_run(number, there ? "is complete" : "is dropped");
}

} // namespace stage
