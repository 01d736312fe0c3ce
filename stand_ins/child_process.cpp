// Starts child processes with posix_spawn and waits for them through a pidfd.
#include "stand_ins/child_process.hpp"

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <system_error>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fmt/format.h>

namespace yuccafall::stand_ins {

namespace {

struct child_registry
{
    std::mutex mutex;
    // Invariant: this program has started each process of the set and has not
    // waited for it yet, so the kernel cannot give its id to another process.
    std::set<pid_t> unreaped;
};

child_registry& children()
{
    static child_registry it;
    return it;
}

void unblock_signals(posix_spawnattr_t& attributes)
{
    // A child would inherit the blocked signals of this process, among them
    // those that kill_children_on_signal blocks.
    sigset_t no_signals;
    sigemptyset(&no_signals);
    posix_spawnattr_setsigmask(&attributes, &no_signals);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
}

pid_t spawn(std::vector<std::string> const& arguments,
            std::string const& log_path)
{
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto const& it : arguments)
    {
        argv.push_back(const_cast<char*>(it.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t file_actions;
    posix_spawn_file_actions_init(&file_actions);
    posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO,
                                     log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&file_actions, STDOUT_FILENO,
                                     STDERR_FILENO);
    // A child that inherited the listening sockets of this process would
    // accept connections for fake servers that have already stopped.
    posix_spawn_file_actions_addclosefrom_np(&file_actions, STDERR_FILENO + 1);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    unblock_signals(attributes);
    pid_t pid = -1;
    int const error = posix_spawn(&pid, argv[0], &file_actions, &attributes,
                                  argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&file_actions);
    if (error != 0)
    {
        throw std::system_error(error, std::generic_category(), arguments[0]);
    }
    return pid;
}

int to_exit_status(int wait_status)
{
    return WIFSIGNALED(wait_status) ? 128 + WTERMSIG(wait_status)
                                    : WEXITSTATUS(wait_status);
}

} // namespace

std::string sibling_program_path(std::string const& name)
{
    std::array<char, 4096> path{};
    auto const n = ::readlink("/proc/self/exe", path.data(), path.size());
    std::string const self(path.data(),
                           n > 0 ? static_cast<std::size_t>(n) : 0);
    return self.substr(0, self.rfind('/') + 1) + name;
}

child_process::child_process(std::vector<std::string> const& arguments,
                             std::string const& log_path)
{
    std::lock_guard lock(children().mutex);
    pid_ = spawn(arguments, log_path);
    children().unreaped.insert(pid_);
    // The function pidfd_open cannot be called from C++ here, because glibc
    // 2.36 declares it without C linkage.
    pidfd_ = static_cast<int>(::syscall(SYS_pidfd_open, pid_, 0));
}

child_process::~child_process()
{
    if (pid_ < 0)
    {
        return;
    }
    kill();
    wait_for(core::milliseconds(-1));
    ::close(pidfd_);
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      pidfd_(std::exchange(other.pidfd_, -1)), status_(other.status_)
{}

void child_process::send_signal(int signal) const
{
    // After the process has been waited for, its id may belong to another
    // process.
    if (!status_)
    {
        ::kill(pid_, signal);
    }
}

// The threads of a process stop one after another after kill() has returned.
void child_process::pause() const
{
    if (status_)
    {
        return;
    }
    send_signal(SIGSTOP);
    siginfo_t ignored{};
    // WNOWAIT leaves the exit status to wait_for().
    while (::waitid(P_PID, static_cast<id_t>(pid_), &ignored,
                    WSTOPPED | WEXITED | WNOWAIT) != 0 &&
           errno == EINTR)
    {}
}

std::optional<int> child_process::wait_for(core::milliseconds timeout)
{
    if (status_)
    {
        return status_;
    }
    pollfd exit_event{pidfd_, POLLIN, 0};
    if (::poll(&exit_event, 1, static_cast<int>(timeout.count())) <= 0)
    {
        return std::nullopt;
    }
    std::lock_guard lock(children().mutex);
    int wait_status = 0;
    ::waitpid(pid_, &wait_status, 0);
    children().unreaped.erase(pid_);
    status_ = to_exit_status(wait_status);
    return status_;
}

bool child_process::survives_reload() const
{
    std::ifstream status(fmt::format("/proc/{}/status", pid_));
    std::uint64_t protected_signals = 0;
    for (std::string line; std::getline(status, line);)
    {
        bool const is_mask = line.compare(0, 7, "SigIgn:") == 0 ||
                             line.compare(0, 7, "SigCgt:") == 0;
        if (is_mask)
        {
            protected_signals |= std::stoull(line.substr(7), nullptr, 16);
        }
    }
    return ((protected_signals >> (SIGHUP - 1)) & 1) != 0;
}

core::milliseconds child_process::cpu_time() const
{
    std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
    std::string line;
    std::getline(in, line);
    // The second column is the program's name in parentheses, which may contain
    // spaces. Columns 14 and 15 are the CPU time in user mode and in kernel
    // mode, in clock ticks.
    auto const name_end = line.rfind(')');
    if (status_ || name_end == std::string::npos)
    {
        return core::milliseconds(0);
    }
    std::istringstream columns(line.substr(name_end + 2));
    std::string ignored;
    for (int column = 3; column < 14; ++column)
    {
        columns >> ignored;
    }
    std::int64_t user = 0;
    std::int64_t kernel = 0;
    columns >> user >> kernel;
    return core::milliseconds((user + kernel) * 1000 / ::sysconf(_SC_CLK_TCK));
}

void kill_children_on_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // A thread inherits the signal mask of the thread that starts it, so the
    // signals stay blocked in all threads that are started later.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        std::lock_guard lock(children().mutex);
        for (auto const pid : children().unreaped)
        {
            ::kill(pid, SIGKILL);
        }
        std::_Exit(128 + signal);
    }).detach();
}

} // namespace yuccafall::stand_ins
