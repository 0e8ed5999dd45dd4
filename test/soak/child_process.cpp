#include "test/soak/child_process.hpp"

#include <sys/wait.h>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <system_error>
#include <unistd.h>
#include <utility>

extern char** environ; // NOLINT

namespace camphorpoint::soak {

namespace {

/// What a process is started with, freed with this object.
struct spawn_actions {
    spawn_actions() { ::posix_spawn_file_actions_init(&actions); }
    ~spawn_actions() { ::posix_spawn_file_actions_destroy(&actions); }
    spawn_actions(spawn_actions const&) = delete;
    spawn_actions& operator=(spawn_actions const&) = delete;

    posix_spawn_file_actions_t actions{};
};

} // namespace

child_process::child_process(std::vector<std::string> words, std::string log)
    : words_(std::move(words))
    , log_(std::move(log)) {}

child_process::~child_process() {
    end();
}

void child_process::set_argument(
    std::string const& name, std::string const& value) {
    std::string const prefix = name + "=";
    std::erase_if(words_, [&](std::string const& each) {
        return each.starts_with(prefix);
    });
    words_.push_back(prefix + value);
}

void child_process::start() {
    if (running()) {
        return;
    }
    spawn_actions made;
    constexpr int mode = 0644;
    ::posix_spawn_file_actions_addopen(
        &made.actions, STDOUT_FILENO, log_.c_str(),
        O_WRONLY | O_APPEND | O_CREAT, mode);
    ::posix_spawn_file_actions_adddup2(
        &made.actions, STDOUT_FILENO, STDERR_FILENO);
    // Connections of this process would stay open in the new one.
    ::posix_spawn_file_actions_addclosefrom_np(
        &made.actions, STDERR_FILENO + 1);
    std::vector<char*> arguments;
    arguments.reserve(words_.size() + 1);
    for (std::string& each : words_) {
        arguments.push_back(each.data());
    }
    arguments.push_back(nullptr);
    ended_by_ = 0;
    ++starts_;
    int const error = ::posix_spawn(
        &id_, arguments.front(), &made.actions, nullptr, arguments.data(),
        environ);
    if (error != 0) {
        id_ = 0;
        throw std::system_error(error, std::generic_category(), words_.front());
    }
}

void child_process::send_signal(int number) {
    if (!running()) {
        return;
    }
    if (number == SIGKILL || number == SIGTERM) {
        ended_by_ = number;
        end_signals_.push_back({id_, number, boot_clock::now()});
    }
    ::kill(id_, number);
}

bool child_process::running() {
    int status = 0;
    if (id_ != 0 && ::waitpid(id_, &status, WNOHANG) == id_) {
        note_end(status);
    }
    return id_ != 0;
}

void child_process::end() {
    if (running()) {
        send_signal(SIGKILL);
        int status = 0;
        ::waitpid(id_, &status, 0);
        note_end(status);
    }
}

void child_process::note_end(int status) {
    id_ = 0;
    wait_status_ = status;
    bool const expected =
        WIFSIGNALED(status) ? WTERMSIG(status) == ended_by_
                            : ended_by_ == SIGTERM && WEXITSTATUS(status) == 0;
    crashed_ = crashed_ || !expected;
}

} // namespace camphorpoint::soak
