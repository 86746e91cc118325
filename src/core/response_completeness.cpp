#include "core/response_completeness.hpp"

namespace gooseberryfall::core {

namespace {

// An error is reported by its status; its body need not be whole to be passed on.
bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

response_completeness::response_completeness(const response_shape& shape)
    : checks_events_(shape.is_event_stream && is_success(shape.status)),
      ends_with_connection_(shape.ends_with_connection)
{
}

void response_completeness::feed(std::string_view piece)
{
    if (!checks_events_) {
        return;
    }
    while (const auto read = events_.read_event_end(piece)) {
        piece.remove_prefix(*read);
    }
}

bool response_completeness::is_whole() const
{
    if (!checks_events_) {
        return true;
    }
    const bool may_be_empty = !ends_with_connection_;
    return events_.incomplete_bytes() == 0 && (may_be_empty || events_.has_event());
}

} // namespace gooseberryfall::core
