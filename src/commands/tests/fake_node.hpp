// A node that answers one request of a command, for tests.
#ifndef YUCCAFALL_COMMANDS_TESTS_FAKE_NODE_HPP
#define YUCCAFALL_COMMANDS_TESTS_FAKE_NODE_HPP

#include <string>
#include <thread>

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace yuccafall::commands::tests {

// Accepts one connection and answers its request with a response that has the
// given body.
class fake_node
{
public:
    explicit fake_node(std::string body)
        : body_(std::move(body)),
          acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this] { serve(); })
    {}
    fake_node(fake_node const&) = delete;
    fake_node& operator=(fake_node const&) = delete;
    ~fake_node() { wait(); }

    std::string flag() const
    {
        return fmt::format("--node=127.0.0.1:{}",
                           acceptor_.local_endpoint().port());
    }

    // Returns the request line. Waits until the response has been sent.
    std::string const& request_line()
    {
        wait();
        return request_line_;
    }

private:
    void serve()
    {
        boost::asio::ip::tcp::socket socket(context_);
        acceptor_.accept(socket);
        std::string head;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(head),
                                "\r\n\r\n");
        request_line_ = head.substr(0, head.find("\r\n"));
        boost::asio::write(socket, boost::asio::buffer(fmt::format(
                                       "HTTP/1.1 200 OK\r\n"
                                       "Content-Length: {}\r\n"
                                       "Connection: close\r\n\r\n{}",
                                       body_.size(), body_)));
    }

    void wait()
    {
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    std::string body_;
    std::string request_line_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace yuccafall::commands::tests

#endif
