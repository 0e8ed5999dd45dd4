#include "test/soak/own_host.hpp"

#include <fmt/format.h>

#include <unistd.h>

namespace camphorpoint::soak {

std::string own_host() {
    auto const id = static_cast<unsigned>(::getpid());
    constexpr unsigned byte = 256;
    constexpr unsigned first_network = 200;
    constexpr unsigned networks = 50;
    return fmt::format(
        "127.{}.{}.{}", first_network + id / (byte * byte) % networks,
        id / byte % byte, id % byte);
}

} // namespace camphorpoint::soak
