// Responses that cannot be trusted, and sound ones that look alike, for the
// tests of every place that reads responses.
#ifndef YUCCAFALL_STAND_INS_RESPONSE_SAMPLES_HPP
#define YUCCAFALL_STAND_INS_RESPONSE_SAMPLES_HPP

#include <string>
#include <vector>

namespace yuccafall::stand_ins {

// What a response would contain if it were sound.
struct response_content
{
    // Lines of the head, each with its CRLF.
    std::string fields;
    // At least four bytes.
    std::string body;
};

struct broken_response
{
    std::string name;
    // The server closes the connection after these bytes.
    std::string bytes;
    // The name of its http::response_fault.
    std::string fault;
};

struct sound_response
{
    std::string name;
    std::string bytes;
    // The response ends with its connection, not at a stated length.
    bool ends_with_connection = false;
    int status = 200;
    // Whether the response has the body of the content, or an empty one.
    bool has_body = true;
};

// Responses that are malformed, or that end before their stated end.
std::vector<broken_response>
make_broken_responses(response_content const& content);

std::vector<sound_response>
make_sound_responses(response_content const& content);

} // namespace yuccafall::stand_ins

#endif
