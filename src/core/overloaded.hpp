// Combines several lambdas into one visitor for std::visit.
#ifndef YUCCAFALL_CORE_OVERLOADED_HPP
#define YUCCAFALL_CORE_OVERLOADED_HPP

namespace yuccafall::core {

template <class... Visitors>
struct overloaded : Visitors...
{
    using Visitors::operator()...;
};

template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace yuccafall::core

#endif
