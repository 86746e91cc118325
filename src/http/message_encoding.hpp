#pragma once

#include "http/message.hpp"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryfall::http {

/// How a message declares the length of its body.
struct body_framing {
    /// Chunked transfer encoding if unset.
    std::optional<std::uint64_t> length;
    /// Neither a length nor the chunked encoding, for responses that cannot have a body.
    bool no_body = false;
};

/// Serializes a response head including the empty line. Headers that frame the message, such as
/// `Content-Length`, are replaced.
std::string serialize_response_head(const response_head& head, const body_framing& framing,
                                    bool keep_alive);

/// Serializes a request head including the empty line.
std::string serialize_request_head(const std::string& method, const std::string& target,
                                   const header_fields& headers, const std::string& host,
                                   std::uint64_t length);

/// Appends a chunk. Precondition: `piece` is not empty.
void append_chunk(std::string& text, std::string_view piece);

/// Appends the end of a chunked body.
void append_last_chunk(std::string& text);

/// Converts parsed headers.
header_fields to_header_fields(const boost::beast::http::fields& fields);

/// Whether a response with this status never has a body.
bool is_bodyless(unsigned status);

} // namespace gooseberryfall::http
