#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace camphorpoint {

/// A string that is not interchangeable with strings of another meaning.
/// @tparam Tag an empty type that names the meaning
template <class Tag>
class strong_string {
public:
    strong_string() = default;
    explicit strong_string(std::string value)
        : value_(std::move(value)) {}

    /// @returns the text itself
    std::string const& str() const noexcept { return value_; }
    /// @returns true when no text was given
    bool empty() const noexcept { return value_.empty(); }

    friend auto
    operator<=>(strong_string const&, strong_string const&) = default;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(value_);
    }

private:
    std::string value_;
};

} // namespace camphorpoint

template <class Tag>
struct std::hash<camphorpoint::strong_string<Tag>> {
    std::size_t
    operator()(camphorpoint::strong_string<Tag> const& id) const noexcept {
        return std::hash<std::string>()(id.str());
    }
};
