#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorpoint {

/// Reads an answer of a node's operator interface. What is missing or of
/// another type reads as empty: the command line may be older or newer than
/// the node.
class json_reading {
public:
    /// @param text anything but a JSON object reads as invalid
    explicit json_reading(std::string_view text);
    explicit json_reading(boost::json::object object)
        : object_(std::move(object))
        , valid_(true) {}

    bool valid() const noexcept { return valid_; }
    bool has(std::string_view key) const { return object_.contains(key); }
    std::string text(std::string_view key) const;
    std::uint64_t number(std::string_view key) const;
    bool flag(std::string_view key) const;
    std::vector<std::string> texts(std::string_view key) const;
    /// @returns the object at the key; an invalid one when there is none
    json_reading object(std::string_view key) const;
    /// @returns the objects of the array at the key
    std::vector<json_reading> objects(std::string_view key) const;

private:
    boost::json::object object_;
    bool valid_ = false;
};

} // namespace camphorpoint
