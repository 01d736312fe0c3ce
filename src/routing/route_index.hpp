// Looks up the route of a request by host and path.
#ifndef YUCCAFALL_ROUTING_ROUTE_INDEX_HPP
#define YUCCAFALL_ROUTING_ROUTE_INDEX_HPP

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "routing/configuration.hpp"

namespace yuccafall::routing {

// The index is immutable after construction and may be shared between threads.
class route_index
{
public:
    explicit route_index(std::shared_ptr<configuration const> configuration);

    // Returns the route of the host whose prefix is the longest that matches
    // the path, or null if no route matches. The host is compared without its
    // port and regardless of case. `target` is the target of the request: a
    // path with an optional query, which is ignored.
    route const* find(std::string_view host, std::string_view target) const;

    // Returns the configuration from which the index was built.
    configuration const& source_configuration() const
    {
        return *configuration_;
    }

private:
    // Invariant: the keys and values point into configuration_.
    using routes_by_prefix = std::map<std::string_view, route const*>;

    std::shared_ptr<configuration const> configuration_;
    std::map<std::string, routes_by_prefix, std::less<>> hosts_;
};

// Returns the host in lower case and without its port.
std::string normalized_host(std::string_view host);

} // namespace yuccafall::routing

#endif
