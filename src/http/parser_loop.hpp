// What the parsers of requests and responses have in common.
#ifndef YUCCAFALL_HTTP_PARSER_LOOP_HPP
#define YUCCAFALL_HTTP_PARSER_LOOP_HPP

#include <string>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "http/readers.hpp"

namespace yuccafall::http {

template <class Parser>
void set_limits(Parser& parser, size_limits limits)
{
    parser.header_limit(static_cast<std::uint32_t>(limits.head.value()));
    parser.body_limit(limits.body.value());
    parser.eager(true);
}

// The parser of Boost 1.74 does not apply its limit to the length that a
// response states.
template <class Parser>
bool exceeds_body_limit(Parser const& parser, std::string const& body,
                        size_limits const& limits)
{
    auto const limit = limits.body.value();
    // The response to a HEAD request states the length of a body that it does
    // not have, and it is done with its head.
    bool const expects_body =
        parser.is_header_done() && !parser.is_done() && parser.content_length();
    return (expects_body && *parser.content_length() > limit) ||
           body.size() > limit;
}

// Passes the buffer to the parser until the parser is done, fails or needs more
// bytes. Removes the parsed bytes from the buffer. The parser stores the body
// in `body`.
template <class Parser>
boost::system::error_code run_parser(Parser& parser, std::string const& body,
                                     std::string& buffer,
                                     size_limits const& limits)
{
    namespace http_errors = boost::beast::http;
    boost::system::error_code ec;
    std::size_t used = 0;
    while (!parser.is_done() && used < buffer.size())
    {
        auto const n = parser.put(
            boost::asio::buffer(buffer.data() + used, buffer.size() - used),
            ec);
        used += n;
        if (ec || n == 0)
        {
            break;
        }
    }
    buffer.erase(0, used);
    if (ec == http_errors::error::need_more)
    {
        ec = {};
    }
    if (!ec && exceeds_body_limit(parser, body, limits))
    {
        ec = http_errors::error::body_limit;
    }
    // Bytes that the parser has left in the buffer belong to a head, to the
    // header of a chunk or to a trailer. The parser limits only heads.
    if (!ec && !parser.is_done() && buffer.size() > limits.head.value())
    {
        ec = http_errors::error::header_limit;
    }
    return ec;
}

// Returns whether a line of the head or trailer at the start of the text is
// folded, that is, continued on the next line. RFC 9112 section 5.2 allows to
// reject such a message; another parser may interpret it differently.
inline bool has_folded_line(std::string_view text)
{
    auto const fields = text.substr(0, text.find("\r\n\r\n"));
    return fields.find("\r\n ") != std::string_view::npos ||
           fields.find("\r\n\t") != std::string_view::npos;
}

// As above for the rest of a head. A rest that begins with the empty line has
// no further line, and the body follows it.
inline bool has_folded_line_in_head(std::string_view rest)
{
    return rest.substr(0, 2) != "\r\n" && has_folded_line(rest);
}

} // namespace yuccafall::http

#endif
