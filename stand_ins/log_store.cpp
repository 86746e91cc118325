#include "stand_ins/log_store.hpp"

#include "platform/names.hpp"

#include <boost/json.hpp>
#include <openssl/evp.h>

namespace gooseberryfall::stand_ins {

namespace {

namespace json = boost::json;
namespace names = adapter::names;

constexpr std::size_t page_size = 500;

http::response json_answer(unsigned status, const json::object& body)
{
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

std::uint64_t number_of(const http::target_parts& parts, const char* name)
{
    const auto found = parts.query.find(name);
    return found == parts.query.end() ? 0 : std::stoull(found->second);
}

std::string text(const http::target_parts& parts, const char* name)
{
    const auto found = parts.query.find(name);
    return found == parts.query.end() ? std::string() : found->second;
}

log_store_state::place place_of(const http::target_parts& parts)
{
    return {text(parts, "topic"), static_cast<std::uint32_t>(number_of(parts, "part"))};
}

void append_big_endian(std::string& out, std::uint64_t value, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xFFU);
    }
}

std::vector<std::string> split_records(const std::string& body)
{
    std::vector<std::string> contents;
    std::size_t position = 0;
    while (position + 4 <= body.size()) {
        std::size_t size = 0;
        for (int index = 0; index < 4; ++index) {
            size = size << 8U | static_cast<unsigned char>(body[position++]);
        }
        contents.push_back(body.substr(position, size));
        position += size;
    }
    return contents;
}

std::string encode_base64(const std::string& bytes)
{
    // EVP_EncodeBlock adds a zero byte.
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

bool is_write(const http::request& received)
{
    return received.method == "POST";
}

} // namespace

log_store::log_store(std::uint32_t partitions) : state_(partitions) {}

std::size_t log_store::open_door()
{
    auto added = std::make_unique<door>();
    door& opened = *added;
    http::server_settings settings;
    opened.server = std::make_unique<http::server>(
        loop_, settings,
        http::server_handlers{[this, &opened](const http::request& received,
                                              const std::shared_ptr<http::responder>& caller) {
                                  handle(opened, received, caller);
                              },
                              {}});
    opened.port = opened.server->start().value();
    doors_.push_back(std::move(added));
    return doors_.size() - 1;
}

std::string log_store::address(std::size_t number) const
{
    return "127.0.0.1:" + std::to_string(doors_.at(number)->port);
}

void log_store::set_mode(std::size_t number, door_mode mode)
{
    doors_.at(number)->mode = mode;
}

void log_store::set_mode_of_all(door_mode mode)
{
    for (const auto& opened : doors_) {
        opened->mode = mode;
    }
}

std::size_t log_store::key_count(const std::string& topics) const
{
    const std::lock_guard lock(mutex_);
    return state_.key_count(topics);
}

std::set<std::string> log_store::writer_names() const
{
    const std::lock_guard lock(mutex_);
    return state_.writer_names();
}

void log_store::forget_history()
{
    const std::lock_guard lock(mutex_);
    state_.forget_history();
}

void log_store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    std::string content(1, static_cast<char>(key.size()));
    content += key + value;
    state_.append({names::compacted_topic_prefix + topic, 0}, {content}, {}, 0, 0);
}

void log_store::handle(door& at, const http::request& received,
                       const std::shared_ptr<http::responder>& caller)
{
    ++calls_;
    const door_mode mode = at.mode;
    if (mode == door_mode::busy) {
        caller->send({503, {}, {}});
        return;
    }
    if (mode == door_mode::silent) {
        at.unanswered.push_back(caller);
        return;
    }
    const http::response answer = serve(received);
    if (mode == door_mode::lossy && is_write(received)) {
        at.unanswered.push_back(caller);
        return;
    }
    caller->send(answer);
}

http::response log_store::serve(const http::request& received)
{
    const auto parts = http::parse_target(received.target);
    if (!parts) {
        return {400, {}, {}};
    }
    const std::lock_guard lock(mutex_);
    if (parts->path == names::append_path) {
        return append(*parts, received.body);
    }
    if (parts->path == names::read_path) {
        return read(*parts);
    }
    if (parts->path == names::read_latest_path) {
        return newest(*parts);
    }
    if (parts->path == names::join_path) {
        return join(received.body);
    }
    if (parts->path == names::leave_path) {
        return leave(received.body);
    }
    return {404, {}, {}};
}

http::response log_store::append(const http::target_parts& parts, const std::string& body)
{
    const auto result = state_.append(place_of(parts), split_records(body), text(parts, "producer"),
                                      number_of(parts, "epoch"), number_of(parts, "sequence"));
    if (result.status != 200) {
        return json_answer(result.status, {{"why", result.why}});
    }
    return json_answer(200, {{"offset", result.offset}, {"end", result.end}});
}

http::response log_store::read(const http::target_parts& parts)
{
    const auto place = place_of(parts);
    const auto records = state_.read(place, number_of(parts, "from"));
    if (!records) {
        return json_answer(410, {{"first", state_.end(place)}});
    }
    std::string body;
    append_big_endian(body, state_.end(place), 8);
    append_big_endian(body, 0, 8);
    for (const auto& record : *records) {
        append_big_endian(body, record.content.size(), 4);
        body += record.content;
    }
    return {200, {{"Content-Type", "application/octet-stream"}}, body};
}

http::response log_store::newest(const http::target_parts& parts)
{
    const auto place = place_of(parts);
    const auto records = state_.newest(place, text(parts, "after"), page_size);
    json::array items;
    for (const auto& record : records) {
        items.push_back(json::object{{"key", record.key},
                                     {"value", encode_base64(record.value)},
                                     {"offset", record.offset}});
    }
    const bool more = records.size() == page_size;
    return json_answer(
        200, {{"items", std::move(items)}, {"more_pages", more}, {"end", state_.end(place)}});
}

http::response log_store::join(const std::string& body)
{
    const json::object call = json::parse(body).as_object();
    std::vector<std::string> topics;
    for (const json::value& topic : call.at("topics").as_array()) {
        topics.emplace_back(topic.as_string());
    }
    const auto [generation, places] = state_.join(
        std::string(call.at("group").as_string()), std::string(call.at("member").as_string()),
        topics, std::chrono::milliseconds(call.at("ttl_ms").to_number<std::int64_t>()),
        log_store_state::clock::now());
    json::array rows;
    for (const auto& [topic, part] : places) {
        rows.push_back(json::array{topic, part, 0});
    }
    return json_answer(200, {{"generation", generation}, {"parts", std::move(rows)}});
}

http::response log_store::leave(const std::string& body)
{
    const json::object call = json::parse(body).as_object();
    state_.leave(std::string(call.at("group").as_string()),
                 std::string(call.at("member").as_string()));
    return json_answer(200, {});
}

} // namespace gooseberryfall::stand_ins
