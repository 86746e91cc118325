#include "http/message_encoding.hpp"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include <algorithm>
#include <array>
#include <cassert>

namespace gooseberryfall::http {

namespace {

namespace beast = boost::beast;

bool is_framing_header(std::string_view name)
{
    constexpr std::array names{"Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding",
                               "Upgrade"};
    return std::any_of(names.begin(), names.end(),
                       [name](const char* framing) { return equals_ignoring_case(name, framing); });
}

/// Replaces line breaks and null characters by spaces. Beast does not check values, and a line
/// break would allow header injection.
std::string replace_line_breaks(std::string value)
{
    std::replace_if(
        value.begin(), value.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; },
        ' ');
    return value;
}

bool is_token(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(),
                                        [](char c) { return c > ' ' && c < 0x7F && c != ':'; });
}

void set_fields(beast::http::fields& fields, const header_fields& headers)
{
    for (const auto& [name, value] : headers) {
        if (!is_framing_header(name) && is_token(name)) {
            fields.insert(name, replace_line_breaks(value));
        }
    }
}

template <bool IsRequest>
std::string serialize_head(beast::http::message<IsRequest, beast::http::empty_body>& message)
{
    std::string text;
    beast::http::serializer<IsRequest, beast::http::empty_body> serializer(message);
    serializer.split(true);
    beast::error_code error;
    while (!serializer.is_header_done()) {
        serializer.next(error, [&](beast::error_code&, const auto& buffers) {
            text += beast::buffers_to_string(buffers);
            serializer.consume(beast::buffer_bytes(buffers));
        });
        assert(!error);
    }
    return text;
}

template <class Buffers>
void append_buffers(std::string& text, const Buffers& buffers)
{
    for (const auto buffer : beast::buffers_range_ref(buffers)) {
        text.append(static_cast<const char*>(buffer.data()), buffer.size());
    }
}

} // namespace

bool is_bodyless(unsigned status)
{
    return status < 200 || status == 204 || status == 304;
}

std::string serialize_response_head(const response_head& head, const body_framing& framing,
                                    bool keep_alive)
{
    beast::http::response<beast::http::empty_body> message;
    message.version(11);
    message.result(head.status);
    set_fields(message, head.headers);
    if (!framing.no_body && framing.length) {
        message.content_length(*framing.length);
    }
    else if (!framing.no_body) {
        message.chunked(true);
    }
    message.keep_alive(keep_alive);
    return serialize_head(message);
}

std::string serialize_request_head(const std::string& method, const std::string& target,
                                   const header_fields& headers, const std::string& host,
                                   std::uint64_t length)
{
    beast::http::request<beast::http::empty_body> message;
    message.version(11);
    message.method_string(is_token(method) ? method : "GET");
    message.target(target);
    set_fields(message, headers);
    if (headers.find("Host") == nullptr) {
        message.set(beast::http::field::host, host);
    }
    if (length > 0 || (method != "GET" && method != "HEAD")) {
        message.content_length(length);
    }
    return serialize_head(message);
}

void append_chunk(std::string& text, std::string_view piece)
{
    assert(!piece.empty());
    append_buffers(text, beast::http::make_chunk(boost::asio::buffer(piece)));
}

void append_last_chunk(std::string& text)
{
    append_buffers(text, beast::http::make_chunk_last());
}

header_fields to_header_fields(const beast::http::fields& fields)
{
    header_fields copy;
    for (const auto& field : fields) {
        copy.add(std::string(field.name_string()), std::string(field.value()));
    }
    return copy;
}

} // namespace gooseberryfall::http
