#pragma once

#include "http/message.hpp"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryfall::http {

/// How the length of a body is told.
struct body_framing {
    /// Chunked if unset.
    std::optional<std::uint64_t> length;
    /// Neither length nor chunks, for answers that cannot have a body.
    bool none = false;
};

/// Text of a response head, with the empty line. Headers that frame the message are replaced.
std::string response_head_text(const response_head& head, const body_framing& framing,
                               bool keep_alive);

/// Text of a request head, with the empty line.
std::string request_head_text(const std::string& method, const std::string& target,
                              const header_fields& headers, const std::string& host,
                              std::uint64_t length);

/// Appends a chunk. Precondition: `piece` is not empty.
void append_chunk(std::string& text, std::string_view piece);

/// Appends the end of a chunked body.
void append_last_chunk(std::string& text);

/// Copies parsed headers.
header_fields copy_fields(const boost::beast::http::fields& fields);

/// Whether an answer of that status never has a body.
bool is_bodyless(unsigned status);

} // namespace gooseberryfall::http
