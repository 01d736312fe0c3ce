// Structured log: one line of key=value pairs on standard output for each
// event. Writing never waits: a line that the reader of the output has no room
// for is dropped and counted.
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

// Returns the line without its end. Values that hold blanks, quotes, '=' or
// control characters are quoted and escaped.
std::string format_event(log_level level, std::string_view event,
                         std::initializer_list<log_field> fields);

// For what changes the state of the process: start, stop, configuration,
// membership, dependencies.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields);

// How often an event of one request is worth a line.
enum class request_event
{
    // Refusals, failures and retries: each one, up to the rate limit.
    exceptional,
    // One in success_sample.
    ordinary,
};

inline constexpr std::uint32_t success_sample = 64;
// Lines a second of one process about requests; at about 250 bytes a line
// this keeps a node under 10 kB/s however many requests fail.
inline constexpr std::uint32_t request_lines_per_second = 40;

// True where the caller may write its line with log_event. The limits hold
// for the whole process.
bool admit_request_line(request_event kind);

struct log_counts
{
    // Not written since the output had no room.
    std::uint64_t dropped = 0;
    // Not written for the rate limit; sampled successes do not count.
    std::uint64_t suppressed = 0;
};

log_counts log_counters();

} // namespace yuccafall::core

#endif
