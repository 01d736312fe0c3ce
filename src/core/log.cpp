// Formats log lines and writes each with a single system call, so that lines
// from several threads are not interleaved.
#include "core/log.hpp"

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <mutex>

#include "core/units.hpp"

namespace yuccafall::core {

namespace {

// A write of up to this size (PIPE_BUF) to a pipe that poll() reports as
// writable completes at once and does not block.
constexpr std::size_t max_line_bytes = 4096;

std::atomic<std::uint64_t> dropped_lines{0};
std::atomic<std::uint64_t> suppressed_lines{0};
std::atomic<std::uint32_t> ordinary_events{0};

// Counts the lines about requests in the current second.
struct line_rate_limit
{
    std::mutex mutex;
    instant second_started{};
    std::uint32_t lines = 0;
};

// Returns true and counts the line if the rate limit permits one more line
// about a request.
bool consume_line_quota()
{
    static line_rate_limit limit;
    auto const now = boot_clock::now();
    std::lock_guard lock(limit.mutex);
    if (now - limit.second_started >= std::chrono::seconds(1))
    {
        limit.second_started = now;
        limit.lines = 0;
    }
    if (limit.lines >= request_lines_per_second)
    {
        return false;
    }
    ++limit.lines;
    return true;
}

void write_line(std::string line)
{
    if (line.size() >= max_line_bytes)
    {
        line.resize(max_line_bytes - 1);
    }
    line += '\n';
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
    {
        dropped_lines.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    if (::write(STDOUT_FILENO, line.data(), line.size()) < 0)
    {
        dropped_lines.fetch_add(1, std::memory_order_relaxed);
    }
}

std::string_view name_of(log_level level)
{
    switch (level)
    {
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "info";
}

bool needs_quotes(std::string_view value)
{
    if (value.empty())
    {
        return true;
    }
    for (unsigned char const c : value)
    {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
        {
            return true;
        }
    }
    return false;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value))
    {
        line += value;
        return;
    }
    line += '"';
    for (char const c : value)
    {
        auto const byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
        {
            line += '\\';
            line += c;
        }
        else if (byte < ' ' || byte == 0x7f)
        {
            line += fmt::format("\\x{:02x}", byte);
        }
        else
        {
            line += c;
        }
    }
    line += '"';
}

} // namespace

std::string format_event(log_level level, std::string_view event,
                         std::initializer_list<log_field> fields)
{
    auto const since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
    auto line = fmt::format("time_ms={} level={} event={}", ms.count(),
                            name_of(level), event);
    for (auto const& it : fields)
    {
        line += ' ';
        line += it.key;
        line += '=';
        append_value(line, it.value);
    }
    return line;
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
{
    write_line(format_event(level, event, fields));
}

bool admit_request_line(request_event kind)
{
    if (kind == request_event::ordinary)
    {
        auto const n = ordinary_events.fetch_add(1, std::memory_order_relaxed);
        return n % ordinary_sample_interval == 0 && consume_line_quota();
    }
    if (consume_line_quota())
    {
        return true;
    }
    suppressed_lines.fetch_add(1, std::memory_order_relaxed);
    return false;
}

log_counts current_log_counts()
{
    return {dropped_lines.load(std::memory_order_relaxed),
            suppressed_lines.load(std::memory_order_relaxed)};
}

} // namespace yuccafall::core
