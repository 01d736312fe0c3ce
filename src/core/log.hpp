// Structured log: writes one line of key=value pairs to standard output for
// each event. Writing never blocks: if the output is not writable, the line is
// dropped and counted.
#ifndef YUCCAFALL_CORE_LOG_HPP
#define YUCCAFALL_CORE_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace yuccafall::core {

enum class log_level
{
    info,
    warning,
    error,
};

struct log_field
{
    template <class T>
    log_field(std::string_view name, T const& it)
        : key(name), value(fmt::format("{}", it))
    {}

    std::string_view key;
    std::string value;
};

// Returns the line without the line feed. Values that are empty or contain
// spaces, quotes, backslashes, '=' or control characters are quoted and
// escaped.
std::string format_event(log_level level, std::string_view event,
                         std::initializer_list<log_field> fields);

// Writes an event without applying a rate limit. It is meant for changes in the
// state of the process: start, stop, configuration, membership and
// dependencies. Events of single requests must first be admitted by
// admit_request_line().
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields);

// Decides how often events of single requests are logged.
enum class request_event
{
    // Refusals, failures and retries. Each event is logged, up to the rate
    // limit.
    exceptional,
    // Events of normal operation, such as successes. One event in
    // ordinary_sample_interval is logged, up to the rate limit.
    ordinary,
};

inline constexpr std::uint32_t ordinary_sample_interval = 64;
// The maximum number of lines about requests that one process writes in a
// second. At about 250 bytes a line this keeps the log of a node under 10 kB/s
// however many requests fail.
inline constexpr std::uint32_t request_lines_per_second = 40;

// Returns true if the calling code may write its line with log_event(). All
// threads of the process share the sampling and the rate limit.
bool admit_request_line(request_event kind);

struct log_counts
{
    // Lines that were not written because the output was not writable.
    std::uint64_t dropped = 0;
    // Lines that were not written because of the rate limit. Ordinary events
    // are not counted.
    std::uint64_t suppressed = 0;
};

log_counts current_log_counts();

} // namespace yuccafall::core

#endif
