#pragma once

// Stand-in for the platform's store: topics with partitions, writers with epochs, compacted reads
// and groups.

#include "net.hpp"

#include <boost/json.hpp>

#include <deque>
#include <set>

namespace review {

namespace json = boost::json;

inline std::string encode_base64(std::string_view bytes)
{
    constexpr const char* letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t begin = 0; begin < bytes.size(); begin += 3) {
        const std::string_view group = bytes.substr(begin, 3);
        std::uint32_t bits = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            bits =
                bits << 8U | (index < group.size() ? static_cast<unsigned char>(group[index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            out += index <= group.size() ? letters[bits >> (18U - 6U * index) & 63U] : '=';
        }
    }
    return out;
}

class store {
public:
    explicit store(std::uint32_t partitions)
        : partitions_(partitions), server_([this](int socket, const received_request& request) {
              return send_all(socket, serve(request));
          })
    {
    }

    const std::string& address() const { return server_.address(); }

    /// Writes a record of the operator or of an engine; an empty value deletes the key.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        add_record(logs_[{topic, 0}], key, value);
    }

    /// Deals all partitions anew at once, as the pages say it happens at times: each goes to the
    /// next member.
    void deal_anew()
    {
        const std::lock_guard lock(mutex_);
        ++rotation_;
        for (auto& [name, each] : groups_) {
            ++each.generation;
            each.holders.clear();
        }
    }

private:
    static constexpr std::size_t page_records = 500;
    static constexpr std::size_t page_bytes = 1000000;
    static constexpr std::size_t repeats_kept = 5;

    struct writer {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        /// Responses to the last appends, by sequence.
        std::deque<std::pair<std::uint64_t, std::string>> responses;
    };
    struct partition_log {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
        std::map<std::string, writer> writers;
    };
    using partition_key = std::pair<std::string, std::uint32_t>;
    struct group {
        std::uint64_t generation = 0;
        std::map<std::string, steady_clock::time_point> members;
        std::set<std::string> topics;
        std::map<partition_key, std::string> holders;
    };

    static void add_record(partition_log& log, const std::string& key, const std::string& value)
    {
        if (value.empty()) {
            log.newest.erase(key);
        }
        else {
            log.newest[key] = {value, log.records.size()};
        }
        log.records.push_back(std::string(1, static_cast<char>(key.size())) + key + value);
    }

    static std::map<std::string, std::string> parse_query(const std::string& target)
    {
        std::map<std::string, std::string> query;
        std::size_t begin = target.find('?');
        while (begin != std::string::npos) {
            const std::size_t end = target.find('&', begin + 1);
            const std::string field = target.substr(begin + 1, end - begin - 1);
            const std::size_t equals = field.find('=');
            std::string value;
            for (std::size_t index = equals + 1; index < field.size(); ++index) {
                if (field[index] == '%') {
                    value += static_cast<char>(std::stoi(field.substr(index + 1, 2), nullptr, 16));
                    index += 2;
                }
                else {
                    value += field[index];
                }
            }
            query[field.substr(0, equals)] = value;
            begin = end;
        }
        return query;
    }

    static std::uint64_t number(const std::map<std::string, std::string>& query, const char* name)
    {
        const auto found = query.find(name);
        return found == query.end() || found->second.empty() ? 0 : std::stoull(found->second);
    }

    static void put_number(std::string& out, std::uint64_t value, int bytes)
    {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            out += static_cast<char>(value >> static_cast<unsigned>(shift) & 255U);
        }
    }

    std::string serve(const received_request& request)
    {
        const std::string path = request.target.substr(0, request.target.find('?'));
        const auto query = parse_query(request.target);
        const auto topic = query.find("topic");
        const partition_key key{topic == query.end() ? "" : topic->second,
                                static_cast<std::uint32_t>(number(query, "part"))};
        const std::lock_guard lock(mutex_);
        if (path == "/v1/log-append") {
            return append(logs_[key], query, request.body);
        }
        if (path == "/v1/log-read") {
            return read(logs_[key], number(query, "from"));
        }
        if (path == "/v1/log-newest") {
            const auto after = query.find("after");
            return read_newest(logs_[key], after == query.end() ? "" : after->second);
        }
        if (path == "/v1/log-join") {
            return join(json::parse(request.body).as_object());
        }
        if (path == "/v1/log-leave") {
            return leave(json::parse(request.body).as_object());
        }
        return make_response(404, "{}");
    }

    static std::string append(partition_log& log, const std::map<std::string, std::string>& query,
                              const std::string& body)
    {
        const auto producer = query.find("producer");
        writer* from = producer == query.end() ? nullptr : &log.writers[producer->second];
        const std::uint64_t epoch = number(query, "epoch");
        const std::uint64_t sequence = number(query, "sequence");
        if (from != nullptr) {
            if (epoch < from->epoch) {
                return make_response(409, R"({"why":"fenced"})");
            }
            if (epoch == from->epoch) {
                for (const auto& [earlier, response] : from->responses) {
                    if (earlier == sequence) {
                        return response;
                    }
                }
                if (sequence != from->sequence + 1) {
                    return make_response(409, R"({"why":"seq","sequence":)" +
                                                  std::to_string(from->sequence + 1) + "}");
                }
            }
            else {
                from->responses.clear();
            }
            from->epoch = epoch;
            from->sequence = sequence;
        }
        const std::size_t offset = log.records.size();
        std::size_t position = 0;
        while (position + 4 <= body.size()) {
            std::size_t size = 0;
            for (int index = 0; index < 4; ++index) {
                size = size << 8U | static_cast<unsigned char>(body[position++]);
            }
            const std::string record = body.substr(position, size);
            position += size;
            const auto key_size = static_cast<unsigned char>(record.at(0));
            add_record(log, record.substr(1, key_size), record.substr(1 + key_size));
        }
        const std::string response =
            make_response(200, R"({"offset":)" + std::to_string(offset) + R"(,"end":)" +
                                   std::to_string(log.records.size()) + "}");
        if (from != nullptr) {
            from->responses.emplace_back(sequence, response);
            if (from->responses.size() > repeats_kept) {
                from->responses.pop_front();
            }
        }
        return response;
    }

    static std::string read(const partition_log& log, std::size_t from)
    {
        std::string body;
        put_number(body, log.records.size(), 8);
        put_number(body, 0, 8);
        for (std::size_t index = from; index < log.records.size() && body.size() < page_bytes;
             ++index) {
            put_number(body, log.records[index].size(), 4);
            body += log.records[index];
        }
        return make_response(200, body);
    }

    static std::string read_newest(const partition_log& log, const std::string& after)
    {
        json::array items;
        std::size_t bytes = 0;
        auto entry = log.newest.upper_bound(after);
        for (; entry != log.newest.end() && items.size() < page_records; ++entry) {
            const std::string value = encode_base64(entry->second.first);
            bytes += value.size() + entry->first.size();
            if (!items.empty() && bytes > page_bytes) {
                break;
            }
            items.push_back(json::object{
                {"key", entry->first}, {"value", value}, {"offset", entry->second.second}});
        }
        const json::object body{{"items", std::move(items)},
                                {"more_pages", entry != log.newest.end()},
                                {"end", log.records.size()}};
        return make_response(200, json::serialize(body));
    }

    void drop_member(group& from, const std::string& member)
    {
        if (from.members.erase(member) > 0) {
            ++from.generation;
            std::erase_if(from.holders, [&](const auto& entry) { return entry.second == member; });
        }
    }

    std::string join(const json::object& call)
    {
        const std::string member(call.at("member").as_string());
        group& joined = groups_[std::string(call.at("group").as_string())];
        const auto now = steady_clock::now();
        std::vector<std::string> expired;
        for (const auto& [name, until] : joined.members) {
            if (until < now) {
                expired.push_back(name);
            }
        }
        for (const std::string& name : expired) {
            drop_member(joined, name);
        }
        joined.generation += joined.members.contains(member) ? 0 : 1;
        joined.members[member] = now + milliseconds(call.at("ttl_ms").to_number<std::int64_t>());
        for (const json::value& topic : call.at("topics").as_array()) {
            joined.topics.emplace(topic.as_string());
        }
        const bool knows_generation =
            call.at("generation").to_number<std::uint64_t>() >= joined.generation;
        json::array rows;
        std::size_t index = 0;
        for (const std::string& topic : joined.topics) {
            for (std::uint32_t part = 0; part < partitions_; ++part, ++index) {
                const auto target = std::next(
                    joined.members.begin(),
                    static_cast<std::ptrdiff_t>((index + rotation_) % joined.members.size()));
                std::string& holder = joined.holders[{topic, part}];
                if (target->first != member) {
                    holder = holder == member && knows_generation ? std::string() : holder;
                }
                else if (holder.empty() || holder == member) {
                    holder = member;
                    rows.push_back(json::array{topic, part, 0});
                }
            }
        }
        return make_response(200, json::serialize(json::object{{"generation", joined.generation},
                                                               {"parts", std::move(rows)}}));
    }

    std::string leave(const json::object& call)
    {
        drop_member(groups_[std::string(call.at("group").as_string())],
                    std::string(call.at("member").as_string()));
        return make_response(200, "{}");
    }

    std::uint32_t partitions_;
    std::mutex mutex_;
    std::size_t rotation_ = 0;
    std::map<partition_key, partition_log> logs_;
    std::map<std::string, group> groups_;
    raw_server server_;
};

} // namespace review
