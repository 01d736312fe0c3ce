// Reads and checks the settings file, which is YAML.
#include "node/settings.hpp"

#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <set>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace yuccafall::node {

namespace {

constexpr std::size_t max_file_size = 65'536;
constexpr std::size_t max_name_length = 128;
// With fewer, none are left beside those that the platform reserves.
constexpr std::uint64_t min_descriptors = 256;
constexpr std::uint64_t max_descriptors = 10'000'000;

// Reads the settings of one YAML mapping and collects their faults. The reader
// records which keys the parsing code has asked for, and reports every other
// key of the mapping as an unknown setting.
class mapping_reader
{
public:
    mapping_reader(YAML::Node const& map, std::string prefix,
                   std::vector<std::string>& faults)
        : map_(map), prefix_(std::move(prefix)), faults_(faults)
    {}

    std::string full_name(char const* key) const { return prefix_ + key; }

    void add_fault(int line, std::string const& key, std::string const& message)
    {
        faults_.push_back(
            fmt::format("line {}: setting \"{}\": {}", line, key, message));
    }

    YAML::Node find(char const* key)
    {
        known_keys_.insert(key);
        return map_[key];
    }

    // Passes the text of a scalar to `parse`, which either stores the value or
    // returns a description of the text that it expects.
    void
    scalar(char const* key, bool required,
           std::function<std::optional<std::string>(std::string const&)> const&
               parse)
    {
        auto const it = find(key);
        if (!it.IsDefined())
        {
            if (required)
            {
                add_fault(map_.Mark().line + 1, full_name(key), "missing");
            }
            return;
        }
        if (!it.IsScalar())
        {
            add_fault(it.Mark().line + 1, full_name(key),
                      "expected a single value");
            return;
        }
        if (auto const expected = parse(it.Scalar()))
        {
            add_fault(it.Mark().line + 1, full_name(key),
                      fmt::format("expected {}, found \"{}\"", *expected,
                                  it.Scalar()));
        }
    }

    void add_unknown_faults()
    {
        for (auto const& it : map_)
        {
            auto const key =
                it.first.IsScalar() ? it.first.Scalar() : std::string("?");
            if (known_keys_.count(key) == 0)
            {
                add_fault(it.first.Mark().line + 1, full_name(key.c_str()),
                          "unknown setting");
            }
        }
    }

private:
    YAML::Node map_;
    std::string prefix_;
    std::vector<std::string>& faults_;
    std::set<std::string> known_keys_;
};

// This function and the other functions *_parser return a function for
// mapping_reader::scalar() that stores the parsed value in `into`.
template <class Id>
auto name_parser(Id& into)
{
    return [&into](std::string const& text) -> std::optional<std::string> {
        bool valid = !text.empty() && text.size() <= max_name_length;
        for (unsigned char const c : text)
        {
            valid =
                valid && (std::isalnum(c) || c == '-' || c == '.' || c == '_');
        }
        if (!valid)
        {
            return "1 to 128 letters, digits, \"-\", \".\" or \"_\"";
        }
        into = Id(text);
        return std::nullopt;
    };
}

auto endpoint_parser(core::endpoint& into)
{
    return [&into](std::string const& text) -> std::optional<std::string> {
        auto it = core::parse_endpoint(text);
        if (!it)
        {
            return "IP:PORT";
        }
        into = *it;
        return std::nullopt;
    };
}

template <class Value>
auto number_parser(Value& into, std::uint64_t min, std::uint64_t max)
{
    return [&into, min,
            max](std::string const& text) -> std::optional<std::string> {
        std::uint64_t n = 0;
        auto const end = text.data() + text.size();
        auto const parsed = std::from_chars(text.data(), end, n);
        if (parsed.ec != std::errc{} || parsed.ptr != end || n < min || n > max)
        {
            return fmt::format("a whole number from {} to {}", min, max);
        }
        into = Value(static_cast<typename Value::rep>(n));
        return std::nullopt;
    };
}

// The parser reads a limit with or without a fraction and rounds it down, so
// that no more than the limit is used. The platform may state its limits with
// fractions.
template <class Value>
auto limit_parser(Value& into, std::uint32_t max)
{
    return [&into, max](std::string const& text) -> std::optional<std::string> {
        char* end = nullptr;
        double const it = std::strtod(text.c_str(), &end);
        if (text.empty() || *end != '\0' || !(it >= 0 && it <= max))
        {
            return fmt::format("a number from 0 to {}", max);
        }
        into = Value(static_cast<typename Value::rep>(it));
        return std::nullopt;
    };
}

// The parser reads a ratio from 0 to 1 and converts it to a percentage.
auto ratio_parser(core::percentage& into)
{
    return [&into](std::string const& text) -> std::optional<std::string> {
        char* end = nullptr;
        double const it = std::strtod(text.c_str(), &end);
        if (text.empty() || *end != '\0' || !(it >= 0 && it <= 1))
        {
            return "a number from 0 to 1";
        }
        into =
            core::percentage(static_cast<std::uint32_t>(std::lround(it * 100)));
        return std::nullopt;
    };
}

// The parser reads a bandwidth in megabits per second, with or without a
// fraction.
auto bandwidth_parser(core::bytes_per_second& into)
{
    return [&into](std::string const& text) -> std::optional<std::string> {
        constexpr double bytes_per_megabit = 125'000;
        char* end = nullptr;
        double const it = std::strtod(text.c_str(), &end);
        if (text.empty() || *end != '\0' || !(it >= 0 && it <= 1e6))
        {
            return "megabits a second from 0 to 1000000";
        }
        into = core::bytes_per_second(
            static_cast<std::uint64_t>(it * bytes_per_megabit));
        return std::nullopt;
    };
}

// The parser reads a duration in seconds, with or without a fraction.
auto seconds_parser(core::milliseconds& into)
{
    return [&into](std::string const& text) -> std::optional<std::string> {
        char* end = nullptr;
        double const it = std::strtod(text.c_str(), &end);
        if (text.empty() || *end != '\0' || !(it >= 0 && it <= 86'400))
        {
            return "seconds from 0 to 86400";
        }
        into = core::milliseconds(static_cast<long>(it * 1000));
        return std::nullopt;
    };
}

void parse_endpoints(mapping_reader& top, settings& into,
                     std::vector<std::string>& faults)
{
    auto const it = top.find("endpoints");
    if (!it.IsDefined() || !it.IsMap())
    {
        top.add_fault(it.IsDefined() ? it.Mark().line + 1 : 1, "endpoints",
                      "expected a mapping of names to IP:PORT");
        return;
    }
    mapping_reader reader(it, "endpoints.", faults);
    reader.scalar("callers", true, endpoint_parser(into.callers));
    reader.scalar("readiness", true, endpoint_parser(into.readiness));
    reader.scalar("control", true, endpoint_parser(into.control));
    reader.scalar("traffic", true, endpoint_parser(into.traffic));
    reader.scalar("operators", true, endpoint_parser(into.operators));
    reader.scalar("worker", true, endpoint_parser(into.worker));
    reader.scalar("platform", true, endpoint_parser(into.platform));
    reader.add_unknown_faults();
}

void parse_seeds(mapping_reader& top, settings& into)
{
    auto const it = top.find("seeds");
    if (!it.IsDefined() || it.IsNull())
    {
        return;
    }
    if (!it.IsSequence())
    {
        top.add_fault(it.Mark().line + 1, "seeds",
                      "expected a list of IP:PORT");
        return;
    }
    for (auto const& item : it)
    {
        auto seed = core::parse_endpoint(item.IsScalar() ? item.Scalar() : "");
        if (!seed)
        {
            top.add_fault(item.Mark().line + 1, "seeds", seed.error().detail);
            continue;
        }
        into.seeds.push_back(std::move(*seed));
    }
}

void parse_bounds(mapping_reader& top, settings& into,
                  std::vector<std::string>& faults)
{
    auto const it = top.find("bounds");
    if (!it.IsDefined())
    {
        return;
    }
    if (!it.IsMap())
    {
        top.add_fault(it.Mark().line + 1, "bounds", "expected a mapping");
        return;
    }
    mapping_reader reader(it, "bounds.", faults);
    reader.scalar("retry_share", false, ratio_parser(into.retries.ratio));
    reader.scalar("retry_slack", false,
                  limit_parser(into.retries.slack, 1'000'000));
    reader.scalar("retry_window_s", false, seconds_parser(into.retries.window));
    reader.scalar("longest_drain_s", false,
                  seconds_parser(into.max_drain_time));
    reader.scalar("worker_heartbeat_ms", false,
                  number_parser(into.worker_heartbeat, 1, 3'600'000));
    reader.scalar("min_caller_rate", false,
                  number_parser(into.min_caller_rate, 0, 1'000'000));
    reader.scalar("caller_rate_window_ms", false,
                  number_parser(into.caller_rate_window, 1'000, 3'600'000));
    reader.add_unknown_faults();
}

// A template leaves the setting empty if the platform states no limit.
void parse_max_descriptors(mapping_reader& top, settings& into)
{
    auto const it = top.find("max_fds");
    if (!it.IsDefined() || it.IsNull())
    {
        return;
    }
    top.scalar(
        "max_fds", false,
        number_parser(into.max_descriptors, min_descriptors, max_descriptors));
}

void parse_top_level(mapping_reader& top, settings& into,
                     std::vector<std::string>& faults)
{
    top.scalar("vm", true, name_parser(into.vm));
    top.scalar("service", true, name_parser(into.service));
    top.scalar("data_centre", true, name_parser(into.data_centre));
    top.scalar("region", true, name_parser(into.region));
    parse_endpoints(top, into, faults);
    parse_seeds(top, into);
    parse_bounds(top, into, faults);
    std::uint64_t bytes_per_mb = 1024UL * 1024;
    core::byte_count memory_mb{into.memory_limit.value() / bytes_per_mb};
    top.scalar("memory_mb", false, number_parser(memory_mb, 16, 1'000'000));
    into.memory_limit = core::byte_count(memory_mb.value() * bytes_per_mb);
    parse_max_descriptors(top, into);
    top.scalar("link_mbps", false, bandwidth_parser(into.link_bandwidth));
    top.add_unknown_faults();
}

} // namespace

core::result<settings> parse_settings(std::string const& text)
{
    std::vector<std::string> faults;
    settings out;
    try
    {
        auto const document = YAML::Load(text);
        if (!document.IsMap())
        {
            return core::failure(core::error_kind::invalid_settings,
                                 "line 1: expected a mapping of settings");
        }
        mapping_reader top(document, "", faults);
        parse_top_level(top, out, faults);
    }
    catch (YAML::Exception const& e)
    {
        return core::failure(
            core::error_kind::invalid_settings,
            fmt::format("line {}: {}", e.mark.line + 1, e.msg));
    }
    if (!faults.empty())
    {
        return core::failure(core::error_kind::invalid_settings,
                             fmt::format("{}", fmt::join(faults, "\n")));
    }
    return out;
}

core::result<settings> load_settings(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return core::failure(
            core::error_kind::invalid_settings,
            fmt::format("cannot read the settings file \"{}\"", path));
    }
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (text.size() > max_file_size)
    {
        return core::failure(core::error_kind::invalid_settings,
                             "the settings file is longer than 64 KiB");
    }
    return parse_settings(text);
}

} // namespace yuccafall::node
