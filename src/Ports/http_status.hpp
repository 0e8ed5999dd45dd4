#pragma once

namespace camphorpoint {

/// What an HTTP status says of its message: RFC 9110, section 15.
enum class status_kind {
    /// The answer follows.
    interim,
    /// This is the answer.
    final,
    /// The message is no answer: its status is outside of 100 to 599, or
    /// switches to a protocol that was not asked for.
    invalid
};

/// @param status as received, in answer to a request without an upgrade
constexpr status_kind status_kind_of(unsigned status) noexcept {
    constexpr unsigned first_interim = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_final = 200;
    constexpr unsigned end = 600;
    if (status < first_interim || status >= end ||
        status == switching_protocols) {
        return status_kind::invalid;
    }
    return status < first_final ? status_kind::interim : status_kind::final;
}

} // namespace camphorpoint
