// Implements the stand-ins with blocking sockets and one thread a connection.
#include "lab.hpp"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>

namespace lab {

namespace {

using steady = std::chrono::steady_clock;
steady::time_point const started_at = steady::now();

bool same_name(std::string const& a, std::string const& b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x)) ==
                      std::tolower(static_cast<unsigned char>(y));
           });
}

std::string base64(std::string const& text)
{
    static char const letters[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        unsigned n = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            n = n << 8 |
                (i + k < text.size() ? static_cast<unsigned char>(text[i + k])
                                     : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out += i + k > text.size() ? '=' : letters[n >> (18 - 6 * k) & 63];
        }
    }
    return out;
}

sockaddr_in address_of(std::string const& ip, int port)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
    return it;
}

int milliseconds_until(double deadline)
{
    return std::max(0, static_cast<int>((deadline - now()) * 1000) + 1);
}

std::string query_value(std::string const& target, std::string const& name)
{
    auto const at = target.find(name + "=");
    if (at == std::string::npos)
    {
        return {};
    }
    auto const from = at + name.size() + 1;
    auto const text = target.substr(from, target.find('&', from) - from);
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
            continue;
        }
        out += text[i];
    }
    return out;
}

std::string response_text(int status, std::string const& headers,
                          std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns the number of bytes in the receive buffers of the sockets of the
// process.
std::uint64_t unread_bytes(std::string const& process_folder)
{
    std::set<std::string> sockets;
    auto const folder = process_folder + "/fd";
    if (auto* const list = ::opendir(folder.c_str()))
    {
        while (auto const* it = ::readdir(list))
        {
            char name[64];
            auto const n = ::readlink((folder + "/" + it->d_name).c_str(), name,
                                      sizeof name);
            std::string const text(name, n < 0 ? 0 : static_cast<size_t>(n));
            if (text.compare(0, 8, "socket:[") == 0)
            {
                sockets.insert(text.substr(8, text.size() - 9));
            }
        }
        ::closedir(list);
    }
    std::uint64_t out = 0;
    std::ifstream table(process_folder + "/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line))
    {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string timer;
        std::string retransmits;
        std::string user;
        std::string timeout;
        std::string inode;
        fields >> slot >> local >> remote >> state >> queues >> timer >>
            retransmits >> user >> timeout >> inode;
        auto const colon = queues.find(':');
        constexpr char listening[] = "0A";
        if (state != listening && sockets.count(inode) != 0 &&
            colon != std::string::npos)
        {
            out += std::strtoull(queues.c_str() + colon + 1, nullptr, 16);
        }
    }
    return out;
}

} // namespace

double now()
{
    return std::chrono::duration<double>(steady::now() - started_at).count();
}

void sleep_for(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void sleep_until(double time)
{
    sleep_for(std::max(0.0, time - now()));
}

record::record(std::string const& path)
    : file_(
          ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{}

void record::add(std::string const& line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now());
    auto const text = time + line + "\n";
    std::lock_guard const lock(mutex_);
    if (::write(file_, text.data(), text.size()) < 0)
    {
        std::perror("record");
    }
}

std::string const* message::find(std::string const& name) const
{
    for (auto const& it : headers)
    {
        if (same_name(it.name, name))
        {
            return &it.value;
        }
    }
    return nullptr;
}

connection::~connection()
{
    ::close(fd_);
}

std::unique_ptr<connection> connection::open(std::string const& ip, int port,
                                             double timeout)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto it = std::make_unique<connection>(fd);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    int const on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto const to = address_of(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&to), sizeof to) != 0 &&
        errno != EINPROGRESS)
    {
        return nullptr;
    }
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&wait, 1, static_cast<int>(timeout * 1000)) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0)
    {
        return nullptr;
    }
    return it;
}

bool connection::write(std::string const& bytes, double deadline)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        auto const n = ::send(fd_, bytes.data() + done, bytes.size() - done,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0)
        {
            done += static_cast<std::size_t>(n);
            continue;
        }
        pollfd wait{fd_, POLLOUT, 0};
        if ((errno != EAGAIN && errno != EINTR) ||
            ::poll(&wait, 1, milliseconds_until(deadline)) != 1)
        {
            return false;
        }
    }
    return true;
}

bool connection::fill(double deadline, bool& timed_out)
{
    pollfd wait{fd_, POLLIN, 0};
    if (::poll(&wait, 1, milliseconds_until(deadline)) != 1)
    {
        timed_out = true;
        return false;
    }
    std::string part(256UL * 1024, '\0');
    auto const n = ::recv(fd_, &part[0], part.size(), MSG_DONTWAIT);
    if (n <= 0)
    {
        return false;
    }
    started_ = true;
    buffer_.append(part, 0, static_cast<std::size_t>(n));
    return true;
}

read_result connection::read(message& into, bool is_request, double deadline)
{
    bool timed_out = false;
    auto const failed = [&] {
        return timed_out ? read_result::timed_out : read_result::broken_off;
    };
    into = {};
    started_ = !buffer_.empty();
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
    {
        if (!fill(deadline, timed_out))
        {
            return failed();
        }
    }
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    if (is_request)
    {
        first >> into.method >> into.target;
    }
    else
    {
        std::string version;
        first >> version >> into.status;
    }
    while (std::getline(head, line))
    {
        while (!line.empty() && line.back() == '\r')
        {
            line.pop_back();
        }
        auto const colon = line.find(':');
        if (colon != std::string::npos)
        {
            auto const from = line.find_first_not_of(" \t", colon + 1);
            into.headers.push_back(
                {line.substr(0, colon),
                 from == std::string::npos ? "" : line.substr(from)});
        }
    }
    auto const* length = into.find("content-length");
    if (length == nullptr)
    {
        // A request without a length has no body.
        while (!is_request && into.status != 204)
        {
            if (!fill(deadline, timed_out))
            {
                into.body = std::exchange(buffer_, {});
                return timed_out ? read_result::timed_out
                                 : read_result::complete;
            }
        }
        return read_result::complete;
    }
    auto const size = std::strtoull(length->c_str(), nullptr, 10);
    while (buffer_.size() < size)
    {
        if (!fill(deadline, timed_out))
        {
            return failed();
        }
    }
    into.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return read_result::complete;
}

bool connection::closed_by_peer() const
{
    char byte = 0;
    auto const n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

int listen_at(std::string const& ip, int port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const at = address_of(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 ||
        ::listen(fd, 512) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

store::store(std::string const& ip, int port) : listener_(listen_at(ip, port))
{
    acceptor_ = std::thread([this] { accept_loop(); });
}

store::~store()
{
    stopped_ = true;
    changed_.notify_all();
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
}

void store::accept_loop()
{
    while (!stopped_)
    {
        int const fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
        {
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
}

void store::serve(int fd)
{
    connection it(fd);
    message call;
    while (!stopped_ &&
           it.read(call, true, now() + 120) == read_result::complete)
    {
        sleep_for(0.004);
        std::string body;
        if (call.target.find("/v1/kv-range") == 0)
        {
            body = range(query_value(call.target, "after"));
        }
        else if (call.target.find("/v1/kv-watch") == 0)
        {
            body = watch(
                std::strtoull(query_value(call.target, "after").c_str(),
                              nullptr, 10),
                std::atof(query_value(call.target, "wait_ms").c_str()) / 1000);
        }
        auto const text =
            response_text(body.empty() ? 404 : 200,
                          "Content-Type: application/json\r\n", body);
        if (!it.write(text, now() + 5))
        {
            return;
        }
    }
}

std::string store::json(std::string const& key, item const& it)
{
    auto const head =
        "{\"key\":\"" + key + "\",\"rev\":" + std::to_string(it.revision);
    return it.deleted ? head + ",\"deleted\":true}"
                      : head + ",\"create_rev\":1,\"lease\":0,\"value\":\"" +
                            base64(it.value) + "\"}";
}

std::string store::range(std::string const& after)
{
    constexpr std::size_t max_items = 500;
    constexpr std::size_t max_bytes = 1'000'000;
    std::lock_guard const lock(mutex_);
    std::string out;
    std::size_t count = 0;
    bool truncated = false;
    for (auto it = items_.upper_bound(after); it != items_.end(); ++it)
    {
        if (it->second.deleted)
        {
            continue;
        }
        if (count == max_items || out.size() > max_bytes)
        {
            truncated = true;
            break;
        }
        out += (out.empty() ? "" : ",") + json(it->first, it->second);
        ++count;
    }
    return "{\"items\":[" + out +
           "],\"truncated\":" + (truncated ? "true" : "false") +
           ",\"as_of\":" + std::to_string(revision_) + "}";
}

std::string store::watch(std::uint64_t after, double wait)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::duration<double>(wait),
                      [&] { return stopped_ || revision_ > after; });
    std::vector<std::pair<std::uint64_t, std::string>> events;
    for (auto const& [key, it] : items_)
    {
        if (it.revision > after)
        {
            events.emplace_back(it.revision, json(key, it));
        }
    }
    std::sort(events.begin(), events.end());
    std::string out;
    for (auto const& it : events)
    {
        out += (out.empty() ? "" : ",") + it.second;
    }
    return "{\"events\":[" + out + "],\"as_of\":" + std::to_string(revision_) +
           "}";
}

std::uint64_t store::put(std::string const& key, std::string const& value)
{
    std::lock_guard const lock(mutex_);
    items_[key] = {value, ++revision_, false};
    changed_.notify_all();
    return revision_;
}

std::uint64_t store::remove(std::string const& key)
{
    std::lock_guard const lock(mutex_);
    items_[key] = {"", ++revision_, true};
    changed_.notify_all();
    return revision_;
}

worker::worker(std::string id, std::string const& ip, int port, int slots,
               work_function work, record& log)
    : id_(std::move(id)), slots_(slots), work_(std::move(work)), log_(log),
      listener_(listen_at(ip, port))
{
    acceptor_ = std::thread([this] { accept_loop(); });
}

worker::~worker()
{
    stopped_ = true;
    slot_free_.notify_all();
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
}

void worker::accept_loop()
{
    while (!stopped_)
    {
        int const fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
        {
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
}

void worker::serve(int fd)
{
    connection it(fd);
    message call;
    while (!stopped_ &&
           it.read(call, true, now() + 120) == read_result::complete)
    {
        auto const text = handle(call, now());
        if (!it.write(text, now() + 5))
        {
            return;
        }
    }
}

std::string worker::handle(message const& it, double arrived)
{
    auto const text_of = [&](char const* name) {
        auto const* value = it.find(name);
        return value == nullptr ? std::string() : *value;
    };
    auto const id = text_of("attempt-id");
    auto const echo = "Attempt-Id: " + id + "\r\n";
    if (it.target == "/health")
    {
        return response_text(200, "Instance-Id: " + id_ + "\r\n", "");
    }
    auto const target = text_of("target-instance");
    if (!target.empty() && target != id_)
    {
        return response_text(421, "Instance-Id: " + id_ + "\r\n" + echo, "");
    }
    auto const timeout = text_of("timeout-ms");
    auto const deadline =
        arrived + (timeout.empty() ? 60 : std::atof(timeout.c_str()) / 1000);
    {
        std::unique_lock lock(mutex_);
        if (!slot_free_.wait_for(
                lock,
                std::chrono::duration<double>(std::max(0.0, deadline - now())),
                [&] { return stopped_ || running_ < slots_; }))
        {
            return response_text(503, "Not-Executed: 1\r\n" + echo, "");
        }
        ++running_;
        runs_.push_back(
            {id, it.target, text_of("caller-service"), now(), it.body.size()});
    }
    log_.add("run worker=" + id_ + " id=" + id + " target=" + it.target +
             " caller=" + text_of("caller-service") +
             " body=" + std::to_string(it.body.size()));
    auto const end = now() + work_(it);
    sleep_until(std::min(end, deadline));
    {
        std::lock_guard const lock(mutex_);
        --running_;
    }
    slot_free_.notify_one();
    auto const signature = echo + "Response-Signature: 3e1b." + id + "\r\n";
    if (end > deadline)
    {
        return response_text(504, signature, "late");
    }
    // The last part of the path may state how long the response is.
    auto body = "done " + id;
    auto const size = std::strtoull(
        it.target.c_str() + it.target.rfind('/') + 1, nullptr, 10);
    body.resize(std::max<std::size_t>(size, body.size()), '.');
    return response_text(200, signature, body);
}

std::vector<run> worker::runs()
{
    std::lock_guard const lock(mutex_);
    return runs_;
}

layout choose_layout(std::vector<machine> const& machines)
{
    std::random_device random;
    for (int i = 0; i < 200; ++i)
    {
        int const base = 20'000 + static_cast<int>(random() % 1'000) * 10;
        bool free = true;
        auto const check = [&](std::string const& ip, int port) {
            int const fd = listen_at(ip, port);
            free = free && fd >= 0;
            if (fd >= 0)
            {
                ::close(fd);
            }
        };
        for (auto const& it : machines)
        {
            for (int port = base; port < base + 7; ++port)
            {
                check(it.ip, port);
            }
        }
        layout out;
        out.store_ip = "127.77.9.9";
        out.store = base + 6;
        check(out.store_ip, out.store);
        if (!free)
        {
            continue;
        }
        out.callers = base;
        out.readiness = base + 1;
        out.control = base + 2;
        out.traffic = base + 3;
        out.operators = base + 4;
        out.worker = base + 5;
        for (std::size_t k = 0; k < machines.size() && k < 3; ++k)
        {
            out.seeds.push_back(machines[k].ip + ":" +
                                std::to_string(out.control));
        }
        return out;
    }
    throw std::runtime_error("no free ports");
}

node::node(machine it, layout const& where, std::string program,
           std::string folder, record& log)
    : machine_(std::move(it)), layout_(where), program_(std::move(program)),
      folder_(std::move(folder)), log_(log)
{}

node::~node()
{
    if (pid_ > 0 && running())
    {
        signal(SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

std::string node::write_settings() const
{
    auto path = folder_ + "/" + machine_.name + ".yaml";
    auto const at = [&](int port) {
        return machine_.ip + ":" + std::to_string(port);
    };
    std::ofstream out(path);
    out << "vm: \"" << machine_.name << "\"\nservice: \"" << machine_.service
        << "\"\ndata_centre: \"" << machine_.data_centre
        << "\"\nregion: \"region-1\"\nendpoints:\n  callers: \""
        << at(layout_.callers) << "\"\n  readiness: \"" << at(layout_.readiness)
        << "\"\n  control: \"" << at(layout_.control) << "\"\n  traffic: \""
        << at(layout_.traffic) << "\"\n  operators: \"" << at(layout_.operators)
        << "\"\n  worker: \"" << at(layout_.worker) << "\"\n  platform: \""
        << layout_.store_ip << ":" << layout_.store << "\"\nseeds: [";
    for (std::size_t i = 0; i < layout_.seeds.size(); ++i)
    {
        out << (i == 0 ? "" : ",") << layout_.seeds[i];
    }
    out << "]\nbounds:\n  retry_share: 0.2\n  retry_slack: 64\n"
           "  retry_window_s: 10\n  longest_drain_s: 6\n"
           "  worker_heartbeat_ms: 1500\nmemory_mb: "
        << layout_.memory_mb
        << "\nmax_fds: 4100\nlink_mbps: " << layout_.link_mbps << "\n";
    return path;
}

void node::change_service(std::string const& service)
{
    machine_.service = service;
    write_settings();
    log_.add("node " + machine_.name + " has new settings, service=" + service);
}

void node::start()
{
    auto settings = "--settings=" + write_settings();
    auto const log = folder_ + "/" + machine_.name + ".log";
    std::lock_guard const lock(mutex_);
    // The child must not be seen with the memory of this process, so it is not
    // forked.
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, 1, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&files, 1, 2);
    std::string command = "node";
    std::array<char*, 4> arguments{&program_[0], &command[0], &settings[0],
                                   nullptr};
    pid_t it = 0;
    if (::posix_spawn(&it, program_.c_str(), &files, nullptr, arguments.data(),
                      environ) != 0)
    {
        it = 0;
    }
    ::posix_spawn_file_actions_destroy(&files);
    pid_ = it;
    log_.add("node " + machine_.name + " started");
}

void node::signal(int number)
{
    std::lock_guard const lock(mutex_);
    if (pid_ > 0)
    {
        ::kill(pid_, number);
        log_.add("node " + machine_.name + " gets signal " +
                 std::to_string(number));
    }
}

bool node::running()
{
    std::lock_guard const lock(mutex_);
    if (pid_ <= 0)
    {
        return false;
    }
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == 0)
    {
        return true;
    }
    log_.add("node " + machine_.name + " ended, status " +
             std::to_string(status));
    pid_ = 0;
    return false;
}

bool node::ready(double timeout) const
{
    auto const it = send_request(machine_.ip, layout_.readiness,
                                 "GET /v1/ready HTTP/1.1\r\nHost: node\r\n\r\n",
                                 now() + timeout);
    return it.result == read_result::complete && it.content.status == 200;
}

std::uint64_t node::memory() const
{
    auto const folder = "/proc/" + std::to_string(pid_);
    std::uint64_t out = 0;
    std::ifstream pages(folder + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    std::uint64_t of_files = 0;
    if (pages >> size >> resident >> of_files)
    {
        out = (resident - of_files) *
              static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
    }
    return out == 0 ? 0 : out + unread_bytes(folder);
}

bool wait_until_ready(std::vector<std::unique_ptr<node>> const& nodes,
                      record& log)
{
    auto const end = now() + 20;
    sleep_for(3);
    for (auto const& it : nodes)
    {
        while (!it->ready())
        {
            if (now() > end)
            {
                log.add("node " + it->where().name + " is not ready");
                return false;
            }
            sleep_for(0.1);
        }
    }
    return true;
}

supervisor::supervisor(node& it, std::uint64_t memory_limit, record& log)
    : node_(it), memory_limit_(memory_limit), log_(log),
      thread_([this] { watch(); })
{}

supervisor::~supervisor()
{
    stopped_ = true;
    thread_.join();
}

void supervisor::watch()
{
    constexpr double restart_delay = 0.5;
    while (!stopped_)
    {
        auto const used = node_.memory();
        peak_ = std::max<std::uint64_t>(peak_, used);
        if (used > memory_limit_)
        {
            log_.add("node " + node_.where().name + " uses " +
                     std::to_string(used >> 20U) + " MiB");
            node_.signal(SIGKILL);
        }
        if (!node_.running())
        {
            ++ends_;
            sleep_for(restart_delay);
            node_.start();
        }
        sleep_for(0.001);
    }
}

std::string supervisor::summary() const
{
    return node_.where().name + ": " + std::to_string(ends_) +
           " processes ended, peak " + std::to_string(peak_ >> 20U) + " MiB";
}

answer send_request(std::string const& ip, int port, std::string const& request,
                    double deadline)
{
    answer out;
    auto const it = connection::open(ip, port, std::min(1.0, deadline - now()));
    if (!it)
    {
        return out;
    }
    out.connected = true;
    it->write(request, deadline);
    out.result = it->read(out.content, false, deadline);
    return out;
}

std::string request_text(std::string const& method, std::string const& host,
                         std::string const& target, std::string const& id,
                         int timeout_ms, std::string const& body)
{
    auto out = method + " " + target + " HTTP/1.1\r\nHost: " + host +
               "\r\nAttempt-Id: " + id +
               "\r\nTimeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
    if (method != "GET")
    {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

std::string worker_entry(machine const& it, layout const& where, int slots,
                         std::string const& state, int sequence, long born)
{
    return "{\"service\":\"" + it.service + "\",\"address\":\"" + it.ip + ":" +
           std::to_string(where.worker) + "\",\"zone\":\"" + it.data_centre +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
           ",\"state\":\"" + state +
           "\",\"cold_left_ms\":0,\"sequence\":" + std::to_string(sequence) +
           ",\"born\":" + std::to_string(born) + "}";
}

} // namespace lab
