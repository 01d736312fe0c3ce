// Finds the longest matching prefix by looking up each prefix of the path,
// longest first, so that the cost depends on the depth of the path and not on
// the number of routes.
#include "routing/route_index.hpp"

#include <algorithm>
#include <cctype>

namespace yuccafall::routing {

std::string normalized_host(std::string_view host)
{
    auto const colon = host.rfind(':');
    // The colons inside a bracketed IPv6 address do not start a port.
    if (colon != std::string_view::npos && host.back() != ']')
    {
        host = host.substr(0, colon);
    }
    std::string out(host);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return out;
}

route_index::route_index(std::shared_ptr<configuration const> configuration)
    : configuration_(std::move(configuration))
{
    for (auto const& it : configuration_->routes)
    {
        hosts_[it.host].emplace(it.prefix, &it);
    }
}

route const* route_index::find(std::string_view host,
                               std::string_view target) const
{
    auto const routes = hosts_.find(normalized_host(host));
    if (routes == hosts_.end())
    {
        return nullptr;
    }
    auto path = target.substr(0, target.find('?'));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = path.rfind('/'))
    {
        auto const it = routes->second.find(path.substr(0, slash + 1));
        if (it != routes->second.end())
        {
            return it->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

} // namespace yuccafall::routing
