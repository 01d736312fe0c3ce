// Finds the route of a request.
#ifndef YUCCAFALL_ROUTING_ROUTE_INDEX_HPP
#define YUCCAFALL_ROUTING_ROUTE_INDEX_HPP

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "routing/configuration.hpp"

namespace yuccafall::routing {

// Immutable once built, and shared between threads.
class route_index
{
public:
    explicit route_index(std::shared_ptr<configuration const> configuration);

    // The route of the host with the longest prefix that begins the path;
    // null where there is none. The host may be in any case and have a port;
    // the target may have a query.
    route const* find(std::string_view host, std::string_view target) const;

    configuration const& source() const { return *configuration_; }

private:
    // Invariant: points into configuration_.
    using by_prefix = std::map<std::string_view, route const*>;

    std::shared_ptr<configuration const> configuration_;
    std::map<std::string, by_prefix, std::less<>> hosts_;
};

// Lower case and without a port.
std::string normalized_host(std::string_view host);

} // namespace yuccafall::routing

#endif
