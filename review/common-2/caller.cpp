#include "caller.hpp"

#include <cstdlib>

namespace stage {

namespace {

void take_events(std::string& text, std::vector<std::string>& into) {
    std::size_t end = text.find("\n\n");
    while (end != std::string::npos) {
        into.push_back(text.substr(0, end));
        text.erase(0, end + 2);
        end = text.find("\n\n");
    }
}

void read_answer(connection& link, message& head, caller_answer& answer) {
    if (head.head.contains("content-length")) {
        std::size_t const length =
            std::strtoul(head.head.at("content-length").c_str(), nullptr, 10);
        answer.whole = link.read_body(length, answer.body);
        return;
    }
    std::string piece;
    std::string text;
    while (link.read_chunk(piece, answer.whole)) {
        text += piece;
        take_events(text, answer.events);
    }
}

} // namespace

caller_answer send_request(caller_request const& request, record& notes) {
    caller_answer answer;
    connection link(connection::open(request.port));
    link.limit_reads(request.patience_ms);
    notes.line("caller sends " + request.id + " to " + request.target);
    std::string const text =
        "POST " + request.target + " HTTP/1.1\r\nHost: " + request.host +
        "\r\nX-Request-Id: " + request.id +
        "\r\nX-Request-Deadline: " + std::to_string(request.deadline_ms) +
        "\r\n" + request.more +
        "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
        request.body;
    message head;
    if (link.send(text) && link.read_head(head)) {
        answer.first_ms = notes.since_start();
        answer.status = std::atoi(head.target.c_str());
        read_answer(link, head, answer);
    }
    answer.ended_ms = notes.since_start();
    notes.line(
        "caller of " + request.id + " has status " +
        std::to_string(answer.status) + ", " +
        std::to_string(answer.events.size()) + " events, " +
        (answer.whole ? "whole" : "not whole"));
    return answer;
}

} // namespace stage
