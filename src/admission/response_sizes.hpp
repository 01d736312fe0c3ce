// Tracks the size of the responses of each route at one worker.
#ifndef YUCCAFALL_ADMISSION_RESPONSE_SIZES_HPP
#define YUCCAFALL_ADMISSION_RESPONSE_SIZES_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"
#include "transport/link_pacer.hpp"

namespace yuccafall::admission {

// Keeps an exponentially weighted moving average for each route whose responses
// are long. Short responses take up next to nothing of the VM's link.
class response_sizes
{
public:
    void observe(core::route_name const& route, core::byte_count size);

    // Returns the average of the route, or 0 if its responses are short or if
    // it has not run yet.
    core::byte_count expected(core::route_name const& route) const;

private:
    // A route whose average is not above this size has short responses, which
    // are not paced.
    static constexpr core::byte_count max_short_response =
        transport::max_unpaced_message;
    // Weight of a new sample in the moving average.
    static constexpr double sample_weight = 0.05;
    // All averages are discarded when a further route would exceed this limit.
    static constexpr std::size_t max_routes = 256;

    std::map<core::route_name, double> means_;
};

} // namespace yuccafall::admission

#endif
