#include "Ports/peer_frame.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>
#include <cstdint>

namespace camphorpoint::internal {

namespace asio = boost::asio;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t length_bytes = 4;
constexpr std::size_t step_bytes = 64U << 10U;

} // namespace

std::string make_frame(std::string_view message) {
    std::array<unsigned char, length_bytes> length{};
    boost::endian::store_big_u32(
        length.data(), static_cast<std::uint32_t>(message.size()));
    std::string frame(length.begin(), length.end());
    frame += message;
    return frame;
}

asio::awaitable<std::optional<std::string>>
read_frame(asio::ip::tcp::socket& socket, std::size_t largest) {
    std::array<unsigned char, length_bytes> length{};
    auto const [error, size] =
        co_await asio::async_read(socket, asio::buffer(length), use_result);
    std::size_t const wanted = boost::endian::load_big_u32(length.data());
    if (error || wanted > largest) {
        co_return std::nullopt;
    }
    std::string message;
    // Memory grows with what has come, not with what the length promises: a
    // stray connection can't claim megabytes with four bytes.
    while (message.size() < wanted) {
        std::size_t const before = message.size();
        message.resize(before + std::min(step_bytes, wanted - before));
        auto const target =
            asio::buffer(message.data() + before, message.size() - before);
        auto const [failure, got] =
            co_await asio::async_read(socket, target, use_result);
        if (failure) {
            co_return std::nullopt;
        }
    }
    co_return message;
}

} // namespace camphorpoint::internal
