#include "codec/compression.h"

#include "core/error.h"

#include <zstd.h>

#include <memory>

namespace flamingotally
{

namespace
{

constexpr int compressionLevel = 3;

struct FreeContext {
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
};

/**
 * Returns the compression context of this thread. It is reused: creating one costs more than compressing a small
 * record.
 */
ZSTD_CCtx *compressionContext()
{
    thread_local const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    return context.get();
}

struct FreeDecompressionContext {
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

/** Returns the decompression context of this thread, which is reused for the same reason. */
ZSTD_DCtx *decompressionContext()
{
    thread_local const std::unique_ptr<ZSTD_DCtx, FreeDecompressionContext> context(ZSTD_createDCtx());
    return context.get();
}

absl::Status malformed(std::string_view what)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadLog, "", what);
}

} // namespace

std::string compressBytes(std::string_view bytes)
{
    std::string frame(ZSTD_compressBound(bytes.size()), '\0');
    const auto n = ZSTD_compressCCtx(
        compressionContext(), frame.data(), frame.size(), bytes.data(), bytes.size(), compressionLevel);
    frame.resize(ZSTD_isError(n) != 0 ? 0 : n);
    return frame;
}

absl::StatusOr<std::string> decompressBytes(std::string_view bytes, std::size_t maxBytes)
{
    const auto length = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (length == ZSTD_CONTENTSIZE_ERROR || length == ZSTD_CONTENTSIZE_UNKNOWN) {
        return malformed("zstd frame is malformed or does not state its content size");
    }
    if (length > maxBytes) {
        return malformed("content of the zstd frame is too large");
    }
    std::string result(length, '\0');
    const auto n =
        ZSTD_decompressDCtx(decompressionContext(), result.data(), result.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(n) != 0 || n != length) {
        return malformed("zstd frame is corrupt");
    }
    return result;
}

} // namespace flamingotally
