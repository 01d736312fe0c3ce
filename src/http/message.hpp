// HTTP/1.1 messages as the rest of the product sees them: whole, with their
// bodies in memory.
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

// In the order received; a name may stand more than once.
using header_list = std::vector<header>;

struct request
{
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    // The caller allows another request on the connection.
    bool keep_alive = true;
};

struct response
{
    int status = 0;
    header_list headers;
    std::string body;
    bool keep_alive = true;
};

bool same_name(std::string_view a, std::string_view b);

// The first value; null where there is none.
std::string const* find_header(header_list const& list, std::string_view name);

std::size_t count_headers(header_list const& list, std::string_view name);

void remove_header(header_list& list, std::string_view name);

void set_header(header_list& list, std::string_view name, std::string value);

// Removes what concerns one connection only: the fields of RFC 9110 section
// 7.6.1, those that Connection names, and the framing of the body.
void strip_connection_headers(header_list& list);

// Digits only, without sign or blanks.
std::optional<std::uint64_t> parse_number(std::string_view text);

// Head and body as they go out; the body is framed by Content-Length.
std::string serialize(request const& it);

struct connection_terms
{
    bool keep_alive = true;
    // Answers to HEAD carry the length of a body that is not sent.
    bool head_only = false;
};

std::string serialize(response const& it, connection_terms terms);

} // namespace yuccafall::http

#endif
