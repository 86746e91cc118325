#include "core/response_completeness.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

using gooseberryfall::core::event_scanner;
using gooseberryfall::core::response_completeness;
using gooseberryfall::core::response_shape;

namespace {

constexpr response_shape framed_stream{.status = 200, .is_event_stream = true};
constexpr response_shape unframed_stream{
    .status = 200, .is_event_stream = true, .ends_with_connection = true};

/// Whether a body is whole that arrives in pieces of this size.
bool is_whole(const response_shape& shape, std::string_view body, std::size_t piece_size)
{
    response_completeness check(shape);
    for (std::size_t begin = 0; begin < body.size(); begin += piece_size) {
        check.feed(body.substr(begin, piece_size));
    }
    return check.is_whole();
}

/// Streams with each kind of line break, with comments and with events of several lines.
const std::vector<std::string> streams{
    "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n",
    "id: 1\r\ndata: a\r\n\r\n: note\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    "data: \r\r\n\n\ndata: x\n\r\n",
};

/// Ends of the events of a stream, found one byte at a time by the definition: an empty line.
std::vector<std::size_t> event_ends(const std::string& stream)
{
    std::vector<std::size_t> ends;
    std::string line;
    for (std::size_t position = 0; position < stream.size(); ++position) {
        if (stream[position] != '\n') {
            line += stream[position];
            continue;
        }
        if (line.empty() || line == "\r") {
            ends.push_back(position + 1);
        }
        line.clear();
    }
    return ends;
}

} // namespace

// Guards against a stream that is taken for whole although it ends inside an event, at any byte and
// however the network has split it.
Test(response_completeness, stream_is_whole_only_at_the_end_of_an_event)
{
    for (const std::string& stream : streams) {
        const std::vector<std::size_t> ends = event_ends(stream);
        for (std::size_t length = 1; length <= stream.size(); ++length) {
            const bool expected = std::find(ends.begin(), ends.end(), length) != ends.end();
            for (std::size_t piece = 1; piece <= length; ++piece) {
                const std::string_view body = std::string_view(stream).substr(0, length);
                cr_assert(is_whole(framed_stream, body, piece) == expected, "%zu", length);
                cr_assert(is_whole(unframed_stream, body, piece) == expected, "%zu", length);
            }
        }
    }
}

// Guards against a crash before the first event that looks like the end of an empty stream, and
// against a resumed stream that is broken off because no event is left.
Test(response_completeness, empty_stream_is_whole_only_if_its_length_is_declared)
{
    cr_assert(response_completeness(framed_stream).is_whole());
    cr_assert_not(response_completeness(unframed_stream).is_whole());
}

// Guards against plain bodies and errors that are held to the format of events.
Test(response_completeness, other_bodies_are_whole_by_their_framing)
{
    for (const bool ends_with_connection : {false, true}) {
        for (const response_shape& shape :
             {response_shape{.status = 200, .ends_with_connection = ends_with_connection},
              response_shape{.status = 500,
              .is_event_stream = true,
              .ends_with_connection = ends_with_connection}}) {
            response_completeness check(shape);
            cr_assert(check.is_whole());
            check.feed("data: x");
            cr_assert(check.is_whole());
            cr_assert_eq(check.incomplete_event_bytes(), 0U);
        }
    }
}

// Guards against an event whose size limit is never reached because its bytes aren't counted.
Test(response_completeness, counts_the_bytes_of_the_event_that_has_begun)
{
    response_completeness check(framed_stream);
    check.feed("data: a\n\nda");
    cr_assert_eq(check.incomplete_event_bytes(), 2U);
    check.feed("ta: b\n");
    cr_assert_eq(check.incomplete_event_bytes(), 8U);
    check.feed("\n");
    cr_assert_eq(check.incomplete_event_bytes(), 0U);
}

// Guards against events that are joined or split where the network splits their line breaks.
Test(event_scanner, finds_the_same_ends_in_pieces_of_any_size)
{
    for (const std::string& stream : streams) {
        for (std::size_t size = 1; size <= stream.size(); ++size) {
            event_scanner scanner;
            std::vector<std::size_t> found;
            for (std::size_t begin = 0; begin < stream.size(); begin += size) {
                std::string_view piece = std::string_view(stream).substr(begin, size);
                std::size_t position = begin;
                while (const auto read = scanner.read_event_end(piece)) {
                    position += *read;
                    piece.remove_prefix(*read);
                    found.push_back(position);
                }
            }
            cr_assert(found == event_ends(stream), "pieces of %zu bytes", size);
        }
    }
}
