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

// Must be incremented with every change after which read_tables accepts or
// rejects some input differently, or reports other faults. The commands `check`
// and `version` print the number, so that an operator notices builds that
// validate differently.
inline constexpr validator_number validator_version{1};

// Returns the tables if both texts are valid, otherwise all faults: those of
// the routes table first, and those of each table ordered by line. The result
// depends on the texts alone, so every node with the same validator version
// accepts the same texts and reports the same faults. No text makes the
// function throw.
tl::expected<tables, std::vector<fault>> read_tables(table_texts const& texts);

} // namespace yuccafall::tables

#endif
