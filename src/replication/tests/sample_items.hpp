// Items and change sets for the tests of copies of the store.
#ifndef YUCCAFALL_REPLICATION_TESTS_SAMPLE_ITEMS_HPP
#define YUCCAFALL_REPLICATION_TESTS_SAMPLE_ITEMS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "replication/compression.hpp"
#include "replication/published_state.hpp"

namespace yuccafall::replication {

inline store_item written_item(std::string key, std::uint64_t revision)
{
    return {std::move(key), std::to_string(revision), core::revision(revision),
            false};
}

inline store_item deleted_item(std::string key, std::uint64_t revision)
{
    return {std::move(key), {}, core::revision(revision), true};
}

inline change_set make_changes(std::uint64_t base, std::uint64_t as_of,
                               std::vector<store_item> items)
{
    return {core::revision(base), core::revision(as_of), std::move(items), {}};
}

inline std::map<std::string, std::string> content(published_state& it)
{
    std::map<std::string, std::string> out;
    auto const whole = it.since(core::revision());
    for (auto const& i : whole.items)
    {
        out[i.key] = i.value;
    }
    for (auto const& i : whole.compressed)
    {
        out[i.key] = decompress(i.frame, {}).value();
    }
    return out;
}

// Returns an item whose value is a table of many rows. The values of two
// revisions differ in a single row.
inline store_item large_item(std::string key, std::uint64_t revision)
{
    std::string value;
    for (int row = 0; row < 1'200; ++row)
    {
        auto const name = row * 2'654'435'761UL % 1'000'000;
        value += "{\"name\":\"" + std::to_string(name) +
                 "\",\"version\":" + std::to_string(row == 700 ? revision : 0) +
                 "}";
    }
    return {std::move(key), std::move(value), core::revision(revision), false};
}

} // namespace yuccafall::replication

#endif
