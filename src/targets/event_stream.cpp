#include "targets/event_stream.hpp"

#include <boost/json.hpp>

#include <utility>

namespace gooseberryfall::targets {

namespace json = boost::json;

namespace {

constexpr std::string_view data_prefix = "data:";
constexpr std::string_view end_mark = "[DONE]";

const json::value* member(const json::value* from, const char* name)
{
    if (from == nullptr || !from->is_object()) {
        return nullptr;
    }
    return from->as_object().if_contains(name);
}

const json::value* first_choice(const json::value& event)
{
    const json::value* choices = member(&event, "choices");
    if (choices == nullptr || !choices->is_array() || choices->as_array().empty()) {
        return nullptr;
    }
    return &choices->as_array().front();
}

} // namespace

void event_stream::feed(std::string_view bytes)
{
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = bytes.find('\n', begin);
        if (end == std::string_view::npos) {
            break;
        }
        if (pending_.empty()) {
            on_line(bytes.substr(begin, end - begin));
        }
        else {
            pending_.append(bytes.substr(begin, end - begin));
            const std::string line = std::exchange(pending_, {});
            on_line(line);
        }
        begin = end + 1;
    }
    if (pending_.size() < event_limit) {
        pending_.append(bytes.substr(begin));
    }
}

void event_stream::on_line(std::string_view line)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (!line.starts_with(data_prefix)) {
        return;
    }
    line.remove_prefix(data_prefix.size());
    while (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    on_data(line);
}

void event_stream::on_data(std::string_view data)
{
    if (data == end_mark) {
        done_ = true;
        return;
    }
    if (!keep_text_) {
        ++pieces_;
        return;
    }
    boost::system::error_code error;
    const json::value event = json::parse({data.data(), data.size()}, error);
    if (error) {
        failed_ = true;
        return;
    }
    if (member(&event, "error") != nullptr) {
        failed_ = true;
        return;
    }
    const json::value* choice = first_choice(event);
    const json::value* content = member(member(choice, "delta"), "content");
    if (content != nullptr && content->is_string()) {
        text_.append(content->as_string().data(), content->as_string().size());
        ++pieces_;
    }
    const json::value* reason = member(choice, "finish_reason");
    if (reason != nullptr && reason->is_string()) {
        finish_reason_.assign(reason->as_string().data(), reason->as_string().size());
    }
    const json::value* usage = member(member(&event, "usage"), "completion_tokens");
    if (usage != nullptr && usage->is_int64() && usage->as_int64() > 0) {
        usage_ = static_cast<std::uint32_t>(usage->as_int64());
    }
}

} // namespace gooseberryfall::targets
