#pragma once

#include "net.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace stage {

/// What a caller has received.
struct caller_answer {
    int status = 0;
    bool whole = false;
    std::vector<std::string> events;
    std::string body;
    std::int64_t first_ms = -1;
    std::int64_t ended_ms = 0;
};

/// What a caller sends.
struct caller_request {
    int port = 0;
    std::string id;
    std::string host = "stage.example";
    std::string target = "/lm/1";
    std::string more;
    std::string body = "x";
    std::int64_t deadline_ms = 15000;
    /// It leaves when nothing arrives for so long.
    std::int64_t patience_ms = 4000;
};

/// Sends a request over a connection of its own and reads the answer.
caller_answer send_request(caller_request const& request, record& notes);

} // namespace stage
