// A worker that writes its responses byte by byte as a test says, before, while
// or after it reads the request, and that ends its connections in any way. A
// worker that is built on an HTTP library can send no malformed response.
#ifndef YUCCAFALL_STAND_INS_RAW_WORKER_HPP
#define YUCCAFALL_STAND_INS_RAW_WORKER_HPP

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/endpoint.hpp"
#include "core/units.hpp"

namespace yuccafall::stand_ins {

// The steps of a reply. They begin when the head of the request has arrived.

// Sends bytes. Each "{id}" in them is replaced by the id of the request.
struct send_bytes
{
    std::string bytes;
};
// Reads the body of the request.
struct read_body
{};
struct pause_for
{
    core::milliseconds duration;
};
// Sends a FIN. The connection stays open for reading.
struct send_fin
{};
// Sends a RST. What the client has not read yet stays in its buffer.
struct send_reset
{};
// Reads until the client closes the connection.
struct await_close
{};
using reply_step = std::variant<send_bytes, read_body, pause_for, send_fin,
                                send_reset, await_close>;
using reply = std::vector<reply_step>;

class raw_worker
{
public:
    // Throws boost::system::system_error if the address is in use.
    explicit raw_worker(core::endpoint const& at);
    ~raw_worker();
    raw_worker(raw_worker const&) = delete;
    raw_worker& operator=(raw_worker const&) = delete;

    core::endpoint local() const;

    // The reply to each request from now on. After its last step the next
    // request is read from the connection, unless it has ended.
    void set_reply(reply it);

    // How often a request with the id has arrived.
    int arrivals(std::string const& id) const;
    // How many requests have arrived on a connection that had carried another.
    int requests_on_used_connections() const;
    // The body of the request with the id, as far as it was read.
    std::string body_of(std::string const& id) const;

private:
    using tcp = boost::asio::ip::tcp;

    void accept();
    void serve(tcp::socket& socket);

    boost::asio::io_context context_{1};
    tcp::acceptor acceptor_;
    mutable std::mutex mutex_;
    // Invariant: all members up to the threads are used with the mutex locked.
    reply reply_;
    std::map<std::string, int> arrivals_;
    std::map<std::string, std::string> bodies_;
    int requests_on_used_connections_ = 0;
    bool stopped_ = false;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
    std::vector<std::thread> connection_threads_;
    std::thread acceptor_thread_;
};

} // namespace yuccafall::stand_ins

#endif
