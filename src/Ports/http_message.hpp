#pragma once

#include "Ports/shared_body.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// One header field.
struct http_field {
    std::string name;
    std::string value;
};

/// Header fields, in order; names are compared without regard to case.
class http_fields {
public:
    /// Adds a field.
    void add(std::string name, std::string value);
    /// @returns the first value of the name, empty when there is none
    std::string_view get(std::string_view name) const noexcept;
    /// @returns all fields
    std::vector<http_field> const& all() const noexcept { return all_; }

private:
    std::vector<http_field> all_;
};

/// A request, whole.
struct http_request {
    std::string method = "GET";
    std::string target = "/";
    http_fields fields;
    shared_body body;
};

/// An answer, whole.
struct http_response {
    int status = 200;
    http_fields fields;
    std::string body;
    /// Counts the body against a budget for as long as the answer exists; null
    /// for an answer that counts against none.
    std::shared_ptr<void const> memory = nullptr;
};

/// @returns the part of the target before the question mark
std::string_view path_of(std::string_view target) noexcept;
/// @returns the value of the name in the target's query, empty when absent
std::string_view
query_value(std::string_view target, std::string_view name) noexcept;

} // namespace camphorpoint
