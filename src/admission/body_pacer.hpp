// Limits how many long request bodies other nodes send to this node at a time.
//
// Another node sends a long body only after this node has requested it. A body
// is in flight from its request until it has arrived here.
//
// Bodies share the VM's network link with short messages. If more bodies were
// in flight than the link can carry in a short time, the offers (requests to
// run a call) and responses of other calls would queue behind them, and some of
// those calls take less time than the transfer of one body.
#ifndef YUCCAFALL_ADMISSION_BODY_PACER_HPP
#define YUCCAFALL_ADMISSION_BODY_PACER_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

struct body_pacer_settings
{
    // Bandwidth of the VM's network link. If it is 0, the bandwidth is not
    // known and every body is requested at once.
    core::bytes_per_second link_bandwidth{0};
    // Share of the bandwidth that bodies are expected to get. The rest is left
    // for responses, request heads and control messages.
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
    bool can_request_body() const;
    // Records that the body of the call has been requested.
    void add(core::call_id const& call, core::byte_count body_size);
    // Must be called when the body has arrived or will not arrive any more.
    // Does nothing if no body was requested for the call.
    void remove(core::call_id const& call);

    core::byte_count bytes_in_flight() const { return bytes_in_flight_; }
    // Returns how long the bytes take on the link, or zero if the bandwidth is
    // not known.
    core::duration transfer_time(core::byte_count bytes) const;
    // Returns the rate at which bodies are expected to arrive, or 0 if the
    // bandwidth is not known.
    core::bytes_per_second body_rate() const;

private:
    body_pacer_settings settings_;
    // Sizes of the bodies in flight.
    std::map<core::call_id, core::byte_count> requested_bodies_;
    // Invariant: the sum of the sizes in requested_bodies_.
    core::byte_count bytes_in_flight_;
};

} // namespace yuccafall::admission

#endif
