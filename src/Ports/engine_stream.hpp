#pragma once

#include "Core/ids.hpp"
#include "Ports/event_stream.hpp"

#include <cstdint>
#include <string>

namespace camphorpoint {

/// What one event of an engine's stream is.
enum class stream_verdict : std::uint8_t {
    /// A further token of the right answer.
    token,
    /// The answer's last chunk: it is as long as announced.
    last,
    /// The stream is whole; nothing more comes.
    finished,
    /// Another request's answer, or one of another adapter or version.
    mismatch,
    /// Tokens are missing, or the answer is not as long as announced.
    cut
};

/// Checks an engine's stream event by event, so that no caller is handed
/// another's answer, one of another version, or one that is not whole.
class engine_stream {
public:
    /// @param id      the id that the engine was given
    /// @param adapter what the engine was asked to run on
    /// @param from    index of the first token that is wanted
    engine_stream(
        request_id id, adapter_ref const& adapter, std::uint32_t from);

    /// Takes the next event.
    /// @returns what it is; past last only finished is right
    stream_verdict take(stream_event const& event);
    /// @returns index of the next token: how many the whole answer has so far
    std::uint32_t next_token() const noexcept { return next_; }
    /// @returns the text of the last event taken
    std::string const& text() const noexcept { return text_; }

private:
    request_id id_;
    std::string model_;
    std::uint32_t next_;
    bool last_seen_ = false;
    std::string text_;
};

/// @returns the name by which engines know an adapter in one version
std::string engine_model(adapter_ref const& adapter);

} // namespace camphorpoint
