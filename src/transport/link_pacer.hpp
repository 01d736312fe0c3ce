// Decides when parts of long messages may be sent over the VM's network link.
//
// The link carries the long responses and bodies of this VM beside short
// messages, such as the responses to calls that workers make while they run a
// request. Long messages are sent in parts that together take up no more than
// a share of the bandwidth, so that a short message never waits for more than
// one part.
#ifndef YUCCAFALL_TRANSPORT_LINK_PACER_HPP
#define YUCCAFALL_TRANSPORT_LINK_PACER_HPP

#include <map>
#include <optional>
#include <set>

#include "core/strong.hpp"
#include "core/units.hpp"

namespace yuccafall::transport {

// A longer message is sent in parts.
inline constexpr core::byte_count max_unpaced_message{8UL * 1024};

struct link_pacer_settings
{
    // Bandwidth of the VM's network link.
    core::bytes_per_second bandwidth{0};
    // Share of the bandwidth that long messages may take up.
    core::percentage share{94};
    core::byte_count min_part{16UL * 1024};
    // A part takes at least this long on the link, so that a fast link does not
    // need a timer for each few kilobytes.
    core::milliseconds min_part_time{4};
    // A timer that fires late delays the next part by no more than this beyond
    // the rate of the link.
    core::milliseconds max_catch_up{20};
    // A connection that takes this long to write a part has stalled.
    core::milliseconds stall_time{1'000};
};

// Identifies a long message. Messages get their parts in the order of their
// tickets.
using link_ticket = core::strong<struct link_ticket_tag, std::uint64_t>;

class link_pacer
{
public:
    explicit link_pacer(link_pacer_settings settings) : settings_(settings) {}

    // Registers a message that is ready to be sent.
    link_ticket open(core::byte_count size);
    // Must be called when the message has been sent or will not be sent.
    void close(link_ticket const& it);
    // Records that the connection of the message can take the next part. Does
    // nothing if all parts have been granted.
    void request(link_ticket const& it);

    struct grant
    {
        link_ticket ticket;
        core::byte_count size;
    };
    // Returns the part that may be sent now, or nothing. The part counts as
    // sent. The request of its message ends.
    std::optional<grant> next(core::instant now);
    // Returns when next() may return a part, or nothing if no message has a
    // request.
    std::optional<core::instant> next_time() const;

    // Returns how long the parts that have not been granted yet take.
    core::duration backlog() const { return transfer_time(pending_bytes_); }
    // Returns the same without the messages whose connections have stalled,
    // since the link does not wait for them.
    core::duration active_backlog(core::instant now) const;

private:
    core::duration transfer_time(core::byte_count bytes) const;

    link_pacer_settings settings_;
    struct message
    {
        // Size of the parts that have not been granted yet.
        core::byte_count remaining;
        // When the last part was granted.
        core::instant granted_at{};
    };

    std::map<link_ticket, message> open_;
    // Invariant: each element is in open_ with a remaining size above 0.
    std::set<link_ticket> requests_;
    // Messages of which a part is being written.
    std::set<link_ticket> writing_;
    // Invariant: the sum of the sizes in open_.
    core::byte_count pending_bytes_;
    core::instant next_part_at_{};
    std::uint64_t last_ticket_ = 0;
};

} // namespace yuccafall::transport

#endif
