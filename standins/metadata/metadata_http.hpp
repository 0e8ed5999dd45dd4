#pragma once

#include "Ports/http_server.hpp"
#include "metadata/metadata_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace standins {

/// The store over HTTP, with the faults that the platform's store has.
class metadata_http {
public:
    /// Answers one call.
    boost::asio::awaitable<void> answer(camphorpoint::http_exchange& exchange);
    /// @returns what it keeps
    metadata_store& store() noexcept { return store_; }

    /// Comes back from an older copy: what was written since is gone, its
    /// places are given out again, and members that have joined since are
    /// forgotten.
    /// @param copy as it was
    void come_back(metadata_store copy);
    /// Answers name it while it is not 0; rises with each return.
    unsigned epoch = 1;

    /// While set, calls are turned away.
    bool turns_away = false;
    /// While set, calls are taken, not done and never answered, also those of
    /// then once it is unset.
    bool silent = false;
    /// While set, calls are done and get no answer.
    bool loses_answers = false;
    /// While set, records are added and whoever adds them gets no answer.
    bool loses_append_answers = false;
    /// While not empty, appends to this topic get no answer, and are delayed
    /// until `carry_out_delayed`.
    std::string delays_appends_to;
    /// Carries out the delayed appends whose condition still holds, in the
    /// order in which they were received.
    void carry_out_delayed();
    /// @returns the number of appends that are delayed
    std::size_t delayed() const noexcept { return delayed_.size(); }
    /// Items of one page of the newest records.
    std::size_t page_items = 500;
    /// Called when a call has put a record of a keyed topic.
    std::function<void(
        std::string const& topic, std::string const& key,
        std::string const& value)>
        on_put;
    /// Called with the topic when a page was made that others follow.
    std::function<void(std::string const& topic)> page_made;
    /// What the way to whoever asks carries in a second, all answers together;
    /// 0: no bound.
    std::uint64_t bytes_per_second = 0;
    /// Calls so far.
    unsigned calls = 0;
    /// Records that were added by calls so far, by topic.
    std::map<std::string, unsigned> appends;
    /// Readings so far, by topic.
    std::map<std::string, unsigned> readings;
    /// Bytes of answers that went over a bounded way so far.
    std::uint64_t bytes_sent = 0;

private:
    camphorpoint::http_response
    respond(std::string const& target, std::string const& body);
    camphorpoint::http_response
    append(std::string const& target, std::string const& body);
    camphorpoint::http_response
    newest(std::string const& topic, std::string const& after);
    camphorpoint::http_response join(std::string const& body);
    camphorpoint::http_response owners() const;
    boost::asio::awaitable<camphorpoint::http_response>
    read(std::string target);
    boost::asio::awaitable<void> send(
        camphorpoint::http_exchange& exchange,
        camphorpoint::http_response response);

    struct delayed_append {
        std::string target;
        std::string body;
    };

    metadata_store store_;
    std::vector<delayed_append> delayed_;
    /// When the bounded way has carried all that was given to it.
    camphorpoint::instant way_free_;
};

} // namespace standins
