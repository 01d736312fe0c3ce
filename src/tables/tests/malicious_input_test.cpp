// Tests read_tables with mutated, random and malicious input.
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include "tables/byte_scan.hpp"
#include "tables/tests/fixture.hpp"
#include "tables/validation.hpp"

using namespace yuccafall::tables;
using namespace yuccafall::tables::tests;

namespace {

std::string fill_to_limit(std::string const& head, std::string const& part,
                          std::string const& tail)
{
    auto text = head;
    while (text.size() + part.size() + tail.size() < max_table_size)
    {
        text += part;
    }
    return text + tail + "\n";
}

// Guards against a validation result that depends on anything but the bytes,
// such as on state that an earlier parse left behind. Also checks that every
// message is printable ASCII.
void check_determinism(table_texts const& texts)
{
    auto const first = read_tables(texts);
    auto const second = read_tables(texts);
    RC_ASSERT(first.has_value() == second.has_value());
    if (first)
    {
        return;
    }
    RC_ASSERT(first.error() == second.error());
    RC_ASSERT(!first.error().empty());
    for (auto const& it : first.error())
    {
        for (char const c : to_text(it))
        {
            RC_ASSERT(c >= ' ');
            RC_ASSERT(c <= '~');
        }
    }
}

std::string mutate(std::string text)
{
    // Characters with a meaning in YAML uncover more errors than random bytes.
    auto const byte = rc::gen::oneOf(
        rc::gen::arbitrary<char>(),
        rc::gen::elementOf(std::string("[]{}:,-#&*!|>'\"%@`?~<\n\t \r0a")));
    auto const edit_count = *rc::gen::inRange(1, 6);
    for (int n = 0; n < edit_count; ++n)
    {
        auto const at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        auto const length = *rc::gen::inRange<std::size_t>(0, 8);
        auto const inserted = *rc::gen::container<std::string>(length, byte);
        auto const removed_length = *rc::gen::inRange<std::size_t>(0, 8);
        text.replace(at, removed_length, inserted);
    }
    return text;
}

} // namespace

TEST_CASE("reading the same bytes twice gives the same result")
{
    rc::prop("mutated tables", [] {
        check_determinism({mutate(valid_routes), mutate(valid_pools)});
    });
    rc::prop("truncated tables", [] {
        auto const n =
            *rc::gen::inRange<std::size_t>(0, valid_routes.size() + 1);
        check_determinism({valid_routes.substr(0, n), valid_pools});
    });
    rc::prop("random bytes", [](std::string const& routes) {
        check_determinism({routes, routes + "\n"});
    });
}

// Guards against a table that makes the parser overflow the stack or use memory
// or time out of proportion to the table's size. The time limit of the test
// program checks the last of these.
TEST_CASE("malicious tables are rejected with a bounded number of faults")
{
    auto const text = GENERATE(
        fill_to_limit("", "[\n", ""), fill_to_limit("", "{\n", ""),
        fill_to_limit("", "- ", ""), fill_to_limit("", "- \n", ""),
        fill_to_limit("", "? \n", ""),
        fill_to_limit("- a: \"", "\\x41\n ", "\""),
        fill_to_limit("- a: |", "\n  x", ""),
        fill_to_limit("- [", "a,\n ", "]"),
        fill_to_limit("- {", "a: b,\n ", "}"),
        fill_to_limit("- {", "a,\n ", "}"), fill_to_limit("- [", "a:\n ", "]"),
        fill_to_limit("", "---\n", ""), fill_to_limit("", "%TAG ! x\n", ""),
        fill_to_limit("", "- a\n", ""), fill_to_limit("", "- &a a\n", ""),
        fill_to_limit("- &a a\n", "- *a\n", ""),
        fill_to_limit("", "\x01\n", ""),
        fill_to_limit("- a: b", "\n  a: b", ""),
        fill_to_limit("- !a", "\n  !a", " a"),
        fill_to_limit("- a: [", "x,\n ", "]"),
        fill_to_limit("- a:", "\n ", "b"), fill_to_limit("", "- a: b\n", ""),
        fill_to_limit("", "'a': \"b\"\n", ""),
        fill_to_limit("", "- 'a\n ", "'"), fill_to_limit("", "a: \n", ""));
    INFO(text.substr(0, 40));
    auto const it = read_tables({text, valid_pools});
    REQUIRE_FALSE(it);
    REQUIRE(it.error().size() <= fault_list::max_faults + 1);
}

// Guards against a "billion laughs" attack, in which nested aliases expand
// exponentially.
TEST_CASE("anchors and aliases are rejected without expansion")
{
    std::string text = "- &l0 [x, x]\n";
    for (int n = 1; n < 60; ++n)
    {
        text += fmt::format("- &l{} [*l{}, *l{}]\n", n, n - 1, n - 1);
    }
    auto const it = read_tables({text, valid_pools});
    REQUIRE_FALSE(it);
    REQUIRE(it.error().size() == 60 * 2 + 59 * 2);
}
