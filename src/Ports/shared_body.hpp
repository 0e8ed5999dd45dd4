#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace camphorpoint {

/// The body of a request. Its copies share one text, which no one changes, so
/// that each attempt to send a request takes no further memory for it.
class shared_body {
public:
    shared_body() = default;
    /// @param memory counts the text against a budget for as long as a copy
    ///               exists; null for a text that counts against none
    shared_body(std::string text, std::shared_ptr<void const> memory = nullptr)
        : held_(
              text.empty() ? nullptr
                           : std::make_shared<held const>(
                                 std::move(text), std::move(memory))) {}
    shared_body(char const* text)
        : shared_body(std::string(text)) {}

    /// @returns the text, valid as long as a copy exists
    std::string const& text() const noexcept {
        static std::string const none;
        return held_ == nullptr ? none : held_->text;
    }
    operator std::string_view() const noexcept { return text(); }
    std::size_t size() const noexcept { return text().size(); }
    bool empty() const noexcept { return held_ == nullptr; }

    friend bool
    operator==(shared_body const& left, std::string_view right) noexcept {
        return left.text() == right;
    }

private:
    struct held {
        held(std::string of, std::shared_ptr<void const> counted)
            : memory(std::move(counted))
            , text(std::move(of)) {}

        std::shared_ptr<void const> memory;
        std::string text;
    };

    std::shared_ptr<held const> held_;
};

} // namespace camphorpoint
