// Tests what the admin endpoint reports of evacuations.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "admin/response_bodies.hpp"

using namespace yuccafall;
using namespace yuccafall::admin;
using nlohmann::json;

namespace {

node_status node(char const* name, std::set<core::data_centre> evacuated)
{
    node_status it;
    it.name = name;
    it.responded = true;
    it.evacuated = std::move(evacuated);
    return it;
}

} // namespace

// Guards against a data centre that is switched off while a node which has not
// seen the evacuation, or does not respond, still sends requests there.
TEST_CASE("where states which nodes have not seen an evacuation")
{
    core::data_centre const lj_a("lj-a");
    node_status silent;
    silent.name = "127.0.0.4:5";
    auto const body = json::parse(where_body(
        core::configuration_version(2), {node("vm-1", {lj_a}), node("vm-2", {}),
                                         node("vm-3", {lj_a}), silent}));
    json const expected = {{{"data_centre", "lj-a"},
                            {"seen", 2},
                            {"not_seen", 1},
                            {"unknown", 1},
                            {"laggards", {"vm-2", "127.0.0.4:5"}}}};
    REQUIRE(body.at("evacuations") == expected);
    auto const without = json::parse(
        where_body(core::configuration_version(2), {node("n", {})}));
    REQUIRE(without.at("evacuations").empty());
}

TEST_CASE("the status states evacuations, which where reads")
{
    node_state it;
    it.control.evacuations.push_back({core::data_centre("lj-a"),
                                      core::revision(9),
                                      core::milliseconds(150), 3});
    auto const body = status_body(it);
    json const expected = {{{"data_centre", "lj-a"},
                            {"revision", 9},
                            {"known_for_ms", 150},
                            {"workers", 3}}};
    REQUIRE(json::parse(body).at("evacuations") == expected);
    REQUIRE(parse_status(body)->evacuated ==
            std::set<core::data_centre>{core::data_centre("lj-a")});
    // A node of an older version does not state them.
    auto older = json::parse(body);
    older.erase("evacuations");
    REQUIRE(parse_status(older.dump())->evacuated.empty());
    REQUIRE(metrics_body(it).find("yuccafall_evacuated_data_centres 1") !=
            std::string::npos);
}
