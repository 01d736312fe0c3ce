// Splits targets in absolute form.
#include "http/request_target.hpp"

#include <algorithm>

#include <boost/beast/core/string.hpp>

namespace yuccafall::http {

namespace {

constexpr std::string_view scheme = "http://";

} // namespace

bool is_absolute_form(std::string_view target)
{
    auto const prefix = target.substr(0, scheme.size());
    return boost::beast::iequals({prefix.data(), prefix.size()},
                                 {scheme.data(), scheme.size()});
}

absolute_form split_absolute_form(std::string_view target)
{
    auto const rest = target.substr(scheme.size());
    auto const end = std::min(rest.find_first_of("/?"), rest.size());
    return {rest.substr(0, end), rest.substr(end)};
}

bool is_valid_authority(std::string_view authority)
{
    return !authority.empty() && authority.front() != ':' &&
           authority.find('@') == std::string_view::npos;
}

} // namespace yuccafall::http
