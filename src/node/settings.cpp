// Reads and checks the settings file.
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

constexpr std::size_t longest_file = 65'536;
constexpr std::size_t longest_name = 128;

// Collects faults while it reads one mapping, and remembers which keys were
// asked for, so that every other key is an unknown setting.
class mapping_reader
{
public:
    mapping_reader(YAML::Node const& map, std::string prefix,
                   std::vector<std::string>& faults)
        : map_(map), prefix_(std::move(prefix)), faults_(faults)
    {}

    std::string name(char const* key) const { return prefix_ + key; }

    void fault(int line, std::string const& key, std::string const& message)
    {
        faults_.push_back(
            fmt::format("line {}: setting \"{}\": {}", line, key, message));
    }

    YAML::Node find(char const* key)
    {
        known_.insert(key);
        return map_[key];
    }

    // Passes the text of a scalar to the check, which returns what was
    // expected if the text does not fit.
    void
    scalar(char const* key, bool required,
           std::function<std::optional<std::string>(std::string const&)> const&
               check)
    {
        auto const it = find(key);
        if (!it.IsDefined())
        {
            if (required)
            {
                fault(map_.Mark().line + 1, name(key), "missing");
            }
            return;
        }
        if (!it.IsScalar())
        {
            fault(it.Mark().line + 1, name(key), "expected a single value");
            return;
        }
        if (auto const expected = check(it.Scalar()))
        {
            fault(it.Mark().line + 1, name(key),
                  fmt::format("expected {}, found \"{}\"", *expected,
                              it.Scalar()));
        }
    }

    void reject_unknown()
    {
        for (auto const& it : map_)
        {
            auto const key =
                it.first.IsScalar() ? it.first.Scalar() : std::string("?");
            if (known_.count(key) == 0)
            {
                fault(it.first.Mark().line + 1, name(key.c_str()),
                      "unknown setting");
            }
        }
    }

private:
    YAML::Node map_;
    std::string prefix_;
    std::vector<std::string>& faults_;
    std::set<std::string> known_;
};

template <class Id>
auto read_name(Id& into)
{
    return [&into](std::string const& text) -> std::optional<std::string> {
        bool fits = !text.empty() && text.size() <= longest_name;
        for (unsigned char const c : text)
        {
            fits =
                fits && (std::isalnum(c) || c == '-' || c == '.' || c == '_');
        }
        if (!fits)
        {
            return "1 to 128 letters, digits, \"-\", \".\" or \"_\"";
        }
        into = Id(text);
        return std::nullopt;
    };
}

auto read_endpoint(core::endpoint& into)
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
auto read_number(Value& into, std::uint64_t least, std::uint64_t most)
{
    return [&into, least,
            most](std::string const& text) -> std::optional<std::string> {
        std::uint64_t n = 0;
        auto const end = text.data() + text.size();
        auto const parsed = std::from_chars(text.data(), end, n);
        if (parsed.ec != std::errc{} || parsed.ptr != end || n < least ||
            n > most)
        {
            return fmt::format("a whole number from {} to {}", least, most);
        }
        into = Value(static_cast<typename Value::rep>(n));
        return std::nullopt;
    };
}

// A fraction, as a share of a hundred.
auto read_share(core::percentage& into)
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

// Megabits a second, with or without a fraction.
auto read_link(core::bytes_per_second& into)
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

// Seconds, with or without a fraction.
auto read_seconds(core::milliseconds& into)
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

void read_endpoints(mapping_reader& top, settings& into,
                    std::vector<std::string>& faults)
{
    auto const it = top.find("endpoints");
    if (!it.IsDefined() || !it.IsMap())
    {
        top.fault(it.IsDefined() ? it.Mark().line + 1 : 1, "endpoints",
                  "expected a mapping of names to IP:PORT");
        return;
    }
    mapping_reader in(it, "endpoints.", faults);
    in.scalar("callers", true, read_endpoint(into.callers));
    in.scalar("readiness", true, read_endpoint(into.readiness));
    in.scalar("control", true, read_endpoint(into.control));
    in.scalar("traffic", true, read_endpoint(into.traffic));
    in.scalar("operators", true, read_endpoint(into.operators));
    in.scalar("worker", true, read_endpoint(into.worker));
    in.scalar("platform", true, read_endpoint(into.platform));
    in.reject_unknown();
}

void read_seeds(mapping_reader& top, settings& into)
{
    auto const it = top.find("seeds");
    if (!it.IsDefined() || it.IsNull())
    {
        return;
    }
    if (!it.IsSequence())
    {
        top.fault(it.Mark().line + 1, "seeds", "expected a list of IP:PORT");
        return;
    }
    for (auto const& item : it)
    {
        auto seed = core::parse_endpoint(item.IsScalar() ? item.Scalar() : "");
        if (!seed)
        {
            top.fault(item.Mark().line + 1, "seeds", seed.error().detail);
            continue;
        }
        into.seeds.push_back(std::move(*seed));
    }
}

void read_bounds(mapping_reader& top, settings& into,
                 std::vector<std::string>& faults)
{
    auto const it = top.find("bounds");
    if (!it.IsDefined())
    {
        return;
    }
    if (!it.IsMap())
    {
        top.fault(it.Mark().line + 1, "bounds", "expected a mapping");
        return;
    }
    mapping_reader in(it, "bounds.", faults);
    in.scalar("retry_share", false, read_share(into.retries.ratio));
    in.scalar("retry_slack", false,
              read_number(into.retries.slack, 0, 1'000'000));
    in.scalar("retry_window_s", false, read_seconds(into.retries.window));
    in.scalar("longest_drain_s", false, read_seconds(into.longest_drain));
    in.reject_unknown();
}

void read_top(mapping_reader& top, settings& into,
              std::vector<std::string>& faults)
{
    top.scalar("vm", true, read_name(into.vm));
    top.scalar("service", true, read_name(into.service));
    top.scalar("data_centre", true, read_name(into.data_centre));
    top.scalar("region", true, read_name(into.region));
    read_endpoints(top, into, faults);
    read_seeds(top, into);
    read_bounds(top, into, faults);
    std::uint64_t unit = 1024UL * 1024;
    core::byte_count memory_mb{into.memory.value() / unit};
    top.scalar("memory_mb", false, read_number(memory_mb, 16, 1'000'000));
    into.memory = core::byte_count(memory_mb.value() * unit);
    top.scalar("link_mbps", false, read_link(into.link));
    top.reject_unknown();
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
        read_top(top, out, faults);
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
        return core::failure(core::error_kind::invalid_settings,
                             fmt::format("cannot read \"{}\"", path));
    }
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (text.size() > longest_file)
    {
        return core::failure(core::error_kind::invalid_settings,
                             "the file is longer than 64 KiB");
    }
    return parse_settings(text);
}

} // namespace yuccafall::node
