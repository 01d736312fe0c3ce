// The ids that more than one slice uses.
#ifndef YUCCAFALL_CORE_IDS_HPP
#define YUCCAFALL_CORE_IDS_HPP

#include <cstdint>
#include <string>
#include <tuple>

#include "core/strong.hpp"

namespace yuccafall::core {

using vm_id = strong<struct vm_id_tag, std::string>;
using service_name = strong<struct service_name_tag, std::string>;
using pool_name = strong<struct pool_name_tag, std::string>;
using route_name = strong<struct route_name_tag, std::string>;
using data_centre = strong<struct data_centre_tag, std::string>;
using region_name = strong<struct region_name_tag, std::string>;

// Who sends calls: a client's or a worker's identity, used for fairness.
using caller_id = strong<struct caller_id_tag, std::string>;

// One start of a worker. A worker that starts again is another upstream, even
// at the same address.
using upstream_id = strong<struct upstream_id_tag, std::string>;

// Names one attempt of a client in the logs of every node that it passes.
using request_id = strong<struct request_id_tag, std::string>;

// Position in the order in which the platform's store accepted changes.
// Revision 0 stands for "nothing read yet".
using revision = strong<struct revision_tag, std::uint64_t>;

// The operator's number of a configuration; grows in uneven steps. Version 0
// stands for "none".
using configuration_version =
    strong<struct configuration_version_tag, std::uint64_t>;

// A random number drawn when a process starts; tells two lives of a VM apart.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;

// A call between two nodes. Never used again by any process: the incarnation
// of the calling node is random and the sequence only counts up.
struct call_id
{
    incarnation node;
    std::uint64_t sequence = 0;

    friend bool operator==(call_id const& a, call_id const& b)
    {
        return a.node == b.node && a.sequence == b.sequence;
    }
    friend bool operator!=(call_id const& a, call_id const& b)
    {
        return !(a == b);
    }
    friend bool operator<(call_id const& a, call_id const& b)
    {
        return std::tie(a.node, a.sequence) < std::tie(b.node, b.sequence);
    }
};

} // namespace yuccafall::core

#endif
