// Limits how many long request bodies other nodes send to this node at a time.
//
// Bodies share the VM's link with short messages. If more bodies were in flight
// than the link can carry in a short time, they would queue on the link ahead
// of the offers and answers of other calls, and some of those calls last less
// time than the transfer of one body.
#ifndef YUCCAFALL_ADMISSION_BODY_PACER_HPP
#define YUCCAFALL_ADMISSION_BODY_PACER_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

struct body_pacer_settings
{
    // Bandwidth of the VM's link. If it is 0, the bandwidth is not known and
    // bodies are not paced.
    core::bytes_per_second link_bandwidth{0};
    // Share of the bandwidth that bodies are expected to get. The rest is left
    // for answers, request heads and control messages.
    core::percentage body_share{80};
    // Another body is requested while the bodies in flight take less than this
    // time to transfer. The limit is longer than the round trip to another data
    // centre, so that the link does not idle between two bodies.
    core::milliseconds in_flight_limit{40};
};

class body_pacer
{
public:
    explicit body_pacer(body_pacer_settings settings) : settings_(settings) {}

    // Returns whether another body may be requested.
    bool can_request() const;
    void add(core::call_id const& call, core::byte_count body_size);
    // Must be called when the body has arrived or will not arrive any more.
    void remove(core::call_id const& call);

    core::byte_count in_flight() const { return in_flight_; }
    // Returns how long the bytes take on the link, or zero if the bandwidth is
    // not known.
    core::duration transfer_time(core::byte_count bytes) const;
    core::bytes_per_second body_rate() const;

private:
    body_pacer_settings settings_;
    std::map<core::call_id, core::byte_count> requested_;
    // Invariant: the sum of the sizes in requested_.
    core::byte_count in_flight_;
};

} // namespace yuccafall::admission

#endif
