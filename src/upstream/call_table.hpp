// Holds the calls that sessions have offered to the local worker and that have
// not ended. A session is the connection from the node that offers a call.
#ifndef YUCCAFALL_UPSTREAM_CALL_TABLE_HPP
#define YUCCAFALL_UPSTREAM_CALL_TABLE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/ids.hpp"
#include "core/units.hpp"
#include "peers/messages.hpp"
#include "peers/peer_links.hpp"
#include "peers/peer_server.hpp"
#include "poison/suspect_list.hpp"
#include "upstream/worker_client.hpp"

namespace yuccafall::upstream {

using peers::reply_function;
using session_id = peers::session_id;

// Identifies a call within call_table. Each call gets a new key, so that calls
// are told apart even if two sessions use the same call id by mistake.
using call_key = core::call_id;

// A call that waits, is about to be sent to the worker, or runs.
struct call_entry
{
    session_id session;
    peers::offer offer;
    reply_function reply;
    core::instant deadline;
    poison::fingerprint fingerprint;
    // Empty until the call is sent to the worker.
    std::optional<worker_run> run;
    core::instant started_at{};
    bool canceled = false;
    // The worker does not have the call, and no response will come.
    bool lost = false;
};

class call_table
{
public:
    call_key add(call_entry call);

    // Returns the key of the call with the id that the session uses for it, or
    // nothing if there is no such call.
    std::optional<call_key> find_key(session_id session,
                                     core::call_id const& call) const;
    // Returns the call, which must be in the table.
    call_entry& at(call_key const& key) { return calls_.at(key); }
    // Returns null if the call is not in the table.
    call_entry* find(call_key const& key);
    // Removes the call, which must be in the table.
    call_entry remove(call_key const& key);
    std::vector<call_key> calls_of(session_id session) const;

private:
    std::map<call_key, call_entry> calls_;
    // Maps the call id that a session uses to the key of the call.
    std::map<std::pair<session_id, core::call_id>, call_key> keys_;
    std::uint64_t last_key_ = 0;
};

} // namespace yuccafall::upstream

#endif
