#pragma once

#include "core/event_scanner.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberryfall::serving {

/// One server-sent event.
struct stream_event {
    /// The unparsed bytes, including the empty line at the end.
    std::string bytes;
    std::optional<std::uint64_t> id;
    /// The values of the data lines, joined by line feeds.
    std::string data;
};

/// Default limit of the size of one event, in bytes.
constexpr std::size_t event_bytes_max = 256U << 10U;

/// Splits a stream of server-sent events, which arrives in pieces of any size, into complete
/// events. Keeps at most one incomplete event of limited size. Deterministic; not thread-safe.
class event_splitter {
public:
    /// `bytes_max`: size of an event in bytes above which the stream is taken as malformed.
    explicit event_splitter(std::size_t bytes_max = event_bytes_max) : bytes_max_(bytes_max) {}

    /// Appends bytes and returns the events that they complete; none once `overflowed`.
    std::vector<stream_event> feed(std::string_view bytes);

    /// Whether an event has exceeded the limit. Its bytes and all after them are dropped.
    bool overflowed() const { return overflowed_; }

    /// Bytes of the last event, which is incomplete.
    const std::string& incomplete_bytes() const { return incomplete_bytes_; }

private:
    std::size_t bytes_max_;
    core::event_scanner scanner_;
    std::string incomplete_bytes_;
    bool overflowed_ = false;
};

} // namespace gooseberryfall::serving
