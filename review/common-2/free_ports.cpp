#include "net.hpp"

#include <cstdio>
#include <cstdlib>

// Prints free ports of 127.0.0.1.
int main(int count, char** words) {
    std::size_t const wanted =
        count > 1 ? std::strtoul(words[1], nullptr, 10) : 1;
    for (int const each : stage::free_ports(wanted)) {
        std::printf("%d ", each);
    }
    std::printf("\n");
}
