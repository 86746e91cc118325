#pragma once

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace gooseberryfall::http {

/// Name of the format of `compress` in `Content-Encoding` and `Accept-Encoding`.
constexpr const char* compression_name = "deflate";

/// Compresses bytes in the zlib format (RFC 1950), fast rather than small. Thread-safe.
std::string compress(std::string_view bytes);

/// Decompresses bytes in the zlib format. Returns an error if they are malformed, truncated, or
/// longer than `bytes_max` when decompressed. Thread-safe.
tl::expected<std::string, std::string> decompress(std::string_view compressed,
                                                  std::size_t bytes_max);

} // namespace gooseberryfall::http
