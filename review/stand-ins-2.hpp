// Stand-ins for the platform's store and for engines, as the users' pages describe them.
#pragma once

#include "http/http.hpp"

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryfall::review {

/// The platform's store: topics with partitions, writers with epochs, and groups whose members
/// share the partitions. It keeps the newest record of each key, and refuses appends with 507 once
/// these take more than its capacity. Thread-safe.
class store {
public:
    explicit store(std::size_t bytes_max) : bytes_max_(bytes_max)
    {
        http::server_settings settings;
        settings.body_limit = 8U << 20U;
        server_ = std::make_unique<http::server>(
            loop_, settings,
            http::server_handlers{[this](const http::request& received,
                                         const std::shared_ptr<http::responder>& caller) {
                                      caller->send(serve(received));
                                  },
                                  {}});
        port_ = server_->start().value();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// Writes the value of a key, as the operator and the engines do.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        std::string content(1, static_cast<char>(key.size()));
        add_record(logs_[{"keyed." + topic, 0}], content + key + value);
    }

    /// Bytes of the newest records.
    std::size_t stored_bytes() const
    {
        const std::lock_guard lock(mutex_);
        return stored_bytes_;
    }

    /// Appends that were refused with 507.
    std::size_t refused_appends() const { return refused_appends_; }

private:
    using partition_id = std::pair<std::string, std::uint32_t>;

    struct last_append {
        std::uint64_t sequence = 0;
        std::uint64_t offset = 0;
        std::uint64_t end = 0;
    };
    struct writer {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::vector<last_append> recent;
    };
    struct partition_log {
        /// Records of the topics that are small enough to be kept; others are read by key only.
        std::vector<std::string> records;
        std::uint64_t first = 0;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
        std::map<std::string, writer> writers;

        std::uint64_t end() const { return first + records.size(); }
    };
    struct group {
        std::uint64_t generation = 0;
        std::map<std::string, std::chrono::steady_clock::time_point> members;
        std::set<std::string> topics;
        std::map<partition_id, std::string> owners;
    };

    static constexpr std::uint32_t partition_count = 8;
    static constexpr std::size_t page_records = 500;
    static constexpr std::size_t page_bytes = 1U << 20U;

    static std::uint64_t number(const http::target_parts& parts, const char* name)
    {
        const auto found = parts.query.find(name);
        return found == parts.query.end() ? 0 : std::stoull(found->second);
    }

    static std::string text(const http::target_parts& parts, const char* name)
    {
        const auto found = parts.query.find(name);
        return found == parts.query.end() ? std::string() : found->second;
    }

    static http::response answer(unsigned status, const boost::json::object& body)
    {
        return {status, {{"Content-Type", "application/json"}}, boost::json::serialize(body)};
    }

    static std::string encode_base64(const std::string& bytes)
    {
        std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                         reinterpret_cast<const unsigned char*>(bytes.data()),
                                         static_cast<int>(bytes.size()));
        out.resize(static_cast<std::size_t>(size));
        return out;
    }

    void add_record(partition_log& log, const std::string& content)
    {
        const std::uint64_t offset = log.end();
        log.records.push_back(content);
        while (log.records.size() > page_records) {
            log.records.erase(log.records.begin());
            ++log.first;
        }
        const std::size_t key_size = static_cast<unsigned char>(content.at(0));
        const std::string key = content.substr(1, key_size);
        const std::string value = content.substr(1 + key_size);
        const auto before = log.newest.find(key);
        if (before != log.newest.end()) {
            stored_bytes_ -= key.size() + before->second.first.size();
            log.newest.erase(before);
        }
        if (!value.empty()) {
            stored_bytes_ += key.size() + value.size();
            log.newest[key] = {value, offset};
        }
    }

    http::response serve(const http::request& received)
    {
        const auto parts = http::parse_target(received.target);
        const std::lock_guard lock(mutex_);
        if (!parts) {
            return {400, {}, {}};
        }
        const partition_id part{text(*parts, "topic"),
                                static_cast<std::uint32_t>(number(*parts, "part"))};
        if (parts->path == "/v1/log-append") {
            return append(logs_[part], *parts, received.body);
        }
        if (parts->path == "/v1/log-read") {
            return read(logs_[part], number(*parts, "from"));
        }
        if (parts->path == "/v1/log-newest") {
            return read_newest(logs_[part], text(*parts, "after"));
        }
        if (parts->path == "/v1/log-join") {
            return join(boost::json::parse(received.body).as_object());
        }
        if (parts->path == "/v1/log-leave") {
            const auto call = boost::json::parse(received.body).as_object();
            group& left = groups_[std::string(call.at("group").as_string())];
            remove_member(left, std::string(call.at("member").as_string()));
            return answer(200, {});
        }
        return {404, {}, {}};
    }

    http::response append(partition_log& log, const http::target_parts& parts,
                          const std::string& body)
    {
        const std::string name = text(parts, "producer");
        const std::uint64_t epoch = number(parts, "epoch");
        const std::uint64_t sequence = number(parts, "sequence");
        if (!name.empty()) {
            writer& previous = log.writers[name];
            if (epoch < previous.epoch) {
                return answer(409, {{"why", "fenced"}});
            }
            if (epoch == previous.epoch && !body.empty()) {
                for (const last_append& repeated : previous.recent) {
                    if (repeated.sequence == sequence) {
                        return answer(200, {{"offset", repeated.offset}, {"end", repeated.end}});
                    }
                }
                if (sequence != previous.sequence + 1) {
                    return answer(409, {{"why", "seq"}, {"sequence", previous.sequence + 1}});
                }
            }
        }
        if (!body.empty() && stored_bytes_ >= bytes_max_) {
            ++refused_appends_;
            return answer(507, {});
        }
        last_append added{sequence, log.end(), 0};
        std::size_t position = 0;
        while (position + 4 <= body.size()) {
            std::size_t size = 0;
            for (int index = 0; index < 4; ++index) {
                size = size << 8U | static_cast<unsigned char>(body[position++]);
            }
            add_record(log, body.substr(position, size));
            position += size;
        }
        added.end = log.end();
        if (!name.empty()) {
            writer& current = log.writers[name];
            if (epoch > current.epoch) {
                current = {};
                current.epoch = epoch;
                current.sequence = sequence;
            }
            if (!body.empty()) {
                current.sequence = sequence;
                current.recent.push_back(added);
                if (current.recent.size() > 5) {
                    current.recent.erase(current.recent.begin());
                }
            }
        }
        return answer(200, {{"offset", added.offset}, {"end", added.end}});
    }

    static http::response read(const partition_log& log, std::uint64_t from)
    {
        if (from < log.first) {
            return answer(410, {{"first", log.first}});
        }
        const auto big_endian = [](std::uint64_t value, int bytes) {
            std::string out;
            for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
                out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xFFU);
            }
            return out;
        };
        std::string body = big_endian(log.end(), 8) + big_endian(log.first, 8);
        for (std::uint64_t offset = from; offset < log.end() && body.size() < page_bytes;
             ++offset) {
            const std::string& content = log.records[offset - log.first];
            body += big_endian(content.size(), 4) + content;
        }
        return {200, {{"Content-Type", "application/octet-stream"}}, body};
    }

    static http::response read_newest(const partition_log& log, const std::string& after)
    {
        boost::json::array items;
        std::size_t bytes = 0;
        auto entry = after.empty() ? log.newest.begin() : log.newest.upper_bound(after);
        for (; entry != log.newest.end() && items.size() < page_records; ++entry) {
            bytes += entry->second.first.size();
            if (!items.empty() && bytes > page_bytes) {
                break;
            }
            items.push_back(boost::json::object{{"key", entry->first},
                                                {"value", encode_base64(entry->second.first)},
                                                {"offset", entry->second.second}});
        }
        return answer(200, {{"items", std::move(items)},
                            {"more_pages", entry != log.newest.end()},
                            {"end", log.end()}});
    }

    static void remove_member(group& changed, const std::string& member)
    {
        changed.generation += changed.members.erase(member);
        std::erase_if(changed.owners, [&](const auto& entry) { return entry.second == member; });
    }

    /// Member that a partition belongs to once its present owner has given it up.
    static std::string wanted_owner(const group& joined, std::size_t index)
    {
        return std::next(joined.members.begin(),
                         static_cast<std::ptrdiff_t>(index % joined.members.size()))
            ->first;
    }

    http::response join(const boost::json::object& call)
    {
        const auto now = std::chrono::steady_clock::now();
        group& joined = groups_[std::string(call.at("group").as_string())];
        const std::string member(call.at("member").as_string());
        std::vector<std::string> silent;
        for (const auto& [name, expires_at] : joined.members) {
            if (expires_at < now) {
                silent.push_back(name);
            }
        }
        for (const std::string& name : silent) {
            remove_member(joined, name);
        }
        joined.generation += joined.members.contains(member) ? 0 : 1;
        joined.members[member] =
            now + std::chrono::milliseconds(call.at("ttl_ms").to_number<std::int64_t>());
        for (const boost::json::value& topic : call.at("topics").as_array()) {
            joined.topics.emplace(topic.as_string());
        }
        const bool knows_generation =
            call.at("generation").to_number<std::uint64_t>() >= joined.generation;
        boost::json::array rows;
        std::size_t index = 0;
        for (const std::string& topic : joined.topics) {
            for (std::uint32_t part = 0; part < partition_count; ++part, ++index) {
                const partition_id id{topic, part};
                const bool wanted = wanted_owner(joined, index) == member;
                const auto owner = joined.owners.find(id);
                if (owner != joined.owners.end() && owner->second == member && !wanted &&
                    knows_generation) {
                    joined.owners.erase(owner);
                }
                if (wanted) {
                    joined.owners.try_emplace(id, member);
                }
                const auto current = joined.owners.find(id);
                if (wanted && current->second == member) {
                    rows.push_back(boost::json::array{topic, part, 0});
                }
            }
        }
        return answer(200, {{"generation", joined.generation}, {"parts", std::move(rows)}});
    }

    std::size_t bytes_max_;
    mutable std::mutex mutex_;
    std::map<partition_id, partition_log> logs_;
    std::map<std::string, group> groups_;
    std::size_t stored_bytes_ = 0;
    std::atomic<std::size_t> refused_appends_{0};
    http::event_loop loop_{"store"};
    std::unique_ptr<http::server> server_;
    std::uint16_t port_ = 0;
};

/// How fast an engine works.
struct engine_pace {
    std::uint32_t slots = 8;
    std::uint32_t events = 237;
    std::chrono::milliseconds event_interval{10};
};

/// A request that an engine ran.
struct engine_run {
    std::string id;
    std::string team;
    std::string path;
    std::chrono::steady_clock::time_point arrived_at{};
    /// The engine crashed under it.
    bool crashed = false;
    /// The engine crashed under another request while it ran this one.
    bool cut_by_crash = false;
    bool finished = false;
};

/// An engine: runs requests in its slots, and answers with a stream of events. Thread-safe.
class engine {
public:
    /// Writes the engine's entry into the store; called at each start on the engine's thread.
    using announcer = std::function<void(const engine&)>;

    engine(std::string id, engine_pace pace, announcer announce)
        : id_(std::move(id)), pace_(pace), announce_(std::move(announce))
    {
        listen();
        announce_(*this);
    }

    ~engine()
    {
        loop_.run_and_wait([this] {
            *alive_ = false;
            server_.reset();
        });
    }

    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;
    engine(engine&&) = delete;
    engine& operator=(engine&&) = delete;

    const std::string& id() const { return id_; }

    /// Entry in the store.
    std::string entry() const
    {
        return boost::json::serialize(
            boost::json::object{{"service", "lm"},
                                {"address", "127.0.0.1:" + std::to_string(port_)},
                                {"zone", "a"},
                                {"version", 1},
                                {"slots", pace_.slots},
                                {"state", "ready"},
                                {"cold_left_ms", 0},
                                {"sequence", 1},
                                {"born", 1000 + lifetime_}});
    }

    /// Crashes when it begins to write an answer to a request with this part in its prompt. It is
    /// back after `down_time`.
    void crash_on_part(const std::string& part, std::chrono::milliseconds down_time)
    {
        const std::lock_guard lock(mutex_);
        crashing_part_ = part;
        down_time_ = down_time;
    }

    /// Answers each item with events that don't end until the caller closes the connection.
    void answer_without_end(std::chrono::milliseconds interval)
    {
        const std::lock_guard lock(mutex_);
        endless_interval_ = interval;
    }

    /// Ends the body of one of so many answers inside the event with this id.
    void truncate_at(std::uint32_t event, std::size_t period)
    {
        const std::lock_guard lock(mutex_);
        truncated_event_ = event;
        truncation_period_ = period;
    }

    std::vector<engine_run> runs() const
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

    std::uint32_t running() const
    {
        const std::lock_guard lock(mutex_);
        return running_;
    }

private:
    struct stream {
        std::shared_ptr<http::responder> caller;
        std::string path;
        http::header_fields headers;
        std::size_t run = 0;
        std::uint32_t next_event = 0;
        bool ended = false;
        bool crashes = false;
    };

    /// Time before the first event.
    static constexpr std::chrono::milliseconds prefill_time{20};
    static constexpr std::size_t endless_event_bytes = 1000;
    static constexpr std::size_t endless_piece_bytes = 60000;

    void listen()
    {
        http::server_settings settings;
        settings.port = port_;
        settings.header_limit = 1U << 20U;
        settings.body_limit = 64U << 20U;
        server_ = std::make_unique<http::server>(
            loop_, settings,
            http::server_handlers{[this](const http::request& received,
                                         const std::shared_ptr<http::responder>& caller) {
                                      handle(received, caller);
                                  },
                                  {}});
        port_ = server_->start().value();
    }

    void handle(const http::request& received, const std::shared_ptr<http::responder>& caller)
    {
        const std::string run_id = received.headers.get("X-Gooseberryfall-Request-Id");
        const std::string* expected = received.headers.find("X-Gooseberryfall-Expect-Instance");
        if (expected != nullptr && *expected != id_) {
            caller->send({421, {{"X-Gooseberryfall-Instance-Id", id_}}, {}});
            return;
        }
        if (received.method == "GET") {
            caller->send({200, {{"X-Gooseberryfall-Instance-Id", id_}}, {}});
            return;
        }
        auto started = std::make_shared<stream>();
        {
            const std::lock_guard lock(mutex_);
            if (run_id.empty() || running_ >= pace_.slots) {
                caller->send({run_id.empty() ? 400U : 503U,
                              {{"X-Gooseberryfall-Not-Executed", "1"},
                               {"X-Gooseberryfall-Request-Id", run_id}},
                              {}});
                return;
            }
            ++running_;
            const std::string parts = received.headers.get("X-Gooseberryfall-Prompt-Prefix");
            started->crashes = !crashing_part_.empty() &&
                               (',' + parts).find(',' + crashing_part_ + ':') != std::string::npos;
            runs_.push_back({run_id, received.headers.get("X-Gooseberryfall-Tenant"),
                             received.target, std::chrono::steady_clock::now()});
            started->run = runs_.size() - 1;
        }
        started->caller = caller;
        started->path = received.target;
        started->headers = {{"X-Gooseberryfall-Request-Id", run_id},
                            {"X-Gooseberryfall-Response-Signature", "s-" + run_id},
                            {"Content-Type", "text/event-stream"}};
        const std::string resume_after = received.headers.get("Last-Event-Id");
        started->next_event =
            resume_after.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(resume_after) + 1);
        caller->when_ended([this, alive = alive_, started](bool) {
            if (*alive) {
                end(*started, false);
            }
        });
        loop_.post_after(prefill_time, [this, alive = alive_, started] {
            if (*alive && !started->ended) {
                begin_answer(started);
            }
        });
        streams_.push_back(started);
        std::erase_if(streams_, [](const auto& each) { return each->ended; });
    }

    void begin_answer(const std::shared_ptr<stream>& started)
    {
        if (started->crashes) {
            {
                const std::lock_guard lock(mutex_);
                runs_[started->run].crashed = true;
            }
            crash();
            return;
        }
        started->caller->start({200, started->headers});
        std::optional<std::chrono::milliseconds> endless;
        {
            const std::lock_guard lock(mutex_);
            endless = endless_interval_;
        }
        if (endless) {
            send_endlessly(started, *endless);
            return;
        }
        send_next_event(started);
    }

    void send_endlessly(const std::shared_ptr<stream>& active, std::chrono::milliseconds interval)
    {
        std::string events;
        while (events.size() < endless_piece_bytes) {
            events += "id: " + std::to_string(active->next_event++) +
                      "\ndata: " + std::string(endless_event_bytes, 'x') + "\n\n";
        }
        active->caller->write(std::move(events));
        loop_.post_after(interval, [this, alive = alive_, active, interval] {
            if (*alive && !active->ended) {
                active->caller->when_writable(
                    [this, active, interval] { send_endlessly(active, interval); });
            }
        });
    }

    void crash()
    {
        for (const auto& each : std::exchange(streams_, {})) {
            const bool was_running = !each->ended;
            end(*each, false);
            const std::lock_guard lock(mutex_);
            runs_[each->run].cut_by_crash = was_running && !each->crashes;
        }
        server_.reset();
        loop_.post_after(down_time_, [this, alive = alive_] {
            if (*alive) {
                ++lifetime_;
                listen();
                announce_(*this);
            }
        });
    }

    void send_next_event(const std::shared_ptr<stream>& active)
    {
        if (active->ended) {
            return;
        }
        if (active->next_event >= pace_.events) {
            end(*active, true);
            active->caller->finish();
            return;
        }
        const std::string event = std::to_string(active->next_event);
        std::optional<std::uint32_t> truncated;
        {
            const std::lock_guard lock(mutex_);
            if (active->run % truncation_period_ == truncation_period_ - 1) {
                truncated = truncated_event_;
            }
        }
        if (truncated == active->next_event) {
            active->caller->write("id: " + event + "\ndata: " + active->path.substr(0, 4));
            end(*active, false);
            active->caller->finish();
            return;
        }
        active->caller->write("id: " + event + "\ndata: " + active->path + '#' + event + "\n\n");
        ++active->next_event;
        loop_.post_after(pace_.event_interval, [this, alive = alive_, active] {
            if (*alive) {
                send_next_event(active);
            }
        });
    }

    void end(stream& active, bool finished)
    {
        const std::lock_guard lock(mutex_);
        if (!active.ended) {
            active.ended = true;
            --running_;
            runs_[active.run].finished = finished;
        }
    }

    std::string id_;
    engine_pace pace_;
    announcer announce_;
    mutable std::mutex mutex_;
    std::vector<engine_run> runs_;
    std::uint32_t running_ = 0;
    std::string crashing_part_;
    std::chrono::milliseconds down_time_{0};
    std::optional<std::chrono::milliseconds> endless_interval_;
    std::optional<std::uint32_t> truncated_event_;
    std::size_t truncation_period_ = 1;
    std::vector<std::shared_ptr<stream>> streams_;
    /// Number of earlier processes of this engine.
    std::uint64_t lifetime_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    http::event_loop loop_{"engine"};
    std::unique_ptr<http::server> server_;
    std::uint16_t port_ = 0;
};

} // namespace gooseberryfall::review
