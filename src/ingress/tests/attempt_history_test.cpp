// Tests what a call keeps of its attempts.
#include <catch2/catch.hpp>

#include "ingress/attempt_history.hpp"

using namespace yuccafall;
using namespace yuccafall::ingress;
using core::error_kind;
using core::milliseconds;

namespace {

balancing::upstream make_upstream(char const* id, char const* data_centre)
{
    balancing::upstream it;
    it.id = core::upstream_id(id);
    it.data_centre = core::data_centre(data_centre);
    return it;
}

std::vector<balancing::upstream> const upstreams{
    make_upstream("a", "x"), make_upstream("b", "x"), make_upstream("c", "y")};

std::set<core::upstream_id> ids(std::initializer_list<char const*> names)
{
    std::set<core::upstream_id> out;
    for (auto const* it : names)
    {
        out.insert(core::upstream_id(it));
    }
    return out;
}

void refuse(attempt_history& it, attempt_refused const& why,
            try_another const& step)
{
    it.record_end(why);
    it.record_step(step, why, upstreams[0]);
}

} // namespace

// Guards against a call that is lost because it may not wait in the queue of a
// worker that had no free slot, and against one that stays in a data centre
// that is evacuated.
TEST_CASE("the refusals of a call decide which upstreams it excludes")
{
    attempt_history it;
    it.record_offer(upstreams[0].id, true);
    REQUIRE(it.excluded_upstreams(upstreams, {}) == ids({"a"}));
    SECTION("no free slot")
    {
        refuse(it, {error_kind::overloaded, milliseconds(5), false, true},
               {false, true});
        REQUIRE(it.excluded_upstreams(upstreams, {}).empty());
        REQUIRE(it.retry_after() == milliseconds(0));
        REQUIRE(it.redirects() == 0);
    }
    SECTION("evacuated")
    {
        refuse(it, {error_kind::evacuated}, {false, false, true});
        REQUIRE(it.excluded_upstreams(upstreams, {}) == ids({"a", "b"}));
        REQUIRE(it.redirects() == 0);
    }
    SECTION("redirect")
    {
        refuse(it, {error_kind::overloaded}, {});
        REQUIRE(it.excluded_upstreams(upstreams, {core::data_centre("y")}) ==
                ids({"a", "c"}));
        REQUIRE(it.redirects() == 1);
    }
}

// Guards against a retry delay that is longer than that of the first worker
// with room.
TEST_CASE("the shortest retry delay of the refusals is kept")
{
    attempt_history it;
    refuse(it, {error_kind::overloaded, milliseconds(40)}, {});
    refuse(it, {error_kind::overloaded, milliseconds(30)}, {});
    refuse(it, {error_kind::overloaded, milliseconds(50)}, {});
    REQUIRE(it.retry_after() == milliseconds(30));
}

// Guards against a caller that sends a request again which may have run.
TEST_CASE("no error denies the run of a call that may have run")
{
    attempt_history it;
    refuse(it, {error_kind::upstream_rejected, {}, true}, {true});
    REQUIRE(it.workers_reached() == 1);
    REQUIRE(it.kind_for_caller(error_kind::overloaded) ==
            error_kind::overloaded);
    it.record_end(connection_lost{true, "reset"});
    REQUIRE(it.workers_reached() == 2);
    REQUIRE(it.kind_for_caller(error_kind::overloaded) ==
            error_kind::upstream_failed);
    REQUIRE(it.kind_for_caller(error_kind::deadline_passed) ==
            error_kind::deadline_passed);
}
