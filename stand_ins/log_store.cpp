#include "stand_ins/log_store.hpp"

#include "platform/names.hpp"

#include <boost/json.hpp>
#include <openssl/evp.h>

namespace gooseberryfall::stand_ins {

namespace {

namespace json = boost::json;
namespace names = adapter::names;

constexpr std::size_t page_size = 500;
constexpr std::size_t page_bytes_max = 1U << 20U;

http::response json_response(unsigned status, const json::object& body)
{
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

std::uint64_t query_number(const http::target_parts& parts, const char* name)
{
    const auto found = parts.query.find(name);
    return found == parts.query.end() ? 0 : std::stoull(found->second);
}

std::string query_text(const http::target_parts& parts, const char* name)
{
    const auto found = parts.query.find(name);
    return found == parts.query.end() ? std::string() : found->second;
}

log_store_state::topic_partition parse_topic_partition(const http::target_parts& parts)
{
    return {query_text(parts, "topic"), static_cast<std::uint32_t>(query_number(parts, "part"))};
}

void append_big_endian(std::string& out, std::uint64_t value, int byte_count)
{
    for (int shift = 8 * (byte_count - 1); shift >= 0; shift -= 8) {
        out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xFFU);
    }
}

std::vector<std::string> split_records(const std::string& body)
{
    std::vector<std::string> new_records;
    std::size_t position = 0;
    while (position + 4 <= body.size()) {
        std::size_t size = 0;
        for (int index = 0; index < 4; ++index) {
            size = size << 8U | static_cast<unsigned char>(body[position++]);
        }
        new_records.push_back(body.substr(position, size));
        position += size;
    }
    return new_records;
}

std::string encode_base64(const std::string& bytes)
{
    // EVP_EncodeBlock appends a terminating zero byte.
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

std::size_t log_store::open_listener()
{
    auto added = std::make_unique<listener>();
    listener& opened = *added;
    http::server_settings settings;
    opened.server = std::make_unique<http::server>(
        loop_, settings,
        http::server_handlers{[this, &opened](const http::request& received,
                                              const std::shared_ptr<http::responder>& caller) {
                                  handle(opened, received, caller);
                              },
                              {}});
    opened.port = opened.server->start().value();
    listeners_.push_back(std::move(added));
    return listeners_.size() - 1;
}

std::string log_store::address(std::size_t listener_index) const
{
    return "127.0.0.1:" + std::to_string(listeners_.at(listener_index)->port);
}

void log_store::set_mode(std::size_t listener_index, listener_mode mode)
{
    listeners_.at(listener_index)->mode = mode;
}

void log_store::set_all_modes(listener_mode mode)
{
    for (const auto& entry : listeners_) {
        entry->mode = mode;
    }
}

std::size_t log_store::key_count(const std::string& topic_substring) const
{
    const std::lock_guard lock(mutex_);
    return state_.key_count(topic_substring);
}

std::set<std::string> log_store::writer_names() const
{
    const std::lock_guard lock(mutex_);
    return state_.writer_names();
}

void log_store::compact()
{
    const std::lock_guard lock(mutex_);
    state_.compact();
}

void log_store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    std::string content(1, static_cast<char>(key.size()));
    content += key + value;
    state_.append({names::compacted_topic_prefix + topic, 0}, {content}, {}, 0, 0);
}

void log_store::handle(listener& receiver, const http::request& received,
                       const std::shared_ptr<http::responder>& caller)
{
    ++call_count_;
    const listener_mode mode = receiver.mode;
    if (mode == listener_mode::rejecting) {
        caller->send({503, {}, {}});
        return;
    }
    if (mode == listener_mode::unresponsive) {
        receiver.unanswered_calls.push_back(caller);
        return;
    }
    const http::response store_response = serve(received);
    if (mode == listener_mode::dropping_responses && is_write(received)) {
        receiver.unanswered_calls.push_back(caller);
        return;
    }
    caller->send(store_response);
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
        return read_latest(*parts);
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
    const auto result = state_.append(parse_topic_partition(parts), split_records(body),
                                      query_text(parts, "producer"), query_number(parts, "epoch"),
                                      query_number(parts, "sequence"));
    if (result.status != 200) {
        return json_response(result.status, {{"why", result.conflict_reason}});
    }
    return json_response(200, {{"offset", result.offset}, {"end", result.end_offset}});
}

http::response log_store::read(const http::target_parts& parts)
{
    const auto log_partition = parse_topic_partition(parts);
    const auto records = state_.read(log_partition, query_number(parts, "from"));
    if (!records) {
        return json_response(410, {{"first", state_.end_offset(log_partition)}});
    }
    std::string body;
    append_big_endian(body, state_.end_offset(log_partition), 8);
    append_big_endian(body, 0, 8);
    for (const auto& record : *records) {
        append_big_endian(body, record.content.size(), 4);
        body += record.content;
    }
    return {200, {{"Content-Type", "application/octet-stream"}}, body};
}

http::response log_store::read_latest(const http::target_parts& parts)
{
    const auto log_partition = parse_topic_partition(parts);
    const auto records =
        state_.read_latest(log_partition, query_text(parts, "after"), page_size, page_bytes_max);
    json::array items;
    for (const auto& record : records) {
        items.push_back(json::object{{"key", record.key},
                                     {"value", encode_base64(record.value)},
                                     {"offset", record.offset}});
    }
    const bool has_more =
        !records.empty() && !state_.read_latest(log_partition, records.back().key, 1, 0).empty();
    return json_response(200, {{"items", std::move(items)},
                               {"more_pages", has_more},
                               {"end", state_.end_offset(log_partition)}});
}

http::response log_store::join(const std::string& body)
{
    const json::object call = json::parse(body).as_object();
    std::vector<std::string> topics;
    for (const json::value& topic : call.at("topics").as_array()) {
        topics.emplace_back(topic.as_string());
    }
    const auto [generation, assigned] = state_.join(
        std::string(call.at("group").as_string()), std::string(call.at("member").as_string()),
        topics, std::chrono::milliseconds(call.at("ttl_ms").to_number<std::int64_t>()),
        log_store_state::clock::now());
    json::array rows;
    for (const auto& [topic, part] : assigned) {
        rows.push_back(json::array{topic, part, 0});
    }
    return json_response(200, {{"generation", generation}, {"parts", std::move(rows)}});
}

http::response log_store::leave(const std::string& body)
{
    const json::object call = json::parse(body).as_object();
    state_.leave(std::string(call.at("group").as_string()),
                 std::string(call.at("member").as_string()));
    return json_response(200, {});
}

} // namespace gooseberryfall::stand_ins
