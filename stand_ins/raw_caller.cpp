// Reads until the connection ends.
#include "stand_ins/raw_caller.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace yuccafall::stand_ins {

namespace asio = boost::asio;
using boost::system::error_code;

std::string raw_result::status() const
{
    constexpr std::size_t status_at = 9;
    return bytes.rfind("HTTP/1.1 ", 0) == 0 ? bytes.substr(status_at, 3)
                                            : std::string();
}

std::string raw_result::body() const
{
    auto const at = bytes.find("\r\n\r\n");
    return at == std::string::npos ? std::string() : bytes.substr(at + 4);
}

raw_result call_raw(core::endpoint const& to, http::request it,
                    core::milliseconds timeout)
{
    it.headers.push_back({"Connection", "close"});
    auto const request_bytes = http::serialize(it);
    raw_result out;
    asio::io_context context(1);
    asio::ip::tcp::socket socket(context);
    socket.connect(
        {asio::ip::make_address(to.address.value()), to.port.value()});
    asio::async_write(socket, asio::buffer(request_bytes),
                      [](error_code const&, std::size_t) {});
    asio::async_read(socket, asio::dynamic_buffer(out.bytes),
                     [&](error_code const& ec, std::size_t) {
                         out.ended = ec == asio::error::eof;
                         context.stop();
                     });
    context.run_for(timeout);
    return out;
}

} // namespace yuccafall::stand_ins
