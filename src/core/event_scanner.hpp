#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace gooseberryfall::core {

/// Finds where server-sent events end in a stream that arrives in pieces of any size. An event ends
/// with an empty line; lines end with LF or CRLF. Keeps none of the bytes. Deterministic; not
/// thread-safe.
class event_scanner {
public:
    /// Reads up to the next end of an event. Returns the number of bytes read, or nothing if the
    /// bytes contain no such end; all of them have been read then.
    std::optional<std::size_t> read_event_end(std::string_view bytes);

    /// Number of bytes since the last end of an event; 0 between two events.
    std::size_t incomplete_bytes() const { return incomplete_bytes_; }

    /// Whether an event has ended.
    bool has_event() const { return has_event_; }

private:
    /// What the current line consists of so far. An event may end only at a line that is empty
    /// before its line break.
    enum class line_content { nothing, carriage_return, text };

    void append_to_line(std::string_view bytes);

    line_content line_ = line_content::nothing;
    std::size_t incomplete_bytes_ = 0;
    bool has_event_ = false;
};

} // namespace gooseberryfall::core
