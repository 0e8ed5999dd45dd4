// The program's first part. The loader loads the C library alone before the
// first instruction here, so that the time in which a signal has its default
// action is short. All else is in a library that is loaded while the signals
// are blocked.

#include <array>
#include <climits>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <dlfcn.h>
#include <string_view>
#include <unistd.h>

namespace {

// Runs before the sanitizers' memory is set up, so it is not instrumented.
[[gnu::no_sanitize("address", "undefined")]] void hold_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

// The loader calls these functions before any constructor.
[[gnu::used,
  gnu::section(".preinit_array")]] void (*const before_start)() = hold_signals;

using entry_point = int (*)(int argc, char** argv);

constexpr std::string_view library_name = "libcamphorpoint.so";
/// The exit code of a command that has failed.
constexpr int failed = 1;

/// Loads the library from the folder of this program, whatever name it was
/// started by.
/// @returns the library's entry point, or null after a message
entry_point load_program() {
    std::array<char, PATH_MAX + library_name.size() + 1> path{};
    ssize_t const length = readlink("/proc/self/exe", path.data(), PATH_MAX);
    char* const slash = std::strrchr(path.data(), '/');
    if (length <= 0 || length == PATH_MAX || slash == nullptr) {
        std::fputs("camphorpoint: its own path cannot be read\n", stderr);
        return nullptr;
    }
    std::memcpy(slash + 1, library_name.data(), library_name.size() + 1);
    void* const library = dlopen(path.data(), RTLD_LAZY);
    void* const entry =
        library == nullptr ? nullptr : dlsym(library, "camphorpoint_main");
    if (entry == nullptr) {
        std::fprintf(stderr, "camphorpoint: %s\n", dlerror());
    }
    return reinterpret_cast<entry_point>(entry);
}

} // namespace

int main(int argc, char** argv) {
    entry_point const entry = load_program();
    return entry == nullptr ? failed : entry(argc, argv);
}
