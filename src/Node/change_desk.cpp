#include "Node/change_desk.hpp"

namespace camphorpoint {

namespace asio = boost::asio;

std::uint64_t change_desk::open() {
    std::uint64_t const number = next_++;
    waiting_.emplace(number, std::nullopt);
    return number;
}

void change_desk::close(publish_ended const& end) {
    auto const found = waiting_.find(end.number);
    if (found != waiting_.end()) {
        found->second = end;
        changed_.notify();
    }
}

asio::awaitable<std::optional<publish_ended>>
change_desk::wait(std::uint64_t number, std::chrono::milliseconds longest) {
    auto const end = boot_clock::now() + longest;
    while (!waiting_.at(number) && boot_clock::now() < end) {
        co_await changed_.wait_until(end);
    }
    std::optional<publish_ended> result = waiting_.at(number);
    waiting_.erase(number);
    co_return result;
}

} // namespace camphorpoint
