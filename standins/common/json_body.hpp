#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/// A JSON object read with a fallback for each key that is missing or of
/// another type: an admin call names only what it changes.
class json_body {
public:
    /// @param text what was posted; anything but an object reads as invalid
    explicit json_body(std::string_view text);

    /// @returns false when the text is no JSON object
    bool valid() const noexcept { return valid_; }
    /// @returns true when the key stands in the object
    bool has(std::string_view key) const { return object_.contains(key); }
    /// @returns the text at the key, or the fallback
    std::string text(std::string_view key, std::string fallback = "") const;
    /// @returns the whole number at the key, or the fallback
    std::int64_t integer(std::string_view key, std::int64_t fallback) const;
    /// @returns the number at the key, or the fallback
    double number(std::string_view key, double fallback) const;
    /// @returns the truth value at the key, or the fallback
    bool flag(std::string_view key, bool fallback) const;
    /// @returns the texts of the array at the key
    std::vector<std::string> texts(std::string_view key) const;
    /// @returns the object itself
    boost::json::object const& object() const noexcept { return object_; }

private:
    boost::json::object object_;
    bool valid_ = false;
};

} // namespace standins
