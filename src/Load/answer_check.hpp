#pragma once

#include "Core/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// What is wrong with an answer.
enum class answer_fault : std::uint8_t {
    none,
    /// An event that is no chunk of a chat completion.
    malformed,
    wrong_adapter,
    wrong_version,
    /// The text is not the one for this request: crossed with another's
    /// answer, or tokens missing, repeated or out of order.
    wrong_text,
    /// Closed as whole, but shorter than asked for.
    too_short
};

/// @returns the fault's code in reports
std::string_view to_string(answer_fault fault) noexcept;

/// Checks a streamed answer chunk by chunk against its request.
class answer_check {
public:
    /// @param adapter  what the profile names
    /// @param versions those that may be in force during the run
    /// @param prompt   digest of the request's messages
    /// @param tokens   how many were asked for
    answer_check(
        adapter_id adapter, std::vector<std::uint32_t> versions,
        std::uint64_t prompt, std::uint32_t tokens);

    /// Takes the data of the next event, [DONE] left out.
    /// @returns what is wrong so far
    answer_fault take(std::string_view data);
    /// @returns what is wrong with the answer, now that it was closed as whole
    answer_fault close();
    /// @returns how many tokens have come
    std::uint32_t tokens() const noexcept { return tokens_; }
    /// @returns the version that answers, 0 before the first chunk
    std::uint32_t version() const noexcept { return version_; }

private:
    answer_fault take_model(std::string_view model);
    answer_fault take_text(std::string_view text);

    adapter_id adapter_;
    std::vector<std::uint32_t> versions_;
    std::uint64_t prompt_;
    std::uint32_t wanted_;
    std::uint32_t version_ = 0;
    std::uint32_t tokens_ = 0;
    // The part of the next token that has come.
    std::string partial_;
    answer_fault fault_ = answer_fault::none;
};

} // namespace camphorpoint
