// Parses and validates the routes table and the pools table.
#ifndef YUCCAFALL_TABLES_VALIDATION_HPP
#define YUCCAFALL_TABLES_VALIDATION_HPP

#include <cstdint>
#include <vector>

#include <tl/expected.hpp>

#include "core/strong.hpp"
#include "tables/fault.hpp"
#include "tables/tables.hpp"

namespace yuccafall::tables {

using validator_number =
    core::strong<struct validator_number_tag, std::uint32_t>;

// The version must be raised with every change after which read_tables gives
// another verdict for some input. The commands check and version report it,
// so that differing builds are noticed.
inline constexpr validator_number validator_version{1};

// Returns the tables if both texts are valid, otherwise all faults: those of
// the routes table first, and those of each table ordered by line. The result
// depends on the texts alone, so every node with the same validator version
// gives the same verdict with the same faults. No text makes the function
// throw.
tl::expected<tables, std::vector<fault>> read_tables(table_texts const& texts);

} // namespace yuccafall::tables

#endif
