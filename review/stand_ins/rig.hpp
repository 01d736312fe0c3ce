// A small deployment on loopback addresses for the cases of the review: a
// store, workers and callers that run as threads of the test process, and nodes
// that are processes of the real program. Each VM has a loopback address of its
// own. Everything uses blocking sockets, one thread for each connection.
#ifndef REVIEW_STAND_INS_RIG_HPP
#define REVIEW_STAND_INS_RIG_HPP

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// A case ends with one of these codes.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline long now_ms()
{
    static auto const start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - start)
        .count();
}

inline void sleep_ms(long it)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(it));
}

inline void sleep_until_ms(long it)
{
    sleep_ms(std::max(it - now_ms(), 0L));
}

// The record of a run: what was sent, answered and run. Each line begins with
// the time in milliseconds.
class record_file
{
public:
    void open(std::string const& path) { file_ = fopen(path.c_str(), "we"); }
    void line(char const* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard<std::mutex> const guard(mutex_);
        if (file_ == nullptr)
        {
            return;
        }
        fprintf(file_, "%6ld ", now_ms());
        va_list list;
        va_start(list, format);
        vfprintf(file_, format, list);
        va_end(list);
        fputc('\n', file_);
        fflush(file_);
    }

private:
    std::mutex mutex_;
    FILE* file_ = nullptr;
};

inline record_file& record()
{
    static record_file it;
    return it;
}

struct address
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(address const& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<uint16_t>(it.port));
    inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
    return out;
}

// Returns ports that are free on the address. Each VM uses the same ports on
// its own address.
inline std::vector<int> free_ports(std::string const& ip, std::size_t count)
{
    std::vector<int> sockets;
    std::vector<int> out;
    for (std::size_t i = 0; i < count; ++i)
    {
        int const fd = socket(AF_INET, SOCK_STREAM, 0);
        auto name = to_sockaddr({ip, 0});
        if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0)
        {
            fprintf(stderr, "cannot reserve a port\n");
            exit(could_not_run);
        }
        socklen_t size = sizeof name;
        getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
        out.push_back(ntohs(name.sin_port));
        sockets.push_back(fd);
    }
    for (int const fd : sockets)
    {
        close(fd);
    }
    return out;
}

inline bool write_all(int fd, std::string const& it)
{
    std::size_t done = 0;
    while (done < it.size())
    {
        auto const n =
            send(fd, it.data() + done, it.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

struct message
{
    // The request line or the status line.
    std::string first_line;
    // The names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(std::string const& name) const
    {
        auto const found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string word(std::size_t n) const
    {
        std::size_t begin = 0;
        for (; n > 0; --n)
        {
            begin = first_line.find(' ', begin);
            if (begin == std::string::npos)
            {
                return {};
            }
            ++begin;
        }
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
};

// One HTTP connection with blocking reads.
class connection
{
public:
    explicit connection(int fd) : fd_(fd)
    {
        int const on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(fd_); }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    int fd() const { return fd_; }
    void set_timeout(long ms)
    {
        timeval it{};
        it.tv_sec = ms / 1000;
        it.tv_usec = (ms % 1000) * 1000;
        setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &it, sizeof it);
    }
    bool send(std::string const& it) { return write_all(fd_, it); }

    // Reads one message with its whole body. Returns false if the connection
    // ends or times out before.
    bool read(message& out)
    {
        out = {};
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill())
            {
                return false;
            }
        }
        parse_head(out, buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        if (out.header("transfer-encoding") == "chunked")
        {
            return read_chunks(out.body);
        }
        auto const size =
            std::strtoul(out.header("content-length").c_str(), nullptr, 10);
        return take(size, out.body);
    }

    // Returns true once the peer has closed the connection, and false if it has
    // not within the time.
    bool wait_for_close(long ms)
    {
        auto const end = now_ms() + ms;
        for (;;)
        {
            auto const left = end - now_ms();
            pollfd it{fd_, POLLIN | POLLRDHUP, 0};
            int const n = poll(&it, 1, static_cast<int>(std::max(left, 0L)));
            if (n <= 0)
            {
                return false;
            }
            char byte = 0;
            auto const got = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (got <= 0)
            {
                return true;
            }
            // The peer has sent something else; that is no close.
            sleep_ms(std::min(5L, std::max(end - now_ms(), 0L)));
            if (now_ms() >= end)
            {
                return false;
            }
        }
    }

private:
    bool fill()
    {
        char bytes[65536];
        auto const n = recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    bool take(std::size_t size, std::string& out)
    {
        while (buffer_.size() < size)
        {
            if (!fill())
            {
                return false;
            }
        }
        out.append(buffer_, 0, size);
        buffer_.erase(0, size);
        return true;
    }
    bool read_line(std::string& out)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos)
        {
            if (!fill())
            {
                return false;
            }
        }
        out = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }
    bool read_chunks(std::string& out)
    {
        std::string text;
        for (;;)
        {
            if (!read_line(text))
            {
                return false;
            }
            auto const size = std::strtoul(text.c_str(), nullptr, 16);
            if (!take(size, out) || !read_line(text))
            {
                return false;
            }
            if (size == 0)
            {
                return true;
            }
        }
    }
    static void parse_head(message& out, std::string const& head)
    {
        std::size_t begin = 0;
        bool first = true;
        while (begin <= head.size())
        {
            auto end = std::min(head.find("\r\n", begin), head.size());
            auto const text = head.substr(begin, end - begin);
            begin = end + 2;
            if (first)
            {
                out.first_line = text;
                first = false;
                continue;
            }
            auto const colon = text.find(':');
            if (colon == std::string::npos)
            {
                continue;
            }
            auto name = text.substr(0, colon);
            std::transform(
                name.begin(), name.end(), name.begin(),
                [](unsigned char c) { return static_cast<char>(tolower(c)); });
            auto const value = text.find_first_not_of(' ', colon + 1);
            out.headers[name] =
                value == std::string::npos ? std::string() : text.substr(value);
        }
    }

    int fd_;
    std::string buffer_;
};

// Returns a connection, or null if none could be opened within the time.
inline std::shared_ptr<connection> dial(address const& to, long timeout_ms)
{
    int const fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto const name = to_sockaddr(to);
    int n =
        ::connect(fd, reinterpret_cast<sockaddr const*>(&name), sizeof name);
    if (n != 0 && errno == EINPROGRESS)
    {
        pollfd it{fd, POLLOUT, 0};
        int error = 1;
        socklen_t size = sizeof error;
        if (poll(&it, 1, static_cast<int>(timeout_ms)) == 1)
        {
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        n = error;
    }
    if (n != 0)
    {
        close(fd);
        return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_shared<connection>(fd);
}

// Accepts connections and handles each on a thread of its own until the
// process ends.
class listener
{
public:
    using handler = std::function<void(std::shared_ptr<connection>)>;

    // Ends the process with could_not_run if the address cannot be used.
    void start(address const& at, handler handle)
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto const name = to_sockaddr(at);
        if (bind(fd_, reinterpret_cast<sockaddr const*>(&name), sizeof name) !=
                0 ||
            listen(fd_, 512) != 0)
        {
            fprintf(stderr, "cannot listen on %s\n", at.text().c_str());
            exit(could_not_run);
        }
        std::thread([this, handle = std::move(handle)] {
            for (;;)
            {
                int const fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                {
                    if (stopped_)
                    {
                        return;
                    }
                    sleep_ms(5);
                    continue;
                }
                std::thread(handle, std::make_shared<connection>(fd)).detach();
            }
        }).detach();
    }
    // Refuses connections from now on.
    void stop()
    {
        stopped_ = true;
        shutdown(fd_, SHUT_RDWR);
        close(fd_);
    }

private:
    int fd_ = -1;
    std::atomic<bool> stopped_{false};
};

inline std::string base64(std::string const& in)
{
    static char const digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        unsigned long n = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            n = n << 8 |
                (i + k < in.size() ? static_cast<unsigned char>(in[i + k])
                                   : 0UL);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out += i + k <= in.size() ? digits[n >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

// The platform's store: keys with revisions, pages, watches. It loses nothing,
// and its responses are linearizable.
class store
{
public:
    void start(address const& at)
    {
        listener_.start(
            at, [this](std::shared_ptr<connection> const& it) { serve(*it); });
    }

    // Both return the time of the acknowledgement.
    long put(std::string const& key, std::string const& value)
    {
        return apply({key, value, 0, false});
    }
    long erase(std::string const& key) { return apply({key, {}, 0, true}); }

    // Cuts the watches that wait at this moment: their connections are closed
    // without a response. Returns how many were cut.
    int cut_watches()
    {
        std::lock_guard<std::mutex> const guard(mutex_);
        ++cuts_;
        changed_.notify_all();
        return waiting_;
    }

private:
    struct item
    {
        std::string key;
        std::string value;
        unsigned long revision = 0;
        bool deleted = false;
    };

    long apply(item it)
    {
        std::lock_guard<std::mutex> const guard(mutex_);
        it.revision = ++revision_;
        history_.push_back(it);
        if (it.deleted)
        {
            items_.erase(it.key);
        }
        else
        {
            items_[it.key] = it;
        }
        changed_.notify_all();
        return now_ms();
    }

    static std::string to_json(item const& it)
    {
        auto out = "{\"key\":\"" + it.key +
                   "\",\"rev\":" + std::to_string(it.revision);
        if (it.deleted)
        {
            return out + ",\"deleted\":true}";
        }
        return out + ",\"value\":\"" + base64(it.value) +
               "\",\"create_rev\":" + std::to_string(it.revision) +
               ",\"lease\":0}";
    }
    static std::string parameter(std::string const& target,
                                 std::string const& name)
    {
        for (char const before : {'?', '&'})
        {
            auto const begin = target.find(before + name + "=");
            if (begin != std::string::npos)
            {
                auto const from = begin + name.size() + 2;
                return target.substr(from, target.find('&', from) - from);
            }
        }
        return {};
    }
    static bool respond(connection& to, std::string const& body)
    {
        return to.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void serve(connection& caller)
    {
        message it;
        while (caller.read(it))
        {
            auto const target = it.word(1);
            bool const is_watch = target.rfind("/v1/kv-watch", 0) == 0;
            sleep_ms(answer_ms);
            if (!(is_watch ? watch(caller, target) : range(caller)))
            {
                return;
            }
        }
    }
    // All items fit into one page here.
    bool range(connection& caller)
    {
        std::string body;
        {
            std::lock_guard<std::mutex> const guard(mutex_);
            for (auto const& [key, it] : items_)
            {
                body += (body.empty() ? "" : ",") + to_json(it);
            }
            body = "{\"items\":[" + body + "],\"truncated\":false,\"as_of\":" +
                   std::to_string(revision_) + "}";
        }
        return respond(caller, body);
    }
    bool watch(connection& caller, std::string const& target)
    {
        auto const after =
            std::strtoul(parameter(target, "after").c_str(), nullptr, 10);
        auto const wait =
            std::strtol(parameter(target, "wait_ms").c_str(), nullptr, 10);
        std::string body;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            auto const cuts = cuts_;
            ++waiting_;
            changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] {
                return revision_ > after || cuts_ != cuts;
            });
            --waiting_;
            if (revision_ <= after && cuts_ != cuts)
            {
                return false;
            }
            for (auto const& it : history_)
            {
                if (it.revision > after)
                {
                    body += (body.empty() ? "" : ",") + to_json(it);
                }
            }
            body = "{\"events\":[" + body +
                   "],\"as_of\":" + std::to_string(revision_) + "}";
        }
        return respond(caller, body);
    }

    // The time that the pages give for an answer of the store.
    static constexpr long answer_ms = 4;

    listener listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<item> history_;
    unsigned long revision_ = 1;
    unsigned long cuts_ = 0;
    int waiting_ = 0;
};

// What a worker has seen of one request.
struct arrival
{
    std::string id;
    long at = 0;
    // Whether the worker began to run it.
    bool ran = false;
};

// An application worker with slots and a short queue. It drops a request whose
// connection closes, and refuses one that is meant for another worker.
class worker
{
public:
    struct options
    {
        std::string id;
        std::string service;
        int slots = 6;
        int queue = 24;
        long work_ms = 30;
        // A request whose path contains "poison" crashes the worker after it
        // has run for the first time, and the worker is back after the second.
        long crash_after_ms = 500;
        long down_ms = 3'000;
    };

    void start(address const& at, options it)
    {
        options_ = std::move(it);
        at_ = at;
        accept();
    }
    // Ends the worker: its connections close, and it accepts no more.
    void end()
    {
        std::lock_guard<std::mutex> const guard(mutex_);
        ended_ = true;
        listener_->stop();
        for (auto const& it : connections_)
        {
            shutdown(it->fd(), SHUT_RDWR);
        }
    }
    // Starts the worker again after end(). It is slow for some seconds.
    void start_again()
    {
        std::lock_guard<std::mutex> const guard(mutex_);
        ended_ = false;
        cold_until_ = now_ms() + cold_ms;
        accept();
    }
    // The number of requests that run or wait.
    int open()
    {
        std::lock_guard<std::mutex> const guard(mutex_);
        return running_ + queued_;
    }
    // When a request whose path contains "poison" has crashed the worker.
    std::vector<long> crashes()
    {
        std::lock_guard<std::mutex> const guard(mutex_);
        return crashes_;
    }
    address const& at() const { return at_; }
    options const& settings() const { return options_; }
    std::vector<arrival> arrivals()
    {
        std::lock_guard<std::mutex> const guard(mutex_);
        return arrivals_;
    }

private:
    void accept()
    {
        old_listeners_.push_back(listener_);
        listener_ = std::make_shared<listener>();
        listener_->start(at_,
                         [this](std::shared_ptr<connection> const& caller) {
                             serve(caller);
                         });
    }
    // The worker's process ends, which closes its connections, and another one
    // starts after some seconds.
    void crash(std::string const& id)
    {
        end();
        record().line("%s crashes worker %s", id.c_str(), options_.id.c_str());
        std::unique_lock<std::mutex> lock(mutex_);
        crashes_.push_back(now_ms());
        lock.unlock();
        sleep_ms(options_.down_ms);
        lock.lock();
        ended_ = false;
        accept();
        record().line("worker %s is back", options_.id.c_str());
    }
    void serve(std::shared_ptr<connection> const& caller)
    {
        {
            std::lock_guard<std::mutex> const guard(mutex_);
            if (ended_)
            {
                return;
            }
            connections_.insert(caller);
        }
        message it;
        while (caller->read(it) && handle(*caller, it))
        {}
        std::lock_guard<std::mutex> const guard(mutex_);
        connections_.erase(caller);
    }
    std::string load()
    {
        return std::to_string(running_) + "," + std::to_string(queued_) + "," +
               std::to_string(options_.slots) + ",100";
    }
    bool reject(connection& to, int status, std::string const& id)
    {
        std::string headers;
        {
            std::lock_guard<std::mutex> const guard(mutex_);
            headers = "Server-Load: " + load() + "\r\n";
        }
        record().line("worker %s rejects %s with %d", options_.id.c_str(),
                      id.c_str(), status);
        return to.send("HTTP/1.1 " + std::to_string(status) +
                       " Rejected\r\nNot-Executed: 1\r\nInstance-Id: " +
                       options_.id + "\r\nAttempt-Id: " + id + "\r\n" +
                       headers + "Content-Length: 0\r\n\r\n");
    }
    bool handle(connection& caller, message const& it)
    {
        if (it.word(1) == "/health")
        {
            return caller.send("HTTP/1.1 200 OK\r\nInstance-Id: " +
                               options_.id + "\r\nContent-Length: 0\r\n\r\n");
        }
        auto const id = it.header("attempt-id");
        auto const target = it.header("target-instance");
        if (!target.empty() && target != options_.id)
        {
            return reject(caller, 421, id);
        }
        std::unique_lock<std::mutex> lock(mutex_);
        if (queued_ >= options_.queue)
        {
            arrivals_.push_back({id, now_ms(), false});
            lock.unlock();
            return reject(caller, 503, id);
        }
        ++queued_;
        slot_free_.wait(lock, [&] { return running_ < options_.slots; });
        --queued_;
        ++running_;
        arrivals_.push_back({id, now_ms(), true});
        lock.unlock();
        record().line("worker %s runs %s, Timeout-Ms %s, Caller-Service %s",
                      options_.id.c_str(), id.c_str(),
                      it.header("timeout-ms").c_str(),
                      it.header("caller-service").c_str());
        auto const work_ms =
            options_.work_ms * (now_ms() < cold_until_ ? cold_factor : 1);
        bool const poison = it.word(1).find("poison") != std::string::npos;
        bool const left =
            caller.wait_for_close(poison ? options_.crash_after_ms : work_ms);
        if (poison && !left)
        {
            lock.lock();
            --running_;
            lock.unlock();
            crash(id);
            return false;
        }
        lock.lock();
        --running_;
        slot_free_.notify_one();
        auto const headers = "Server-Load: " + load() + "\r\n";
        lock.unlock();
        if (left)
        {
            record().line("worker %s drops %s", options_.id.c_str(),
                          id.c_str());
            return false;
        }
        auto const body = options_.id + " answers " + id;
        record().line("worker %s answers %s", options_.id.c_str(), id.c_str());
        return caller.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                           "\r\nResponse-Signature: " + options_.id + "." + id +
                           "\r\n" + headers +
                           "Keep-Alive: timeout=10\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    // As the pages give it for the two small deployments.
    static constexpr long cold_ms = 3'000;
    static constexpr long cold_factor = 2;

    // A crash replaces the listener. The thread of an old one may still use it.
    std::shared_ptr<listener> listener_;
    std::vector<std::shared_ptr<listener>> old_listeners_;
    std::vector<long> crashes_;
    std::atomic<long> cold_until_{0};
    address at_;
    options options_;
    std::mutex mutex_;
    std::condition_variable slot_free_;
    std::set<std::shared_ptr<connection>> connections_;
    std::vector<arrival> arrivals_;
    int running_ = 0;
    int queued_ = 0;
    bool ended_ = false;
};

struct answer
{
    // 0 if the connection ended without a whole answer.
    int status = 0;
    std::string body;
    std::string error_kind;
    std::string id;
    long sent_at = 0;
    long answered_at = 0;
};

// Sends one request on a new connection and waits for its answer.
inline answer send_request(address const& to, std::string const& method,
                           std::string const& host, std::string const& path,
                           std::string const& id, long timeout_ms,
                           std::string const& body = {})
{
    answer out;
    out.id = id;
    out.sent_at = now_ms();
    auto const caller = dial(to, std::min(timeout_ms, 1000L));
    message it;
    if (caller)
    {
        caller->set_timeout(timeout_ms);
        auto head = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                    "\r\nAttempt-Id: " + id +
                    "\r\nTimeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
        if (method != "GET")
        {
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        if (caller->send(head + "\r\n" + body) && caller->read(it))
        {
            out.status = atoi(it.word(1).c_str());
            out.body = it.body;
            out.error_kind = it.header("yuccafall-error");
        }
    }
    out.answered_at = now_ms();
    return out;
}

// Sends one request on a new connection and closes the connection after the
// time.
inline void send_and_leave(address const& to, std::string const& method,
                           std::string const& host, std::string const& path,
                           std::string const& id, long timeout_ms,
                           std::string const& body, long leave_after_ms)
{
    auto const caller = dial(to, 1'000);
    if (caller)
    {
        caller->send(method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nAttempt-Id: " + id +
                     "\r\nTimeout-Ms: " + std::to_string(timeout_ms) +
                     "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
        sleep_ms(leave_after_ms);
    }
}

// One process of the real program.
class process
{
public:
    ~process() { kill_now(); }

    // Starts the command of the deploy file with the settings file. The output
    // goes to the log file.
    void start(std::string const& settings, std::string const& log)
    {
        pid_t const parent = getpid();
        pid_ = fork();
        if (pid_ != 0)
        {
            return;
        }
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
        {
            _exit(could_not_run);
        }
        setenv("YUCCAFALL_NODE_FILE", settings.c_str(), 1);
        FILE* const to = fopen(log.c_str(), "a");
        dup2(fileno(to), STDOUT_FILENO);
        dup2(fileno(to), STDERR_FILENO);
        auto const argument = "--settings=" + settings;
        execl("target/yuccafall", "target/yuccafall", "node", argument.c_str(),
              static_cast<char*>(nullptr));
        _exit(could_not_run);
    }
    void signal(int it)
    {
        if (pid_ > 0)
        {
            kill(pid_, it);
        }
    }
    pid_t pid() const { return pid_; }
    // Returns true if the process ends within the time.
    bool wait_for_end(long ms)
    {
        auto const end = now_ms() + ms;
        while (pid_ > 0)
        {
            int status = 0;
            if (waitpid(pid_, &status, WNOHANG) == pid_)
            {
                pid_ = 0;
                return true;
            }
            if (now_ms() >= end)
            {
                return false;
            }
            sleep_ms(5);
        }
        return true;
    }
    void kill_now()
    {
        if (pid_ > 0)
        {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

private:
    pid_t pid_ = 0;
};

struct vm
{
    std::string name;
    std::string zone;
    std::string ip;
    std::string service;
    std::string worker_id;
    rig::worker worker;
    process node;
};

struct route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int timeout_ms = 2000;
    int target_latency_ms = 600;
};

struct vm_options
{
    std::string zone;
    std::string service;
    long work_ms = 30;
    int slots = 6;
};

// The bounds that the pages give for the two small deployments.
constexpr long drain_ms = 2000;
constexpr long stability_window_ms = 3000;
constexpr long config_apply_ms = 2000;
constexpr long recovery_s = 15;
constexpr int grace_s = 6;
constexpr int memory_mb = 260;

class deployment
{
public:
    static constexpr char host[] = "shop.example";

    deployment(std::vector<vm_options> const& options,
               std::vector<std::size_t> seeds)
        : ports_(free_ports(network_ + "200.7", 7)), seeds_(std::move(seeds))
    {
        char path[] = "/tmp/review-XXXXXX";
        if (mkdtemp(path) == nullptr)
        {
            exit(could_not_run);
        }
        directory_ = path;
        store_.start({network_ + "200.7", ports_[6]});
        std::map<std::string, int> zones;
        std::map<std::string, int> count;
        for (std::size_t i = 0; i < options.size(); ++i)
        {
            auto const& it = options[i];
            auto const zone =
                zones.emplace(it.zone, static_cast<int>(zones.size()) + 1)
                    .first->second;
            auto const n = ++count[it.zone];
            auto made = std::make_unique<vm>();
            made->name = "sidecar-" + it.zone + "-" + std::to_string(n);
            made->zone = it.zone;
            made->ip =
                network_ + std::to_string(zone) + "." + std::to_string(40 + n);
            made->service = it.service;
            made->worker_id = "i-" + std::to_string(7000 + i);
            worker::options worker;
            worker.id = made->worker_id;
            worker.service = it.service;
            worker.work_ms = it.work_ms;
            worker.slots = it.slots;
            made->worker.start({made->ip, ports_[5]}, worker);
            vms_.push_back(std::move(made));
        }
    }
    // Ends all nodes and the process itself, whose threads may still run.
    [[noreturn]] void finish(int code)
    {
        for (auto const& it : vms_)
        {
            it->node.kill_now();
        }
        if (getenv("KEEP") == nullptr)
        {
            for (std::size_t i = 0; i < vms_.size(); ++i)
            {
                unlink(settings_path(i).c_str());
                unlink(log_path(i).c_str());
            }
            rmdir(directory_.c_str());
        }
        fflush(stdout);
        _exit(code);
    }

    rig::store& store() { return store_; }
    vm& at(std::size_t i) { return *vms_[i]; }
    std::size_t size() const { return vms_.size(); }
    address callers(std::size_t i) const { return {vms_[i]->ip, ports_[0]}; }
    address readiness(std::size_t i) const { return {vms_[i]->ip, ports_[1]}; }
    std::string log_path(std::size_t i) const
    {
        return directory_ + "/" + std::to_string(i) + ".log";
    }

    // Starts all nodes and waits until they are ready. Ends the process if they
    // are not within ten seconds.
    void start_nodes()
    {
        for (std::size_t i = 0; i < size(); ++i)
        {
            start_node(i);
        }
        for (std::size_t i = 0; i < size(); ++i)
        {
            if (!wait_until_ready(i))
            {
                fprintf(stderr, "node %zu is not ready\n", i);
                finish(could_not_run);
            }
        }
    }
    // Writes the entry of the VM's worker. Returns the time of the
    // acknowledgement.
    long publish_worker(std::size_t i, std::string const& state = "ready")
    {
        auto const& it = *vms_[i];
        return store_.put("servers/" + it.worker_id,
                          entry(it, it.service, state, 4));
    }
    std::string entry(vm const& it, std::string const& service,
                      std::string const& state, int sequence) const
    {
        return "{\"service\":\"" + service + "\",\"address\":\"" +
               it.worker.at().text() + "\",\"zone\":\"" + it.zone +
               "\",\"version\":\"v1\",\"slots\":" +
               std::to_string(it.worker.settings().slots) + ",\"state\":\"" +
               state +
               "\",\"cold_left_ms\":0,\"born\":1796479200000,"
               "\"sequence\":" +
               std::to_string(sequence) + "}";
    }
    long remove_worker(std::size_t i)
    {
        return store_.erase("servers/" + vms_[i]->worker_id);
    }
    long publish_configuration(std::vector<route> const& routes)
    {
        version_ += 3;
        std::set<std::string> services;
        std::string paths;
        for (auto const& it : vms_)
        {
            services.insert(it->service);
        }
        for (auto const& it : routes)
        {
            paths += std::string(paths.empty() ? "" : ",") + "{\"name\":\"" +
                     it.name + "\",\"prefix\":\"" + it.prefix +
                     "\",\"kind\":\"" + it.kind +
                     "\",\"timeout_ms\":" + std::to_string(it.timeout_ms) +
                     ",\"target_latency_ms\":" +
                     std::to_string(it.target_latency_ms) +
                     ",\"priority\":1,\"service\":\"" + it.service +
                     "\",\"max_attempts\":2}";
        }
        std::string list;
        for (auto const& it : services)
        {
            list += std::string(list.empty() ? "" : ",") + "{\"name\":\"" + it +
                    "\",\"health_path\":\"/health\",\"max_connections\":"
                    "130,\"protocol\":\"h1\",\"tls\":false}";
        }
        return store_.put(
            "op/config",
            "{\"version\":" + std::to_string(version_) + ",\"services\":[" +
                list +
                "],\"limits\":{\"max_header_bytes\":16384,"
                "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                "\"idle_timeout_ms\":15000},\"virtual_hosts\":[{"
                "\"host\":\"" +
                host + "\",\"paths\":[" + paths + "]}]}");
    }

    void start_node(std::size_t i)
    {
        write_settings(i);
        vms_[i]->node.start(settings_path(i), log_path(i));
        record().line("starts the node of %s", vms_[i]->name.c_str());
    }
    bool is_ready(std::size_t i)
    {
        auto const caller = dial(readiness(i), 200);
        message it;
        if (!caller)
        {
            return false;
        }
        caller->set_timeout(500);
        return caller->send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
               caller->read(it) && it.word(1) == "200";
    }
    bool wait_until_ready(std::size_t i, long ms = 10'000)
    {
        auto const end = now_ms() + ms;
        while (now_ms() < end)
        {
            if (is_ready(i))
            {
                return true;
            }
            sleep_ms(20);
        }
        return false;
    }

private:
    std::string settings_path(std::size_t i) const
    {
        return directory_ + "/" + std::to_string(i) + ".yaml";
    }
    // The settings that deploy/node.yaml yields on a small deployment.
    void write_settings(std::size_t i) const
    {
        auto const& it = *vms_[i];
        auto const at = [&](int port) {
            return "\"" + it.ip + ":" +
                   std::to_string(ports_[static_cast<std::size_t>(port)]) +
                   "\"\n";
        };
        std::string seeds;
        for (auto const s : seeds_)
        {
            seeds += (seeds.empty() ? "" : ",") + vms_[s]->ip + ":" +
                     std::to_string(ports_[2]);
        }
        auto const text =
            "vm: \"" + it.name + "\"\nservice: \"" + it.service +
            "\"\ndata_centre: \"" + it.zone +
            "\"\nregion: \"kerala-south\"\nendpoints:\n  callers: " + at(0) +
            "  readiness: " + at(1) + "  control: " + at(2) +
            "  traffic: " + at(3) + "  operators: " + at(4) +
            "  worker: " + at(5) + "  platform: \"" + network_ +
            "200.7:" + std::to_string(ports_[6]) + "\"\nseeds: [" + seeds +
            "]\nbounds:\n  retry_share: 0.2\n  retry_slack: 64\n"
            "  retry_window_s: 10\n  longest_drain_s: " +
            std::to_string(grace_s) +
            "\nmemory_mb: " + std::to_string(memory_mb) +
            "\nlink_mbps: 1000.0\n";
        FILE* const to = fopen(settings_path(i).c_str(), "w");
        fputs(text.c_str(), to);
        fclose(to);
    }

    // The loopback addresses of this deployment begin so. Others that run at
    // the same time have other addresses.
    std::string const network_ =
        "127." + std::to_string(64 + getpid() % 128) + ".";
    // Callers, readiness, control, traffic, operators, worker, store.
    std::vector<int> ports_;
    std::vector<std::size_t> seeds_;
    std::string directory_;
    rig::store store_;
    std::vector<std::unique_ptr<vm>> vms_;
    int version_ = 4;
};

// The callers of all VMs. Those of each VM send a request every `gap_ms` and
// leave the VM while it is not ready: two questions without a 200 take them
// away, as the platform does it.
class traffic
{
public:
    // One in `other_every` requests goes to the second route.
    traffic(deployment& to, long gap_ms, int other_every = 4)
        : deployment_(to), ready_(to.size()), other_every_(other_every)
    {
        for (std::size_t i = 0; i < to.size(); ++i)
        {
            ready_[i] = true;
            threads_.emplace_back([this, i] { check(i); });
            threads_.emplace_back([this, i, gap_ms] { call(i, gap_ms); });
        }
    }
    // Waits for the answers that are still due.
    void stop()
    {
        stopped_ = true;
        for (auto& it : threads_)
        {
            it.join();
        }
        threads_.clear();
        while (open_ > 0)
        {
            sleep_ms(5);
        }
    }
    int sent() const { return sent_; }
    std::vector<answer> answers()
    {
        std::lock_guard<std::mutex> const guard(mutex_);
        return answers_;
    }

private:
    void check(std::size_t i)
    {
        for (int misses = 0; !stopped_; sleep_ms(1'000))
        {
            misses = deployment_.is_ready(i) ? 0 : misses + 1;
            ready_[i] = misses < 2;
        }
    }
    void call(std::size_t i, long gap_ms)
    {
        for (int n = 0; !stopped_; ++n, sleep_ms(gap_ms))
        {
            if (ready_[i])
            {
                ++open_;
                std::thread([this, i, n] {
                    send_one(i, n);
                    --open_;
                }).detach();
            }
        }
    }
    void send_one(std::size_t i, int n)
    {
        ++sent_;
        auto const id = "c" + std::to_string(i) + "-" + std::to_string(n);
        bool const other = n % other_every_ == 0;
        auto const got =
            send_request(deployment_.callers(i), other ? "POST" : "GET",
                         deployment::host, other ? "/buy/1" : "/browse/1", id,
                         4'000, other ? "order " + id : std::string());
        record().line("caller at %s: %s sent at %ld, answer %d %s",
                      deployment_.at(i).name.c_str(), id.c_str(), got.sent_at,
                      got.status, got.error_kind.c_str());
        std::lock_guard<std::mutex> const guard(mutex_);
        answers_.push_back(got);
    }

    deployment& deployment_;
    std::vector<std::atomic<bool>> ready_;
    int other_every_;
    std::mutex mutex_;
    std::vector<answer> answers_;
    std::vector<std::thread> threads_;
    std::atomic<int> sent_{0};
    std::atomic<int> open_{0};
    std::atomic<bool> stopped_{false};
};

// True unless the run is the one without the disruption.
inline bool with_trouble()
{
    char const* const it = getenv("TROUBLE");
    return it == nullptr || strcmp(it, "0") != 0;
}

// Ends the process if a case hangs.
inline void limit_run(unsigned seconds)
{
    alarm(seconds);
}

} // namespace rig

#endif
