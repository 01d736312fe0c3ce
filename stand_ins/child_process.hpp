// A process that a test, the demo or a bench starts and ends.
#ifndef YUCCAFALL_STAND_INS_CHILD_PROCESS_HPP
#define YUCCAFALL_STAND_INS_CHILD_PROCESS_HPP

#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "core/units.hpp"

namespace yuccafall::stand_ins {

// The path of a program that lies beside the one that runs.
std::string sibling_program(std::string const& name);

class child_process
{
public:
    // The first argument is the program. Standard output and standard error
    // are appended to the log. Throws std::system_error where it cannot start.
    child_process(std::vector<std::string> const& arguments,
                  std::string const& log_path);

    // Kills the process where it still runs.
    ~child_process();

    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;

    void terminate() const { send(SIGTERM); }
    void kill() const { send(SIGKILL); }
    void pause() const { send(SIGSTOP); }
    void resume() const { send(SIGCONT); }

    // The exit status, 128 + n where signal n ended it, nothing where it runs
    // on for longer than the time given.
    std::optional<int> wait_for(core::milliseconds time);

    bool has_ended() { return wait_for(core::milliseconds(0)).has_value(); }

    // Processor time spent so far; zero once the process was waited for.
    core::milliseconds processor_time() const;

    pid_t pid() const { return pid_; }

private:
    void send(int signal) const;

    pid_t pid_ = -1;
    // Readable once the process has ended.
    int descriptor_ = -1;
    std::optional<int> status_;
};

// Kills every child_process and ends this process where it gets SIGTERM or
// SIGINT. Called by main before any thread is started.
void end_children_on_signal();

} // namespace yuccafall::stand_ins

#endif
