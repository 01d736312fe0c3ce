// Tests the table of the calls that have been offered to the local worker.
#include <catch2/catch.hpp>

#include "upstream/call_table.hpp"

using namespace yuccafall;
using namespace yuccafall::upstream;

namespace {

core::call_id const shared_id{core::incarnation(1), 7};

call_entry call_from(std::uint64_t session)
{
    call_entry it;
    it.session = session_id(session);
    it.offer.call = shared_id;
    return it;
}

} // namespace

// Guards against a cancel or the end of a session that ends the call of another
// session with the same call id.
TEST_CASE("calls of two sessions with the same id are told apart")
{
    call_table it;
    auto const first = it.add(call_from(1));
    auto const second = it.add(call_from(2));
    REQUIRE(it.find_key(session_id(1), shared_id) == first);
    REQUIRE(it.find_key(session_id(2), shared_id) == second);
    REQUIRE(it.calls_of(session_id(2)) == std::vector{second});
    REQUIRE(it.remove(first).session == session_id(1));
    REQUIRE(it.find(first) == nullptr);
    REQUIRE_FALSE(it.find_key(session_id(1), shared_id));
    REQUIRE(it.calls_of(session_id(1)).empty());
    REQUIRE(it.at(second).session == session_id(2));
}
