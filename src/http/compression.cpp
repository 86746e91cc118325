#include "http/compression.hpp"

#include <algorithm>
#include <new>
#include <zlib.h>

namespace gooseberryfall::http {

namespace {

/// Initializes the decompression and frees its memory at the end.
class inflater {
public:
    explicit inflater(std::string_view compressed)
    {
        // zlib does not change its input, but older versions declare it without const.
        stream_.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
        stream_.avail_in = static_cast<uInt>(compressed.size());
        if (inflateInit(&stream_) != Z_OK) {
            throw std::bad_alloc();
        }
    }
    inflater(const inflater&) = delete;
    inflater& operator=(const inflater&) = delete;
    inflater(inflater&&) = delete;
    inflater& operator=(inflater&&) = delete;
    ~inflater() { inflateEnd(&stream_); }

    /// Fills the buffer from a position on. Returns the status of zlib.
    int fill(std::string& out, std::size_t from)
    {
        stream_.next_out = reinterpret_cast<Bytef*>(out.data() + from);
        stream_.avail_out = static_cast<uInt>(out.size() - from);
        return inflate(&stream_, Z_NO_FLUSH);
    }

    std::size_t total() const { return stream_.total_out; }

private:
    z_stream stream_{};
};

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string out(size, '\0');
    const int status =
        compress2(reinterpret_cast<Bytef*>(out.data()), &size,
                  reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    // The buffer is large enough, so that only memory can be missing.
    if (status != Z_OK) {
        throw std::bad_alloc();
    }
    out.resize(size);
    return out;
}

tl::expected<std::string, std::string> decompress(std::string_view compressed,
                                                  std::size_t bytes_max)
{
    constexpr std::size_t first_size = 64U << 10U;
    inflater source(compressed);
    std::string out;
    int status = Z_OK;
    while (status != Z_STREAM_END) {
        const std::size_t used = source.total();
        // One byte more than allowed tells a text that is too long from one that fits.
        if (used > bytes_max) {
            return tl::unexpected("more than " + std::to_string(bytes_max) + " bytes");
        }
        out.resize(std::min(bytes_max + 1, std::max(first_size, out.size() * 2)));
        status = source.fill(out, used);
        if (status == Z_BUF_ERROR || (status == Z_OK && source.total() < out.size())) {
            return tl::unexpected(std::string("truncated"));
        }
        if (status != Z_OK && status != Z_STREAM_END) {
            return tl::unexpected(std::string("malformed"));
        }
    }
    if (source.total() > bytes_max) {
        return tl::unexpected("more than " + std::to_string(bytes_max) + " bytes");
    }
    out.resize(source.total());
    return out;
}

} // namespace gooseberryfall::http
