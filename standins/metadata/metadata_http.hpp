#pragma once

#include "Ports/http_server.hpp"
#include "metadata/metadata_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace standins {

/// The store over HTTP, with the faults that the platform's store has.
class metadata_http {
public:
    /// Answers one call.
    boost::asio::awaitable<void> answer(camphorpoint::http_exchange& exchange);
    /// @returns what it keeps
    metadata_store& store() noexcept { return store_; }

    /// While set, calls are turned away.
    bool turns_away = false;
    /// While set, calls are done and get no answer.
    bool loses_answers = false;
    /// Calls so far.
    unsigned calls = 0;

private:
    camphorpoint::http_response
    respond(std::string const& target, std::string const& body);
    camphorpoint::http_response newest(std::string const& topic) const;
    camphorpoint::http_response join(std::string const& body);
    camphorpoint::http_response owners() const;
    boost::asio::awaitable<camphorpoint::http_response>
    read(std::string target);

    metadata_store store_;
};

} // namespace standins
