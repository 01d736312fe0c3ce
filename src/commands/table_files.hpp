// Reads the files that an operator edits.
#ifndef YUCCAFALL_COMMANDS_TABLE_FILES_HPP
#define YUCCAFALL_COMMANDS_TABLE_FILES_HPP

#include <string>

#include "core/error.hpp"
#include "core/units.hpp"
#include "tables/tables.hpp"

namespace yuccafall::commands {

// Bounds the memory that `precheck` takes for a file given by mistake.
inline constexpr core::byte_count max_configuration_file_size{8'000'000};

// Reads at most one byte more than `limit`, so that the caller sees whether the
// file is larger. Fails with io.
core::result<std::string> read_file(std::string const& path,
                                    core::byte_count limit);

// Reads routes.yaml and pools.yaml from the folder. Fails with io. A file that
// is larger than validation accepts is read only to one byte above the limit,
// which is enough for validation to refuse it.
core::result<tables::table_texts> read_table_files(std::string const& folder);

} // namespace yuccafall::commands

#endif
