// Tests the difference between two configurations.
#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "core/overloaded.hpp"
#include "tables/diff.hpp"
#include "tables/tests/fixture.hpp"
#include "tables/validation.hpp"

using namespace yuccafall;
using namespace yuccafall::tables;

namespace {

// The alias is needed because the struct has the same name as its namespace.
using configuration = yuccafall::tables::tables;

pool make_pool(std::string const& name, std::uint32_t slots,
               std::uint32_t queue, bool two_data_centres)
{
    pool it;
    it.name = core::pool_name(name);
    it.slots = core::slot_count(slots);
    it.queue = core::queue_length(queue);
    it.data_centres = {core::data_centre("local")};
    if (two_data_centres)
    {
        it.data_centres.emplace_back("lj-a");
    }
    return it;
}

configuration random_pools()
{
    configuration it;
    for (auto const* name : {"a", "b", "c", "d"})
    {
        if (*rc::gen::arbitrary<bool>())
        {
            it.pools.push_back(make_pool(name, *rc::gen::inRange(1, 3),
                                         *rc::gen::inRange(0, 2),
                                         *rc::gen::arbitrary<bool>()));
        }
    }
    return it;
}

void remove_pool(configuration& from, row const& it)
{
    auto const name = std::get<pool>(it).name;
    auto const at = std::find_if(from.pools.begin(), from.pools.end(),
                                 [&](pool const& p) { return p.name == name; });
    RC_ASSERT(at != from.pools.end());
    from.pools.erase(at);
}

void apply(configuration& to, row_change const& change)
{
    auto const add = [&](row const& it) {
        to.pools.push_back(std::get<pool>(it));
    };
    std::visit(core::overloaded{
                   [&](row_added const& it) { add(it.after); },
                   [&](row_removed const& it) { remove_pool(to, it.before); },
                   [&](row_changed const& it) {
                       remove_pool(to, it.before);
                       add(it.after);
                   }},
               change);
}

std::vector<std::string> sorted_text(configuration const& it)
{
    std::vector<std::string> lines;
    for (auto const& p : it.pools)
    {
        lines.push_back(to_text(row_change(row_added{p})));
    }
    std::sort(lines.begin(), lines.end());
    return lines;
}

} // namespace

// Guards against a change that diff_tables does not report and that would
// therefore be missing from the audit trail.
TEST_CASE("a diff applied to the old tables gives the new ones")
{
    rc::prop("random pools", [] {
        auto const before = random_pools();
        auto const after = random_pools();
        auto patched = before;
        for (auto const& change : diff_tables(before, after))
        {
            apply(patched, change);
        }
        RC_ASSERT(sorted_text(patched) == sorted_text(after));
        RC_ASSERT(diff_tables(after, after).empty());
    });
}

TEST_CASE("each change is one line")
{
    auto const before = *read_tables(tests::valid_texts());
    auto after = before;
    after.routes[0].deadline = core::milliseconds(2000);
    after.routes[0].idempotent = false;
    after.routes[1].name = core::route_name("booking");
    after.pools[0].data_centres.pop_back();
    std::reverse(after.routes.begin(), after.routes.end());
    std::vector<std::string> lines;
    for (auto const& it : diff_tables(before, after))
    {
        lines.push_back(to_text(it));
    }
    REQUIRE(lines ==
            std::vector<std::string>{
                "routes booking added: host *, path /reports, method POST, "
                "pool reports, deadline 2m, idempotent false, work long",
                "routes look-up changed: deadline 500ms -> 2s, idempotent true "
                "-> false",
                "routes upload removed: host *, path /reports, method POST, "
                "pool reports, deadline 2m, idempotent false, work long",
                "pools catalogue changed: data_centres [local, lj-a] -> "
                "[local]"});
}
