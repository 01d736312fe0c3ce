// A child process that a test, the demo or a benchmark starts and stops.
#ifndef YUCCAFALL_STAND_INS_CHILD_PROCESS_HPP
#define YUCCAFALL_STAND_INS_CHILD_PROCESS_HPP

#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "core/units.hpp"

namespace yuccafall::stand_ins {

// Returns the path of a program in the directory of the running program.
std::string sibling_program_path(std::string const& name);

class child_process
{
public:
    // The first argument is the path of the program. Its standard output and
    // standard error are appended to the log file. Throws std::system_error if
    // the program cannot be started.
    child_process(std::vector<std::string> const& arguments,
                  std::string const& log_path);

    // Kills the process if it still runs, and waits for its end.
    ~child_process();

    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;

    void terminate() const { send_signal(SIGTERM); }
    void kill() const { send_signal(SIGKILL); }
    // Tells the process to read its settings again.
    void reload() const { send_signal(SIGHUP); }
    // Returns whether the process handles or ignores SIGHUP. One that has just
    // been started does neither and would end.
    bool survives_reload() const;
    // Returns once no thread of the process runs, or once the process has
    // ended.
    void pause() const;
    void resume() const { send_signal(SIGCONT); }

    // Waits for the end of the process and returns its exit status, or 128 + n
    // if signal n ended the process. Returns nothing if the process still runs
    // when the timeout expires. A negative timeout never expires.
    std::optional<int> wait_for(core::milliseconds timeout);

    bool has_ended() { return wait_for(core::milliseconds(0)).has_value(); }

    // Returns the CPU time that the process has used so far, or zero if the
    // process has ended and has been waited for.
    core::milliseconds cpu_time() const;

    pid_t pid() const { return pid_; }

private:
    void send_signal(int signal) const;

    pid_t pid_ = -1;
    // The file descriptor becomes readable when the process ends.
    int pidfd_ = -1;
    std::optional<int> status_;
};

// Starts a thread that kills every child process and ends this process when
// SIGTERM or SIGINT arrives. main() must call this before it starts any other
// thread.
void kill_children_on_signal();

} // namespace yuccafall::stand_ins

#endif
