// Zstandard frames with a checksum; the reference is a prefix of the window.
#include "replication/compression.hpp"

#include <algorithm>
#include <memory>

#include <fmt/format.h>
#include <zstd.h>

#include "core/units.hpp"

namespace yuccafall::replication {

using core::error_kind;

namespace {

// Four times the longest value of the platform's store. Bounds what a faulty
// frame can make a node allocate.
constexpr core::byte_count longest_value{4UL * 1024 * 1024};

// Zstandard's fast end: compressing must not hold up the control thread of a
// VM with a tenth of a core.
constexpr int level = 1;

// Logarithms of the least and greatest window; the window has to reach over
// the reference to the value.
constexpr int least_window_log = 15;
constexpr int greatest_window_log = 23;

struct context_deleter
{
    void operator()(ZSTD_CCtx* it) const { ZSTD_freeCCtx(it); }
    void operator()(ZSTD_DCtx* it) const { ZSTD_freeDCtx(it); }
};

int window_log_for(std::size_t size)
{
    int log = least_window_log;
    while (log < greatest_window_log && (std::size_t{1} << log) < size)
    {
        ++log;
    }
    return log;
}

core::result<std::size_t> checked(std::size_t code)
{
    if (ZSTD_isError(code) != 0)
    {
        return core::failure(error_kind::bad_frame,
                             fmt::format("zstd: {}", ZSTD_getErrorName(code)));
    }
    return code;
}

} // namespace

core::result<std::string> compress(std::string_view value,
                                   std::string_view reference)
{
    std::unique_ptr<ZSTD_CCtx, context_deleter> const context(
        ZSTD_createCCtx());
    auto* const to = context.get();
    ZSTD_CCtx_setParameter(to, ZSTD_c_compressionLevel, level);
    ZSTD_CCtx_setParameter(to, ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(to, ZSTD_c_windowLog,
                           window_log_for(value.size() + reference.size()));
    if (!reference.empty())
    {
        // Finds matches at the distance of a whole value.
        ZSTD_CCtx_setParameter(to, ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(to, reference.data(), reference.size());
    }
    std::string out(ZSTD_compressBound(value.size()), '\0');
    auto const size = checked(
        ZSTD_compress2(to, out.data(), out.size(), value.data(), value.size()));
    if (!size)
    {
        return tl::unexpected(size.error());
    }
    out.resize(*size);
    out.shrink_to_fit();
    return out;
}

core::result<std::string> decompress(std::string_view frame,
                                     std::string_view reference)
{
    auto const size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
        size > longest_value.value())
    {
        return core::failure(error_kind::bad_frame,
                             "no compressed value of a known size");
    }
    std::unique_ptr<ZSTD_DCtx, context_deleter> const context(
        ZSTD_createDCtx());
    if (!reference.empty())
    {
        ZSTD_DCtx_refPrefix(context.get(), reference.data(), reference.size());
    }
    std::string out(size, '\0');
    auto const n = checked(ZSTD_decompressDCtx(
        context.get(), out.data(), out.size(), frame.data(), frame.size()));
    if (!n)
    {
        return tl::unexpected(n.error());
    }
    if (*n != out.size())
    {
        return core::failure(error_kind::bad_frame,
                             "a compressed value ends early");
    }
    return out;
}

} // namespace yuccafall::replication
