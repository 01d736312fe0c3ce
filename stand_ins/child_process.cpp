// Child processes through posix_spawn and a descriptor of the process.
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

namespace yuccafall::stand_ins {

namespace {

struct registry
{
    std::mutex mutex;
    // Invariant: each was started here and has not been waited for, so the
    // kernel gives its id to no other process.
    std::set<pid_t> running;
};

registry& children()
{
    static registry it;
    return it;
}

void set_signals(posix_spawnattr_t& attributes)
{
    // The signals that end_children_on_signal blocks are not blocked in
    // children.
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
}

pid_t spawn(std::vector<std::string> const& arguments,
            std::string const& log_path)
{
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto const& it : arguments)
    {
        pointers.push_back(const_cast<char*>(it.c_str()));
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that kept this process's listening sockets would take
    // connections for stand-ins that have ended.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    set_signals(attributes);
    pid_t pid = -1;
    int const error = posix_spawn(&pid, pointers[0], &actions, &attributes,
                                  pointers.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
    {
        throw std::system_error(error, std::generic_category(), arguments[0]);
    }
    return pid;
}

int status_of(int wait_status)
{
    return WIFSIGNALED(wait_status) ? 128 + WTERMSIG(wait_status)
                                    : WEXITSTATUS(wait_status);
}

} // namespace

std::string sibling_program(std::string const& name)
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
    children().running.insert(pid_);
    // glibc 2.36 declares pidfd_open without C linkage.
    descriptor_ = static_cast<int>(::syscall(SYS_pidfd_open, pid_, 0));
}

child_process::~child_process()
{
    if (pid_ < 0)
    {
        return;
    }
    kill();
    wait_for(core::milliseconds(-1));
    ::close(descriptor_);
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      descriptor_(std::exchange(other.descriptor_, -1)), status_(other.status_)
{}

void child_process::send(int signal) const
{
    // Once waited for, the id may belong to another process.
    if (!status_)
    {
        ::kill(pid_, signal);
    }
}

std::optional<int> child_process::wait_for(core::milliseconds time)
{
    if (status_)
    {
        return status_;
    }
    pollfd ended{descriptor_, POLLIN, 0};
    if (::poll(&ended, 1, static_cast<int>(time.count())) <= 0)
    {
        return std::nullopt;
    }
    std::lock_guard lock(children().mutex);
    int wait_status = 0;
    ::waitpid(pid_, &wait_status, 0);
    children().running.erase(pid_);
    status_ = status_of(wait_status);
    return status_;
}

core::milliseconds child_process::processor_time() const
{
    std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
    std::string line;
    std::getline(in, line);
    // The second column, a name in parentheses, may hold blanks; the times in
    // user and kernel mode are columns 14 and 15.
    auto const name_end = line.rfind(')');
    if (status_ || name_end == std::string::npos)
    {
        return core::milliseconds(0);
    }
    std::istringstream columns(line.substr(name_end + 2));
    std::string skipped;
    for (int n = 3; n < 14; ++n)
    {
        columns >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t kernel = 0;
    columns >> user >> kernel;
    return core::milliseconds((user + kernel) * 1000 / ::sysconf(_SC_CLK_TCK));
}

void end_children_on_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Threads started later inherit the mask.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        std::lock_guard lock(children().mutex);
        for (auto const pid : children().running)
        {
            ::kill(pid, SIGKILL);
        }
        std::_Exit(128 + signal);
    }).detach();
}

} // namespace yuccafall::stand_ins
