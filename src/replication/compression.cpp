// Uses Zstandard frames with a checksum. The reference is passed to Zstandard
// as a prefix, so that matches can point into it.
#include "replication/compression.hpp"

#include <algorithm>
#include <memory>

#include <fmt/format.h>
#include <zstd.h>

#include "core/units.hpp"

namespace yuccafall::replication {

using core::error_kind;

namespace {

// This is four times the longest value of the platform's store. It bounds the
// memory that a node allocates for a faulty frame.
constexpr core::byte_count max_value_size{4UL * 1024 * 1024};

// The level is Zstandard's fastest standard level, because compression must not
// delay the control thread of a VM that has a tenth of a core.
constexpr int compression_level = 1;

// Base-2 logarithms of the smallest and largest window size. The window has to
// cover both the reference and the value.
constexpr int min_window_log = 15;
constexpr int max_window_log = 23;

struct context_deleter
{
    void operator()(ZSTD_CCtx* it) const { ZSTD_freeCCtx(it); }
    void operator()(ZSTD_DCtx* it) const { ZSTD_freeDCtx(it); }
};

int window_log_for(std::size_t size)
{
    int log = min_window_log;
    while (log < max_window_log && (std::size_t{1} << log) < size)
    {
        ++log;
    }
    return log;
}

core::result<std::size_t> check_zstd(std::size_t code)
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
    ZSTD_CCtx_setParameter(to, ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(to, ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(to, ZSTD_c_windowLog,
                           window_log_for(value.size() + reference.size()));
    if (!reference.empty())
    {
        // A match in the reference lies about the length of a whole value
        // before the current position.
        ZSTD_CCtx_setParameter(to, ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(to, reference.data(), reference.size());
    }
    std::string out(ZSTD_compressBound(value.size()), '\0');
    auto const size = check_zstd(
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
        size > max_value_size.value())
    {
        return core::failure(error_kind::bad_frame,
                             "not a zstd frame with a known content size "
                             "within the limit");
    }
    std::unique_ptr<ZSTD_DCtx, context_deleter> const context(
        ZSTD_createDCtx());
    if (!reference.empty())
    {
        ZSTD_DCtx_refPrefix(context.get(), reference.data(), reference.size());
    }
    std::string out(size, '\0');
    auto const n = check_zstd(ZSTD_decompressDCtx(
        context.get(), out.data(), out.size(), frame.data(), frame.size()));
    if (!n)
    {
        return tl::unexpected(n.error());
    }
    if (*n != out.size())
    {
        return core::failure(error_kind::bad_frame,
                             "zstd frame is shorter than its content size");
    }
    return out;
}

} // namespace yuccafall::replication
