#include "Ports/endpoint_notice_fields.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>

namespace camphorpoint {

namespace {

constexpr int status_unavailable = 503;

/// @returns the seconds; zero when the text is no finite number
double parse_seconds(std::string const& text) {
    char* end = nullptr;
    double const value = std::strtod(text.c_str(), &end);
    bool const whole =
        end != text.c_str() &&
        std::string_view(end).find_first_not_of(" \t") == std::string::npos;
    return whole && std::isfinite(value) ? value : 0;
}

} // namespace

std::chrono::milliseconds
read_retry_after(int status, http_fields const& fields) {
    using seconds = std::chrono::duration<double>;
    constexpr seconds longest = std::chrono::hours(24);
    seconds time{0};
    for (http_field const& each : fields.all()) {
        if (status == status_unavailable &&
            boost::beast::iequals(each.name, "Retry-After")) {
            time = std::max(time, seconds(parse_seconds(each.value)));
        }
    }
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::min(time, longest));
}

endpoint_notice read_endpoint_notice(int status, http_fields const& fields) {
    return {
        read_retry_after(status, fields),
        fields.get("Endpoint-Leaving") == "1"};
}

} // namespace camphorpoint
