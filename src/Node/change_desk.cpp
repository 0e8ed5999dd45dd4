#include "Node/change_desk.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace camphorpoint {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t most_remembered = 256;

std::string_view state_of(std::optional<publish_ended> const& end) {
    if (!end) {
        return "pending";
    }
    if (!end->known) {
        return "unknown";
    }
    return end->accepted ? "accepted" : "rejected";
}

} // namespace

std::uint64_t change_desk::open() {
    std::uint64_t const number = next_++;
    changes_.emplace(number, std::nullopt);
    if (changes_.size() > most_remembered) {
        changes_.erase(changes_.begin());
    }
    return number;
}

void change_desk::close(publish_ended const& end) {
    auto const found = changes_.find(end.number);
    if (found != changes_.end()) {
        found->second = end;
    }
    changed_.notify();
}

asio::awaitable<void>
change_desk::wait(std::uint64_t number, std::chrono::milliseconds longest) {
    auto const end = std::chrono::steady_clock::now() + longest;
    while (knows(number) && !result(number) &&
           std::chrono::steady_clock::now() < end) {
        co_await changed_.wait_until(end);
    }
}

std::optional<publish_ended> change_desk::result(std::uint64_t number) const {
    auto const found = changes_.find(number);
    return found == changes_.end() ? std::nullopt : found->second;
}

std::string
write_change(std::uint64_t number, std::optional<publish_ended> const& end) {
    json::object result{{"id", number}, {"state", state_of(end)}};
    if (end && end->accepted) {
        result["offset"] = end->offset.value;
    }
    if (end) {
        json::array problems;
        for (std::string const& each : end->problems) {
            problems.emplace_back(each);
        }
        result["problems"] = std::move(problems);
    }
    return json::serialize(result) + "\n";
}

} // namespace camphorpoint
