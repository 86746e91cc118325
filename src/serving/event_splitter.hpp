#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberryfall::serving {

/// One server-sent event.
struct stream_event {
    /// All of its bytes, with the empty line at its end.
    std::string bytes;
    std::optional<std::uint64_t> id;
    /// Its data lines, joined by line feeds.
    std::string data;
};

/// Cuts a stream of server-sent events, which arrives in any pieces, into whole events.
/// Deterministic; not thread-safe.
class event_splitter {
public:
    /// Adds bytes and returns the events that are now whole.
    std::vector<stream_event> feed(std::string_view bytes);

    /// Bytes of an event that is not whole.
    const std::string& incomplete_bytes() const { return incomplete_bytes_; }

private:
    std::string incomplete_bytes_;
};

} // namespace gooseberryfall::serving
