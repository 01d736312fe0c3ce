// Parses request targets that contain a query, and encodes and decodes their
// parts.
#ifndef YUCCAFALL_HTTP_QUERY_HPP
#define YUCCAFALL_HTTP_QUERY_HPP

#include <map>
#include <string>
#include <string_view>

namespace yuccafall::http {

std::string percent_encoded(std::string_view text);
// Returns the text unchanged if it contains an invalid escape sequence.
std::string percent_decoded(std::string_view text);

struct parsed_target
{
    std::string path;
    // The names and values are decoded. If a name occurs more than once, the
    // last value is kept.
    std::map<std::string, std::string> parameters;
};

parsed_target parse_target(std::string_view target);

} // namespace yuccafall::http

#endif
