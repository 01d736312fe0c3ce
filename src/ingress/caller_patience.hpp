// Estimates how long a caller has waited in earlier attempts.
//
// Callers of one route start with the same patience, and a repeated attempt
// states what is left of it. The longest patience seen is taken for that of a
// first attempt.
#ifndef YUCCAFALL_INGRESS_CALLER_PATIENCE_HPP
#define YUCCAFALL_INGRESS_CALLER_PATIENCE_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::ingress {

class caller_patience
{
public:
    core::milliseconds waited_before(core::route_name const& route,
                                     core::milliseconds patience);

    // Routes may have other callers from now on.
    void renew() { longest_.clear(); }

private:
    // A difference below this is the way from the caller, not an attempt.
    static constexpr core::milliseconds unnoticed{20};

    std::map<core::route_name, core::milliseconds> longest_;
};

} // namespace yuccafall::ingress

#endif
