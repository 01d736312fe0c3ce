// Represents complete HTTP/1.1 messages, with their bodies in memory, and
// serializes them.
#ifndef YUCCAFALL_HTTP_MESSAGE_HPP
#define YUCCAFALL_HTTP_MESSAGE_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccafall::http {

struct header
{
    std::string name;
    std::string value;
};

// The headers keep the order in which they were received, and a name may occur
// more than once.
using header_list = std::vector<header>;

struct request
{
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    // Whether the caller accepts that the connection stays open for another
    // request.
    bool keep_alive = true;
};

struct response
{
    int status = 0;
    header_list headers;
    std::string body;
    // Whether the connection may stay open after this response.
    bool keep_alive = true;
};

// Compares header names, which are case-insensitive.
bool equal_header_names(std::string_view a, std::string_view b);

// Returns the value of the first header of that name, or null if there is none.
std::string const* find_header(header_list const& list, std::string_view name);

std::size_t count_headers(header_list const& list, std::string_view name);

void remove_header(header_list& list, std::string_view name);

// Replaces all headers of that name.
void set_header(header_list& list, std::string_view name, std::string value);

// Removes the headers that concern a single connection: the hop-by-hop headers
// of RFC 9110 section 7.6.1, the headers that the Connection header lists, and
// the headers that frame the body.
void strip_connection_headers(header_list& list);

// Parses a decimal number that consists of digits only, without a sign or
// whitespace.
std::optional<std::uint64_t> parse_number(std::string_view text);

// Returns the head and the body as they are sent. The body is framed by
// Content-Length.
std::string serialize(request const& it);

struct serialize_options
{
    bool keep_alive = true;
    // A response to a HEAD request states the length of its body but does not
    // contain the body.
    bool omit_body = false;
};

std::string serialize(response const& it, serialize_options options);

// Returns the head as it is sent, up to and with the empty line at its end.
std::string serialize_head(response const& it, serialize_options options);

} // namespace yuccafall::http

#endif
