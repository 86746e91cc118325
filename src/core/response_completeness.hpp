#pragma once

#include "core/event_scanner.hpp"

#include <cstddef>
#include <string_view>

namespace gooseberryfall::core {

/// Properties of a target's response on which the check of its body depends.
struct response_shape {
    unsigned status = 0;
    /// The response declares server-sent events.
    bool is_event_stream = false;
    /// The response declares neither a length nor chunks.
    bool ends_with_connection = false;
};

/// Decides whether the body of a target's response is whole after its framing has ended it: with
/// the declared length, the last chunk or the end of the connection. The framing alone does not
/// show it, because a faulty target may end a truncated stream properly, and the connection of a
/// crashed target may end like that of a sound one. Every path that passes on or stores the body of
/// a response uses this check. Deterministic; not thread-safe.
class response_completeness {
public:
    /// A response without a body.
    response_completeness() = default;

    /// The response whose body follows.
    explicit response_completeness(const response_shape& shape);

    /// Reads the next bytes of the body.
    void feed(std::string_view piece);

    /// Whether the body is whole if it ends here. A successful stream of events must not end inside
    /// an event; if only the end of its connection marks its end, it must also contain an event. A
    /// stream that is truncated between two events can't be distinguished from a whole one.
    /// Precondition: the framing of the response has ended the body.
    bool is_whole() const;

    /// Number of bytes of the event that has begun; 0 between two events and for a body that isn't
    /// a stream of events.
    std::size_t incomplete_event_bytes() const { return events_.incomplete_bytes(); }

private:
    bool checks_events_ = false;
    bool ends_with_connection_ = false;
    event_scanner events_;
};

} // namespace gooseberryfall::core
