// Reads files for the commands that work without a node.
#include "commands/table_files.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>

#include <fmt/format.h>

#include "tables/byte_scan.hpp"

namespace yuccafall::commands {

namespace {

constexpr core::byte_count table_size_limit{tables::max_table_size};

tl::unexpected<core::error> read_failure(std::string const& path)
{
    return core::failure(
        core::error_kind::io,
        fmt::format("cannot read {}: {}", path,
                    errno == 0 ? "read error" : std::strerror(errno)));
}

} // namespace

core::result<std::string> read_file(std::string const& path,
                                    core::byte_count limit)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return read_failure(path);
    }
    std::string text(limit.value() + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    // Opening a directory succeeds, but reading from it fails.
    if (file.bad() || (file.fail() && !file.eof()))
    {
        return read_failure(path);
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

core::result<tables::table_texts> read_table_files(std::string const& folder)
{
    auto routes = read_file(folder + "/routes.yaml", table_size_limit);
    if (!routes)
    {
        return tl::unexpected(routes.error());
    }
    auto pools = read_file(folder + "/pools.yaml", table_size_limit);
    if (!pools)
    {
        return tl::unexpected(pools.error());
    }
    return tables::table_texts{std::move(*routes), std::move(*pools)};
}

} // namespace yuccafall::commands
