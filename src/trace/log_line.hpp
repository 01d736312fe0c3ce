// Parses a line of a node's log into its fields.
#ifndef YUCCAFALL_TRACE_LOG_LINE_HPP
#define YUCCAFALL_TRACE_LOG_LINE_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/units.hpp"

namespace yuccafall::trace {

struct log_line
{
    // Identifies the process that wrote the line: the last word before the
    // line, which log collectors add. parse_log_line leaves the source empty if
    // there is no such word; the command `trace` then sets it to the path of
    // the log file, or to "stdin".
    std::string source;
    // Time by the clock of the source. Clocks of different sources may differ.
    core::milliseconds since_epoch{0};
    std::string level;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    // Returns null if the line has no such field.
    std::string const* field(std::string_view name) const;
};

// Returns nothing if the text contains no line in the format of the log. Other
// text may precede the line.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace yuccafall::trace

#endif
