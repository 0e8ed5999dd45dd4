#pragma once

#include "Core/time.hpp"
#include "Ports/http_server.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace standins {

/// What goes wrong with one request.
enum class replica_fault : std::uint8_t {
    none,
    /// It is full: the request is not run.
    full,
    /// The request is run and its answer lost with the connection.
    answer_lost,
    /// The answer breaks off in the middle of its third event.
    cut,
    /// A success without the replica's signature.
    unsigned_answer,
    /// The request is run and fails, with `failure_status`.
    failure,
    /// The request is taken and never answered.
    silence
};

/// A replica of the users' platform: requests, orders for adapters, a report.
class replica_engine {
public:
    /// @param id    names it
    /// @param model the base model it holds; empty for a plain service
    /// @param slots places for adapters
    replica_engine(std::string id, std::string model, unsigned slots);

    /// Answers one call.
    boost::asio::awaitable<void> answer(camphorpoint::http_exchange& exchange);
    /// @returns its entry in the list
    std::string
    entry(std::string const& service, std::string const& address) const;

    /// Starts again under its name: empty, its counts anew.
    void start_again();

    /// A request with this body ends the replica as it begins to run; empty
    /// for none.
    std::string poison_body;
    /// A request with one of these parts in its prompt ends the replica as it
    /// begins to write the answer.
    std::set<std::string> poison_parts;
    /// Called when a request has ended it.
    std::function<void()> on_crash;
    /// What befalls the next requests, in order.
    std::deque<replica_fault> faults;
    /// Draws what befalls a request when `faults` names nothing.
    std::function<replica_fault()> draw_fault;
    /// Status of a request that is run and fails.
    int failure_status = 500;
    /// Whether the answer of a request that is run and fails is signed.
    bool failure_signed = true;
    /// Called when a request begins to run.
    std::function<void(camphorpoint::http_request const& request)> on_run;
    /// Called when a run has ended.
    /// @param run   its number
    /// @param broke the replica has broken its answer off
    std::function<void(std::uint64_t run, bool broke)> on_end;
    /// @returns how many requests have begun to run
    std::uint64_t run_count() const noexcept { return run_count_; }
    /// How often each request has run.
    std::map<std::string, unsigned> runs;
    /// The fields of the last run of each request.
    std::map<std::string, camphorpoint::http_fields> run_fields;
    /// Set when it was ordered to hold more than it can.
    bool overfilled = false;
    /// It rejects every request.
    bool sheds = false;
    /// Each answer says that it leaves, also those to reports and commands.
    bool leaves = false;
    /// Holders whose orders it took, by their fencing numbers.
    std::map<std::uint64_t, std::set<std::string>> holders;
    /// The version of its software, as its registry entry names it.
    std::string software = "v1";
    /// How long a load takes.
    std::chrono::milliseconds load_time{60};
    /// It takes connections, but reads and writes nothing before this time.
    camphorpoint::instant silent_until;
    /// Events of a stream, and the pause between them.
    unsigned events = 8;
    std::chrono::milliseconds pause{5};
    /// The data of an event; "w" and its number when not set.
    std::function<std::string(std::uint64_t run, unsigned number)> event_text;
    /// The text that each answer gives as the rate of requests that the replica
    /// takes, a decimal number per second; empty when it names none.
    std::string rate_limit;
    /// The text that each answer gives as the rejections in a second that the
    /// replica bears; empty when it names none.
    std::string brittle;
    /// The text that each rejection gives as the time for which the replica
    /// wants no requests; empty when it gives none.
    std::string rest;
    /// Requests without a model that it runs at once; 0 for any number. Others
    /// are rejected.
    unsigned room = 0;
    /// How long it runs each of them.
    std::chrono::milliseconds service_time{0};
    /// When it has rejected a request for want of room.
    std::vector<camphorpoint::instant> rejections;
    /// Called when it has rejected more requests within a second than it bears.
    std::function<void()> on_overload;
    /// When each request arrived, whether it was run or not.
    std::vector<camphorpoint::instant> arrivals;
    /// Where the caller has left before a stream's end, and how long ago.
    unsigned cancelled = 0;

private:
    struct held {
        unsigned version = 1;
        camphorpoint::instant ready;
    };
    camphorpoint::http_response order(std::string const& body);
    camphorpoint::http_response report() const;
    boost::asio::awaitable<void> run(camphorpoint::http_exchange& exchange);
    boost::asio::awaitable<void> stream(
        camphorpoint::http_exchange& exchange, replica_fault fault,
        std::uint64_t run);
    /// Waits until it is not silent.
    boost::asio::awaitable<void> end_of_silence() const;
    bool holds(std::string const& model) const;
    /// @returns true when running the request ends the replica
    bool is_poison(camphorpoint::http_request const& request) const;
    void record_rejection();
    replica_fault next_fault();
    /// @returns the run's number
    std::uint64_t begin_run(camphorpoint::http_request const& request);
    void end_run(std::uint64_t run, bool broke) const;
    void name_state(camphorpoint::http_fields& answer) const;
    /// Sends an answer with the request's id and what the replica says of
    /// itself.
    boost::asio::awaitable<void> respond(
        camphorpoint::http_exchange& exchange,
        camphorpoint::http_response response) const;

    std::string id_;
    std::string model_;
    unsigned slots_;
    /// Milliseconds since 1970.
    std::int64_t born_ = 1'767'225'600'000;
    std::uint64_t sequence_ = 0;
    /// Its entry was written so often.
    mutable std::uint64_t heartbeats_ = 0;
    std::uint64_t fence_ = 0;
    unsigned running_ = 0;
    std::uint64_t run_count_ = 0;
    std::map<std::string, held> adapters_;
};

} // namespace standins
