// The ids that more than one component uses.
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

// Identifies a caller: a client or a worker that sends requests. It is used for
// fairness among callers.
using caller_id = strong<struct caller_id_tag, std::string>;

// Identifies a worker. A worker that is restarted has another id in most cases,
// even at the same address.
using upstream_id = strong<struct upstream_id_tag, std::string>;
// When a worker started, in milliseconds since the Unix epoch, or 0 if it is
// not known. It tells apart the runs of a worker that keeps its id.
using worker_start = strong<struct worker_start_tag, std::uint64_t>;

// Identifies a request that a client has sent, in the logs of all nodes that
// handle it. The workers that a node tries for the request get the same id. If
// the client sends the request again, it uses another id.
using request_id = strong<struct request_id_tag, std::string>;

// The position of a change in the order in which the platform's store accepted
// changes. Revision 0 means that nothing has been read yet.
using revision = strong<struct revision_tag, std::uint64_t>;

// The number that the operator gives to a configuration. It increases, but not
// always by one. Version 0 means that there is no configuration.
using configuration_version =
    strong<struct configuration_version_tag, std::uint64_t>;

// A random number that a process draws at its start. It distinguishes the
// processes that run on a VM before and after a restart.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;

// Identifies a call: a request that a node passes on to the node beside the
// worker that is to run it. An id is never reused, even by another process: the
// incarnation of the calling node is random, and the sequence only increases.
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
