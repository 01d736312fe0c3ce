// Targets with a query.
#ifndef YUCCAFALL_HTTP_QUERY_HPP
#define YUCCAFALL_HTTP_QUERY_HPP

#include <map>
#include <string>
#include <string_view>

namespace yuccafall::http {

std::string percent_encoded(std::string_view text);
// Text with a faulty escape is returned as it is.
std::string percent_decoded(std::string_view text);

struct split_target
{
    std::string path;
    // Decoded; the last of several with one name.
    std::map<std::string, std::string> parameters;
};

split_target parse_target(std::string_view target);

} // namespace yuccafall::http

#endif
