#include "allocation_counter.hpp"

#include <cstdlib>
#include <new>

namespace camphorpoint::bench {

namespace {

allocation_count counted;

void* counted_allocation(std::size_t size) {
    ++counted.allocations;
    counted.bytes += size;
    void* const result = std::malloc(size == 0 ? 1 : size);
    if (result == nullptr) {
        throw std::bad_alloc();
    }
    return result;
}

} // namespace

allocation_count count_allocations() noexcept {
    return counted;
}

} // namespace camphorpoint::bench

// The whole program's operator new: no library offers a count of its calls.
void* operator new(std::size_t size) {
    return camphorpoint::bench::counted_allocation(size);
}
void* operator new[](std::size_t size) {
    return camphorpoint::bench::counted_allocation(size);
}
void operator delete(void* memory) noexcept {
    std::free(memory);
}
void operator delete[](void* memory) noexcept {
    std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
    std::free(memory);
}
void operator delete[](void* memory, std::size_t) noexcept {
    std::free(memory);
}
