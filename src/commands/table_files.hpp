// Reads the table files from a folder that an operator edits.
#ifndef YUCCAFALL_COMMANDS_TABLE_FILES_HPP
#define YUCCAFALL_COMMANDS_TABLE_FILES_HPP

#include <string>

#include "core/error.hpp"
#include "tables/tables.hpp"

namespace yuccafall::commands {

// Reads routes.yaml and pools.yaml from the folder. Fails with io. A file that
// is larger than validation accepts is read only to one byte above the limit,
// which is enough for validation to refuse it.
core::result<tables::table_texts> read_table_files(std::string const& folder);

} // namespace yuccafall::commands

#endif
