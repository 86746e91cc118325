#include "serving/event_splitter.hpp"

#include "core/numbers.hpp"

namespace gooseberryfall::serving {

namespace {

/// Value of a line `name: value`, or nothing if the line has another field.
std::optional<std::string_view> field_value(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':') {
        return std::nullopt;
    }
    std::string_view value = line.substr(name.size() + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

void parse_line(std::string_view line, stream_event& event, bool& has_data)
{
    if (const auto id = field_value(line, "id")) {
        // An id that is not a number leaves the previous id unchanged.
        if (const auto number = core::parse_number<std::uint64_t>(*id)) {
            event.id = number;
        }
    }
    else if (const auto data = field_value(line, "data")) {
        event.data += has_data ? "\n" : "";
        event.data += *data;
        has_data = true;
    }
}

/// Returns the line that ends at `end`, without its line break.
std::string_view line_between(std::string_view text, std::size_t begin, std::size_t end)
{
    std::string_view line = text.substr(begin, end - begin);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

/// Parses a complete event with the empty line at its end.
stream_event parse_event(std::string_view text)
{
    stream_event event;
    event.bytes = text;
    bool has_data = false;
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string_view::npos;
         end = text.find('\n', begin)) {
        parse_line(line_between(text, begin, end), event, has_data);
        begin = end + 1;
    }
    return event;
}

} // namespace

std::vector<stream_event> event_splitter::feed(std::string_view bytes)
{
    std::vector<stream_event> events;
    if (overflowed_) {
        return events;
    }
    while (const auto read = scanner_.read_event_end(bytes)) {
        incomplete_bytes_ += bytes.substr(0, *read);
        events.push_back(parse_event(incomplete_bytes_));
        incomplete_bytes_.clear();
        bytes.remove_prefix(*read);
    }
    incomplete_bytes_ += bytes;
    if (incomplete_bytes_.size() > bytes_max_) {
        overflowed_ = true;
        incomplete_bytes_ = std::string();
    }
    return events;
}

} // namespace gooseberryfall::serving
