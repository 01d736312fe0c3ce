// Computes the moving averages of response sizes.
#include "admission/response_sizes.hpp"

namespace yuccafall::admission {

void response_sizes::observe(core::route_name const& route,
                             core::byte_count size)
{
    auto const bytes = static_cast<double>(size.value());
    auto const found = means_.find(route);
    if (found != means_.end())
    {
        found->second += sample_weight * (bytes - found->second);
        return;
    }
    if (size <= max_short_response)
    {
        return;
    }
    if (means_.size() >= max_routes)
    {
        means_.clear();
    }
    means_.emplace(route, bytes);
}

core::byte_count response_sizes::expected(core::route_name const& route) const
{
    auto const found = means_.find(route);
    core::byte_count const mean(
        found == means_.end() ? 0 : static_cast<std::uint64_t>(found->second));
    return mean > max_short_response ? mean : core::byte_count(0);
}

} // namespace yuccafall::admission
