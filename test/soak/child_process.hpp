#pragma once

#include "Core/time.hpp"

#include <sys/types.h>

#include <string>
#include <vector>

namespace camphorpoint::soak {

/// A signal that ends a process.
struct end_signal {
    pid_t process = 0;
    int number = 0;
    instant at;
};

/// A process of the run. It is killed and reaped at the latest with this
/// object.
class child_process {
public:
    /// @param words   the program and its arguments
    /// @param log     file to which its output is added
    child_process(std::vector<std::string> words, std::string log);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// Replaces an argument of the next starts.
    /// @param name such as --id
    void set_argument(std::string const& name, std::string const& value);
    /// Starts the process, or starts it again after its end.
    /// @throws std::system_error when it can't be started
    void start();
    /// Sends a signal; a process that has ended gets none.
    void send_signal(int number);
    /// @returns true while the process exists
    bool running();
    /// @returns the process id, 0 when none runs
    pid_t id() const noexcept { return id_; }
    /// @returns the last end as waitpid reports it, 0 before the first end
    int wait_status() const noexcept { return wait_status_; }
    /// @returns the file to which its output is added
    std::string const& name() const noexcept { return log_; }
    /// @returns the signals sent here that end a process, in order
    std::vector<end_signal> const& end_signals() const noexcept {
        return end_signals_;
    }
    /// @returns how often it was started
    unsigned starts() const noexcept { return starts_; }
    /// @returns true when it has ended by itself with a failure, or by a signal
    ///          that was not sent here
    bool has_crashed() const noexcept { return crashed_; }
    /// Kills the process and waits for its end.
    void end();

private:
    void note_end(int status);

    std::vector<std::string> words_;
    std::string log_;
    pid_t id_ = 0;
    unsigned starts_ = 0;
    /// The last signal sent here that ends a process, 0 for none.
    int ended_by_ = 0;
    int wait_status_ = 0;
    std::vector<end_signal> end_signals_;
    bool crashed_ = false;
};

} // namespace camphorpoint::soak
