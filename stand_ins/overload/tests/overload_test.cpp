// Tests that clients outside the limits cannot end a node, take up more than
// its memory and descriptors, or keep it from serving an ordinary caller. The
// nodes run as processes of the real program with low limits.
//
// The tests check no times and no share of served requests. The bounds follow
// from the settings: a node stays within `memory_mb`, and within its
// descriptors without the 200 that are reserved.
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <sys/resource.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "stand_ins/deployment.hpp"

using namespace yuccafall;
using namespace yuccafall::stand_ins;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t usual_memory_mb = 96;
constexpr std::size_t crowd_size = 40;
// Less than a twentieth of usual_memory_mb, the most that a response may have.
constexpr std::size_t long_response = 4'500'000;
// The nodes get this limit of descriptors, of which 200 are reserved.
constexpr rlim_t descriptor_limit = 500;
constexpr std::size_t reserved_descriptors = 200;
// More than the descriptor limit of a node.
constexpr std::size_t silent_crowd_size = 560;

// The most resident memory that a node with this limit may take.
constexpr std::size_t resident_bound_mb(std::size_t memory_mb)
{
#if defined(__SANITIZE_ADDRESS__)
    // AddressSanitizer keeps freed memory in a quarantine of 256 MB, and its
    // shadow memory and red zones up to triple the rest.
    return 3 * memory_mb + 256;
#else
    return memory_mb;
#endif
}

// The node of this VM has a worker that no route uses.
constexpr std::size_t front = 0;
// The worker of this VM runs all requests.
constexpr std::size_t desk = 1;

// Lowers the limit of descriptors for child processes that are started during
// its lifetime.
class lowered_descriptor_limit
{
public:
    explicit lowered_descriptor_limit(rlim_t limit)
    {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &previous_) == 0);
        auto lowered = previous_;
        lowered.rlim_cur = limit;
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~lowered_descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &previous_); }

private:
    rlimit previous_{};
};

// Returns the value of a line "NAME: N kB" in /proc/PID/status, in megabytes.
std::size_t read_status_mb(pid_t pid, std::string const& name)
{
    std::ifstream file(fmt::format("/proc/{}/status", pid));
    for (std::string line; std::getline(file, line);)
    {
        if (line.rfind(name + ":", 0) == 0)
        {
            std::istringstream value(line.substr(name.size() + 1));
            std::size_t kilobytes = 0;
            value >> kilobytes;
            return kilobytes / 1024;
        }
    }
    return 0;
}

std::size_t count_sockets(pid_t pid)
{
    std::size_t total = 0;
    for (auto const& it :
         std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid)))
    {
        std::error_code ec;
        auto const target = std::filesystem::read_symlink(it.path(), ec);
        total += target.string().rfind("socket:", 0) == 0 ? 1 : 0;
    }
    return total;
}

class small_deployment : public deployment
{
public:
    explicit small_deployment(std::size_t memory_mb = usual_memory_mb,
                              std::string const& settings = {})
        : deployment({{"a", "front"}, {"a", "desk"}},
                     {{"/look/", "idempotent", "desk", 10'000}}),
          memory_mb_(memory_mb)
    {
        add_settings(fmt::format("memory_mb: {}\n{}", memory_mb, settings));
        {
            lowered_descriptor_limit const limit(descriptor_limit);
            start_nodes();
        }
        for (std::size_t i = 0; i < size(); ++i)
        {
            REQUIRE(wait_until_ready(i));
            REQUIRE(wait_for_version(i, 2));
        }
        check_ordinary_request(front, "/look/first");
    }

    // Checks what must hold of every node under every load.
    void check_nodes()
    {
        for (std::size_t i = 0; i < size(); ++i)
        {
            CAPTURE(i);
            REQUIRE_FALSE(node(i).has_ended());
            auto const pid = node(i).pid();
            auto const peak = read_status_mb(pid, "VmHWM");
            auto const sockets = count_sockets(pid);
            WARN("node " << i << ": peak memory " << peak << " MB, now "
                         << read_status_mb(pid, "VmRSS") << " MB, " << sockets
                         << " sockets");
            CHECK(peak > 0);
            CHECK(peak <= resident_bound_mb(memory_mb_));
            CHECK(sockets <= descriptor_limit - reserved_descriptors);
            CHECK(log(i).find("event=handler_failed") == std::string::npos);
        }
    }

    // A refusal is allowed as long as the node serves a caller that comes back
    // when the refusal says.
    void check_ordinary_request(std::size_t vm, std::string const& target)
    {
        constexpr int max_tries = 20;
        call_result it;
        for (int i = 0; i < max_tries && it.status != 200; ++i)
        {
            it = call(vm, request(target, fmt::format("ordinary{}", i)));
            wait_as_stated(it);
        }
        CHECK(it.status == 200);
    }

private:
    std::size_t memory_mb_;

    static void wait_as_stated(call_result const& refusal)
    {
        auto const* after = http::find_header(refusal.headers, "Retry-After");
        if (after != nullptr)
        {
            std::this_thread::sleep_for(
                std::chrono::duration<double>(std::stod(*after)));
        }
    }
};

// A connection that keeps to no rule of HTTP.
class raw_client
{
public:
    raw_client(boost::asio::io_context& context, core::endpoint const& to)
        : socket_(context)
    {
        socket_.open(tcp::v4());
        // Without this, the kernel would hold much of a long response for a
        // client that reads nothing.
        socket_.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        timeval const timeout{3, 0};
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
                     sizeof timeout);
        error_code ec;
        socket_.connect({boost::asio::ip::make_address_v4(to.address.value()),
                         to.port.value()},
                        ec);
    }

    // The node may have closed the connection, which is no failure.
    void send(std::string const& bytes)
    {
        error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }
    // Sends what the kernel takes at once.
    void send_without_waiting(std::string const& bytes)
    {
        ::send(socket_.native_handle(), bytes.data(), bytes.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    // Waits for a byte unless the connection has ended. Returns what was read.
    std::string read(std::size_t n)
    {
        std::string bytes(n, '\0');
        auto const received =
            ::recv(socket_.native_handle(), bytes.data(), n, 0);
        bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
        return bytes;
    }

private:
    tcp::socket socket_;
};

class crowd
{
public:
    crowd(core::endpoint const& to, std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            clients_.emplace_back(context_, to);
        }
    }

    template <class Action>
    void for_each(Action action)
    {
        for (auto& it : clients_)
        {
            action(it);
        }
    }

    // Each client asks for a long response, waits for its first bytes and asks
    // again if it was refused. Returns the ids of the refused requests.
    std::vector<std::string>
    request_long_responses(std::string const& name = "crowd",
                           std::size_t size = long_response)
    {
        std::vector<std::string> refused;
        int number = 0;
        for_each([&](raw_client& it) {
            for (int i = 0; i < max_tries; ++i)
            {
                auto const id = fmt::format("{}{}", name, number++);
                it.send(http::serialize(deployment::request(
                    fmt::format("/look/x?size={}", size), id)));
                constexpr std::string_view refusal = "HTTP/1.1 503";
                if (it.read(refusal.size()) != refusal)
                {
                    return;
                }
                refused.push_back(id);
                it.read(refusal_size);
                std::this_thread::sleep_for(pause);
            }
        });
        return refused;
    }

private:
    static constexpr int max_tries = 5;
    // Enough for the rest of a refusal.
    static constexpr std::size_t refusal_size = 1'000;
    static constexpr core::milliseconds pause{100};

    boost::asio::io_context context_;
    std::vector<raw_client> clients_;
};

// Takes the place of a worker. The kernel accepts connections for it and
// receives as much as fits its buffer, of which it reads nothing.
class worker_that_does_not_read
{
public:
    explicit worker_that_does_not_read(core::endpoint const& at)
        : acceptor_(context_)
    {
        acceptor_.open(tcp::v4());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.set_option(
            boost::asio::socket_base::receive_buffer_size(4096));
        acceptor_.bind({boost::asio::ip::make_address_v4(at.address.value()),
                        at.port.value()});
        acceptor_.listen();
        acceptor_.non_blocking(true);
    }

    // Returns how many connections there have been on which a request has
    // arrived, in whole or in part. Must be called once.
    std::size_t count_requests()
    {
        std::size_t total = 0;
        error_code ec;
        while (true)
        {
            auto const it = acceptor_.accept(ec);
            if (ec)
            {
                return total;
            }
            total += it.available(ec) > 0 ? 1 : 0;
        }
    }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
};

} // namespace

// Guards against long responses that a node holds without limit for clients
// that do not read them.
TEST_CASE("clients that read nothing do not take up the memory of the nodes")
{
    small_deployment fleet;
    crowd clients(fleet.caller_endpoint(front), crowd_size);
    clients.request_long_responses();
    fleet.check_nodes();
    fleet.check_ordinary_request(front, "/look/ordinary");
    fleet.check_nodes();
}

// Guards against a limit that a client evades by reading now and then.
TEST_CASE("clients that read a few bytes at a time do not take up the memory")
{
    small_deployment fleet;
    crowd clients(fleet.caller_endpoint(front), crowd_size);
    clients.request_long_responses();
    for (int i = 0; i < 10; ++i)
    {
        clients.for_each([](raw_client& it) { it.read(64); });
    }
    fleet.check_nodes();
    fleet.check_ordinary_request(front, "/look/ordinary");
    fleet.check_nodes();
}

// Guards against incomplete requests that are held without limit.
TEST_CASE("clients that send half a request do not take up the memory")
{
    static constexpr std::size_t stated_body = 900'000;
    small_deployment fleet;
    crowd heads(fleet.caller_endpoint(front), crowd_size);
    heads.for_each([](raw_client& it) {
        it.send("GET /look/x HTTP/1.1\r\nHost: shop.example\r\nX: " +
                std::string(12'000, 'x'));
    });
    crowd bodies(fleet.caller_endpoint(front), crowd_size);
    bodies.for_each([](raw_client& it) {
        it.send(fmt::format("POST /look/x HTTP/1.1\r\nHost: shop.example\r\n"
                            "Content-Length: {}\r\n\r\n",
                            stated_body) +
                std::string(stated_body / 2, 'x'));
    });
    fleet.check_nodes();
    fleet.check_ordinary_request(front, "/look/ordinary");
    fleet.check_nodes();
}

// Guards against connections without requests that take all descriptors, so
// that the node can accept no further caller and no other node.
TEST_CASE("clients that send nothing leave descriptors for ordinary callers")
{
    small_deployment fleet;
    crowd clients(fleet.caller_endpoint(front), silent_crowd_size);
    fleet.check_nodes();
    fleet.check_ordinary_request(front, "/look/ordinary");
    fleet.check_nodes();
}

// Guards against requests that are read ahead, or responses that pile up, while
// a pipelining client does not read.
TEST_CASE("clients that pipeline requests do not take up the memory")
{
    constexpr int pipelined = 400;
    small_deployment fleet;
    crowd clients(fleet.caller_endpoint(front), crowd_size);
    std::string requests;
    for (int i = 0; i < pipelined; ++i)
    {
        requests += http::serialize(deployment::request(
            "/look/x?size=200000", fmt::format("pipelined{}", i)));
    }
    clients.for_each(
        [&](raw_client& it) { it.send_without_waiting(requests); });
    clients.for_each([](raw_client& it) { it.read(1); });
    fleet.check_nodes();
    fleet.check_ordinary_request(front, "/look/ordinary");
    fleet.check_nodes();
}

// Guards against unread responses that count as work of the VM's link, so that
// the worker's node refuses all further calls with long responses.
TEST_CASE("clients that read nothing do not block the long responses of others")
{
    constexpr std::size_t small_crowd = 12;
    // More than the kernel takes for a client that reads nothing.
    constexpr std::size_t size = 9'000'000;
    constexpr std::size_t memory_mb = 200;
    small_deployment fleet(memory_mb, "link_mbps: 100\n");
    crowd clients(fleet.caller_endpoint(desk), small_crowd);
    clients.request_long_responses("crowd", size);
    fleet.check_nodes();
    fleet.check_ordinary_request(desk, "/look/ordinary?size=100000");
    fleet.check_nodes();
}

// Guards against calls that are refused for lack of memory after the worker has
// run them.
TEST_CASE("requests that are refused for lack of memory have not run")
{
    small_deployment fleet;
    // The node learns the usual size of the responses from the first crowd.
    crowd first(fleet.caller_endpoint(front), crowd_size);
    first.request_long_responses("first");
    crowd second(fleet.caller_endpoint(front), crowd_size);
    auto const refused = second.request_long_responses("second");
    auto const runs = fleet.worker(desk).counts().runs;
    for (auto const& id : refused)
    {
        CAPTURE(id);
        CHECK(runs.count(id) == 0);
    }
    WARN(refused.size() << " requests were refused");
    fleet.check_nodes();
}

// Guards against requests that a node holds without limit for a worker that
// does not read them.
TEST_CASE("a worker that reads no request does not take up the memory")
{
    // Less than the configuration allows, and more than the kernel takes for a
    // worker that reads nothing.
    constexpr std::size_t long_request = 900'000;
    auto const request =
        fmt::format("POST /look/x HTTP/1.1\r\nHost: shop.example\r\n"
                    "Content-Length: {}\r\n\r\n",
                    long_request) +
        std::string(long_request, 'x');
    small_deployment fleet;
    fleet.worker(desk).crash();
    {
        worker_that_does_not_read silent(fleet.worker(desk).local());
        crowd beside_worker(fleet.caller_endpoint(desk), crowd_size);
        crowd at_other_node(fleet.caller_endpoint(front), crowd_size);
        beside_worker.for_each([&](raw_client& it) { it.send(request); });
        at_other_node.for_each([&](raw_client& it) { it.send(request); });
        fleet.check_nodes();
        // Meanwhile the calls of all clients end.
        beside_worker.for_each([](raw_client& it) { it.read(1); });
        at_other_node.for_each([](raw_client& it) { it.read(1); });
        fleet.check_nodes();
        CHECK(silent.count_requests() > 0);
    }
    fleet.worker(desk).restart();
    fleet.check_ordinary_request(front, "/look/ordinary");
    fleet.check_nodes();
}
