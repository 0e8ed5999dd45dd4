#pragma once

#include "Core/ids.hpp"
#include "Records/log_record.hpp"
#include "Serving/node_action.hpp"
#include "Serving/peer_message.hpp"

#include <cassert>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorpoint {

/// The service that requested an append.
enum class append_source : std::uint8_t { control, change, checkpoint };

/// An append, numbered by the service that requested it.
struct append_origin {
    append_source source = append_source::control;
    std::uint64_t number = 0;
};

/// Collects the actions of one node. Messages from the node to itself are not
/// sent: they are queued here and handled within the same event, after the
/// sending service has returned.
class node_outbox {
public:
    explicit node_outbox(node_id self)
        : self_(std::move(self)) {}

    /// Starts the handling of an event.
    /// @param out receives the actions until `finish`
    void begin(std::vector<node_action>& out) { out_ = &out; }
    void finish() { out_ = nullptr; }

    void emit(node_action action) {
        assert(
            out_ != nullptr && "actions arise only while an event is handled");
        out_->push_back(std::move(action));
    }
    void send(node_id const& to, peer_message message) {
        if (to == self_) {
            local_.push_back(std::move(message));
            return;
        }
        emit(send_peer{to, std::move(message)});
    }
    /// @returns the next message to this node itself, if there is one
    std::optional<peer_message> pop_local() {
        if (local_.empty()) {
            return std::nullopt;
        }
        peer_message next = std::move(local_.front());
        local_.pop_front();
        return next;
    }
    /// Requests an append under a number that is unique within the node.
    void append(append_origin origin, log_stream stream, std::string data) {
        appends_[++last_append_] = origin;
        emit(append_log{last_append_, stream, std::move(data)});
    }
    /// @returns the origin of an append that has ended; nothing when the append
    /// is not open
    std::optional<append_origin> append_ended(std::uint64_t number) {
        auto const found = appends_.find(number);
        if (found == appends_.end()) {
            return std::nullopt;
        }
        append_origin const origin = found->second;
        appends_.erase(found);
        return origin;
    }
    node_id const& self() const noexcept { return self_; }

private:
    node_id self_;
    std::vector<node_action>* out_ = nullptr;
    std::deque<peer_message> local_;
    std::map<std::uint64_t, append_origin> appends_;
    std::uint64_t last_append_ = 0;
};

} // namespace camphorpoint
