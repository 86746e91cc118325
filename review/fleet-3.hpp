// Stand-ins and helpers of the review's scripts: the platform's store with groups as its page
// describes them, daemons as separate processes, and clients of jobs.
#pragma once

#include "../platform/names.hpp"
#include "../src/http/http.hpp"
#include "../stand_ins/log_store_state.hpp"
#include "../stand_ins/model_engine.hpp"

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

namespace gooseberryfall::review {

namespace json = boost::json;
namespace names = adapter::names;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr const char* host = "review.example";
constexpr const char* program = "target/platform/gooseberryfall-platform";

/// Bounds of the sites `torsyq-ops` and `verbeke-proofs`.
constexpr milliseconds config_apply{2000};
constexpr milliseconds stable_window{3000};
constexpr milliseconds settle{1000};
constexpr milliseconds finish_time{18000};

/// Writes each line with the time since the start to `record.txt` and to the standard output.
/// Thread-safe.
class record_file {
public:
    explicit record_file(const std::string& path)
        : out_(path, std::ios::trunc), started_at_(steady_clock::now())
    {
    }

    void write(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        std::ostringstream line;
        line << since_start(steady_clock::now()) << " ms  " << text << '\n';
        out_ << line.str() << std::flush;
        std::cout << line.str() << std::flush;
    }

    long since_start(steady_clock::time_point at) const
    {
        return static_cast<long>(
            std::chrono::duration_cast<milliseconds>(at - started_at_).count());
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady_clock::time_point started_at_;
};

/// Members of one group of the store, and who holds each partition. A partition that is taken from
/// a member passes to the next one when the first has joined with the generation that no longer
/// listed it, has left, or has been silent for its time to live. Not thread-safe.
class member_group {
public:
    using topic_partition = std::pair<std::string, std::uint32_t>;

    explicit member_group(std::uint32_t partitions) : partitions_(partitions) {}

    std::pair<std::uint64_t, std::vector<topic_partition>> join(const std::string& member,
                                                                const std::set<std::string>& topics,
                                                                milliseconds lifetime,
                                                                std::uint64_t generation)
    {
        expire(steady_clock::now());
        const bool is_new = !members_.contains(member);
        members_[member] = steady_clock::now() + lifetime;
        const bool has_new_topic = std::ranges::any_of(
            topics, [this](const auto& topic) { return topics_.insert(topic).second; });
        if (is_new || has_new_topic) {
            deal();
        }
        std::vector<topic_partition> listed;
        for (auto& [partition, state] : states_) {
            if (state.holder == member && state.target != member && state.unlisted_in > 0 &&
                generation >= state.unlisted_in) {
                state.holder.clear();
            }
            if (state.holder == member && state.target != member && state.unlisted_in == 0) {
                state.unlisted_in = generation_;
            }
            if (state.holder.empty() && state.target == member) {
                state.holder = member;
                state.unlisted_in = 0;
            }
            if (state.holder == member && state.target == member) {
                listed.push_back(partition);
            }
        }
        return {generation_, listed};
    }

    bool leave(const std::string& member)
    {
        expire(steady_clock::now());
        if (members_.erase(member) == 0) {
            return false;
        }
        drop(member);
        deal();
        return true;
    }

private:
    struct partition_state {
        std::string holder;
        std::string target;
        /// Generation that no longer listed the partition to its holder; 0: none.
        std::uint64_t unlisted_in = 0;
    };

    void drop(const std::string& member)
    {
        for (auto& [partition, state] : states_) {
            if (state.holder == member) {
                state.holder.clear();
                state.unlisted_in = 0;
            }
        }
    }

    void expire(steady_clock::time_point now)
    {
        bool changed = false;
        for (auto entry = members_.begin(); entry != members_.end();) {
            if (entry->second >= now) {
                ++entry;
                continue;
            }
            drop(entry->first);
            entry = members_.erase(entry);
            changed = true;
        }
        if (changed) {
            deal();
        }
    }

    /// Deals the partitions evenly; a member keeps those that it has, as far as its part goes.
    void deal()
    {
        ++generation_;
        for (const std::string& topic : topics_) {
            for (std::uint32_t part = 0; part < partitions_; ++part) {
                states_.try_emplace({topic, part});
            }
        }
        if (members_.empty()) {
            return;
        }
        const std::size_t most = (states_.size() + members_.size() - 1) / members_.size();
        std::map<std::string, std::size_t> counts;
        std::vector<partition_state*> open;
        for (auto& [partition, state] : states_) {
            const bool keeps = members_.contains(state.holder) && counts[state.holder] < most;
            if (keeps) {
                state.target = state.holder;
                ++counts[state.holder];
            }
            else {
                open.push_back(&state);
            }
        }
        for (partition_state* state : open) {
            const auto least = std::ranges::min_element(
                members_, {}, [&](const auto& entry) { return counts[entry.first]; });
            state->target = least->first;
            ++counts[least->first];
        }
        for (auto& [partition, state] : states_) {
            if (state.holder == state.target) {
                state.unlisted_in = 0;
            }
        }
    }

    std::uint32_t partitions_;
    std::uint64_t generation_ = 0;
    std::set<std::string> topics_;
    std::map<std::string, steady_clock::time_point> members_;
    std::map<topic_partition, partition_state> states_;
};

/// The platform's store over HTTP. Thread-safe.
class platform_store {
public:
    explicit platform_store(std::uint32_t partitions) : log_(partitions), group_(partitions)
    {
        http::server_settings settings;
        settings.body_limit = 64U << 20U;
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

    /// Writes a record as the operator and the engines do.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        std::string content(1, static_cast<char>(key.size()));
        content += key + value;
        log_.append({names::compacted_topic_prefix + topic, 0}, {content}, {}, 0, 0);
    }

private:
    static http::response respond(unsigned status, const json::object& body)
    {
        return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
    }

    static std::string text_of(const http::target_parts& parts, const char* name)
    {
        const auto found = parts.query.find(name);
        return found == parts.query.end() ? std::string() : found->second;
    }

    static std::uint64_t number_of(const http::target_parts& parts, const char* name)
    {
        const std::string text = text_of(parts, name);
        return text.empty() ? 0 : std::stoull(text);
    }

    static void append_number(std::string& out, std::uint64_t value, int bytes)
    {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xFFU);
        }
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

    static std::vector<std::string> split_records(const std::string& body)
    {
        std::vector<std::string> records;
        for (std::size_t at = 0; at + 4 <= body.size();) {
            std::size_t size = 0;
            for (int index = 0; index < 4; ++index) {
                size = size << 8U | static_cast<unsigned char>(body[at++]);
            }
            records.push_back(body.substr(at, size));
            at += size;
        }
        return records;
    }

    http::response serve(const http::request& received)
    {
        const auto parts = http::parse_target(received.target);
        if (!parts) {
            return {400, {}, {}};
        }
        const std::lock_guard lock(mutex_);
        const stand_ins::log_store_state::topic_partition partition{
            text_of(*parts, "topic"), static_cast<std::uint32_t>(number_of(*parts, "part"))};
        if (parts->path == names::append_path) {
            const auto result =
                log_.append(partition, split_records(received.body), text_of(*parts, "producer"),
                            number_of(*parts, "epoch"), number_of(*parts, "sequence"));
            return result.status == 200
                       ? respond(200, {{"offset", result.offset}, {"end", result.end_offset}})
                       : respond(result.status, {{"why", result.conflict_reason}});
        }
        if (parts->path == names::read_path) {
            return read(partition, number_of(*parts, "from"));
        }
        if (parts->path == names::read_latest_path) {
            return read_newest(partition, text_of(*parts, "after"));
        }
        if (parts->path == names::join_path) {
            return join(json::parse(received.body).as_object());
        }
        if (parts->path == names::leave_path) {
            const json::object call = json::parse(received.body).as_object();
            const bool known = group_.leave(std::string(call.at("member").as_string()));
            return respond(known ? 200 : 404, {});
        }
        return {404, {}, {}};
    }

    http::response read(const stand_ins::log_store_state::topic_partition& partition,
                        std::uint64_t from)
    {
        const auto records = log_.read(partition, from);
        if (!records) {
            return respond(410, {{"first", log_.end_offset(partition)}});
        }
        std::string body;
        append_number(body, log_.end_offset(partition), 8);
        append_number(body, 0, 8);
        for (const auto& record : *records) {
            append_number(body, record.content.size(), 4);
            body += record.content;
        }
        return {200, {{"Content-Type", "application/octet-stream"}}, body};
    }

    http::response read_newest(const stand_ins::log_store_state::topic_partition& partition,
                               const std::string& after)
    {
        constexpr std::size_t page_records = 500;
        constexpr std::size_t page_bytes = 1U << 20U;
        const auto records = log_.read_latest(partition, after, page_records, page_bytes);
        json::array items;
        for (const auto& record : records) {
            items.push_back(json::object{{"key", record.key},
                                         {"value", encode_base64(record.value)},
                                         {"offset", record.offset}});
        }
        const bool more =
            !records.empty() && !log_.read_latest(partition, records.back().key, 1, 0).empty();
        return respond(200, {{"items", std::move(items)},
                             {"more_pages", more},
                             {"end", log_.end_offset(partition)}});
    }

    http::response join(const json::object& call)
    {
        std::set<std::string> topics;
        for (const json::value& topic : call.at("topics").as_array()) {
            topics.emplace(topic.as_string());
        }
        const auto [generation, listed] =
            group_.join(std::string(call.at("member").as_string()), topics,
                        milliseconds(call.at("ttl_ms").to_number<std::int64_t>()),
                        call.at("generation").to_number<std::uint64_t>());
        json::array rows;
        for (const auto& [topic, part] : listed) {
            rows.push_back(json::array{topic, part, 0});
        }
        return respond(200, {{"generation", generation}, {"parts", std::move(rows)}});
    }

    std::mutex mutex_;
    stand_ins::log_store_state log_;
    member_group group_;
    http::event_loop loop_{"store"};
    std::unique_ptr<http::server> server_;
    std::uint16_t port_ = 0;
};

/// Daemons as separate processes, started with the command of the deploy file. Their settings and
/// logs are in a temporary folder, which is removed at the end, as all processes are.
class daemons {
public:
    /// `capacities`: processor share of each machine.
    daemons(const std::vector<double>& capacities, const platform_store& store, record_file& record)
        : record_(record), processes_(capacities.size(), -1)
    {
        std::string folder =
            (std::filesystem::temp_directory_path() / "gooseberryfall-review-XXXXXX").string();
        if (::mkdtemp(folder.data()) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        folder_ = folder;
        for (std::size_t index = 0; index < size(); ++index) {
            std::ofstream(settings_path(index))
                << settings(index, capacities[index], store.address());
        }
    }

    ~daemons()
    {
        for (std::size_t index = 0; index < processes_.size(); ++index) {
            kill(index);
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(folder_, ignored);
        }
        else {
            std::cout << "logs in " << folder_ << '\n';
        }
    }

    daemons(const daemons&) = delete;
    daemons& operator=(const daemons&) = delete;
    daemons(daemons&&) = delete;
    daemons& operator=(daemons&&) = delete;

    std::size_t size() const { return processes_.size(); }

    /// Address of a daemon's listener for callers.
    std::string front(std::size_t index) const { return address(index, 7461); }

    void start(std::size_t index)
    {
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        const std::string log = folder_ + "/" + std::to_string(index) + ".log";
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        std::string name = program;
        std::array<char*, 2> arguments{name.data(), nullptr};
        std::string boot = "GOOSEBERRYFALL_BOOT=" + settings_path(index);
        std::string path = "PATH=/usr/bin:/bin";
        std::array<char*, 3> environment{boot.data(), path.data(), nullptr};
        const int error = ::posix_spawn(&processes_[index], program, &actions, nullptr,
                                        arguments.data(), environment.data());
        posix_spawn_file_actions_destroy(&actions);
        if (error != 0) {
            processes_[index] = -1;
            throw std::runtime_error("cannot start a daemon");
        }
        record_.write("daemon " + std::to_string(index) + " started");
    }

    void start_all()
    {
        for (std::size_t index = 0; index < size(); ++index) {
            start(index);
        }
    }

    void signal(std::size_t index, int number, const std::string& text)
    {
        ::kill(processes_[index], number);
        record_.write("daemon " + std::to_string(index) + " " + text);
    }

    void kill(std::size_t index)
    {
        if (processes_[index] > 0) {
            ::kill(processes_[index], SIGKILL);
            ::waitpid(processes_[index], nullptr, 0);
            processes_[index] = -1;
            record_.write("daemon " + std::to_string(index) + " killed");
        }
    }

    /// Waits until all daemons answer the platform's question with 200.
    bool wait_until_ready() const
    {
        const auto end = steady_clock::now() + seconds(15);
        for (std::size_t index = 0; index < size(); ++index) {
            while (
                http::call(address(index, 7462), "GET", names::readiness_path, {}, {}, seconds(1))
                    .head.status != 200) {
                if (steady_clock::now() > end) {
                    return false;
                }
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
        return true;
    }

    /// Daemon that places work for all, by its metrics; nothing if none does.
    std::optional<std::size_t> leader() const
    {
        for (std::size_t index = 0; index < size(); ++index) {
            const auto metrics =
                http::call(address(index, 7460), "GET", "/metrics", {}, {}, seconds(1));
            if (metrics.body.find("\nfleet_leads 1") != std::string::npos) {
                return index;
            }
        }
        return std::nullopt;
    }

private:
    static std::string address(std::size_t index, int port)
    {
        // The process id selects the addresses, so that concurrent scripts use different ones.
        const auto id = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(100 + id % 100) + '.' + std::to_string(id / 100 % 250) +
               '.' + std::to_string(index + 1) + ':' + std::to_string(port);
    }

    std::string settings_path(std::size_t index) const
    {
        return folder_ + "/" + std::to_string(index) + ".toml";
    }

    /// The template of the deploy file, filled in with the bounds of a small site.
    static std::string settings(std::size_t index, double capacity, const std::string& store)
    {
        std::ostringstream out;
        out << "[instance]\nname = \"edge-" << index
            << "\"\ndata_centre = \"a\"\ncapacity = " << capacity
            << "\nmemory_mb = " << (capacity < 0.5 ? 160 : 280) << "\nmax_fds = 4100\n"
            << "[listen]\ncallers = \"" << address(index, 7461) << "\"\nreadiness = \""
            << address(index, 7462) << "\"\ndirectory = \"" << address(index, 7463)
            << "\"\ninstances = \"" << address(index, 7460) << "\"\n[store]\naddress = \"" << store
            << "\"\npartitions = 8\nrecord_bytes = 262144\ncall_bytes = 2097152\n"
            << "membership_min_ms = 1000\n[bounds]\nstate_in_force_ms = " << config_apply.count()
            << "\nlimit_window_s = 5\nlimit_overage = 0.1\nlimit_slack = 20\n"
            << "results_kept_s = 120\ndirectory_lifetime_max_s = 5\nleave_s = 8\n";
        return out.str();
    }

    record_file& record_;
    std::vector<pid_t> processes_;
    std::string folder_;
};

/// Entry of an engine in the store for this service.
inline std::string engine_entry(const stand_ins::model_engine& engine, const std::string& service)
{
    json::object entry = json::parse(engine.target_entry()).as_object();
    entry["service"] = service;
    return json::serialize(entry);
}

inline json::object make_route(const std::string& name, const std::string& kind,
                               const std::string& service)
{
    json::object route{
        {"name", name},       {"host", host},       {"path_prefix", "/" + name + "/"},
        {"kind", kind},       {"service", service}, {"timeout_ms", 5000},
        {"goal_ms", 500},     {"attempts", 3},      {"priority", 0},
        {"resumable", false}, {"sticky", true}};
    if (kind == "batch") {
        route["timeout_ms"] = 15000;
        route["resumable"] = true;
        route["retention_s"] = 60;
        route["result_target_ms"] = 18000;
        route["cap"] = 760000;
    }
    return route;
}

/// Key and name of the tenant with this number.
inline std::string tenant_key(int number)
{
    return "key-of-tenant-" + std::to_string(number);
}

inline std::string make_config(std::uint64_t version, json::array routes, json::array services,
                               int tenants)
{
    json::array tenant_list;
    for (int number = 0; number < tenants; ++number) {
        tenant_list.push_back(json::object{{"name", "tenant-" + std::to_string(number)},
                                           {"api_keys", json::array{tenant_key(number)}},
                                           {"rate_per_s", 0},
                                           {"burst", 0}});
    }
    return json::serialize(json::object{{"version", version},
                                        {"routes", std::move(routes)},
                                        {"services", std::move(services)},
                                        {"limits",
                                         {{"max_header_bytes", 16384},
                                          {"max_body_bytes", 4194304},
                                          {"header_timeout_ms", 10000},
                                          {"idle_timeout_ms", 20000}}},
                                        {"tenants", std::move(tenant_list)}});
}

/// Items of a job, all of one path; `parts`: the shared parts of their prompts.
inline std::string make_items(const std::string& job, int count, const std::string& path,
                              const std::string& parts)
{
    json::array items;
    for (int index = 0; index < count; ++index) {
        const std::string id = job + "-" + std::to_string(index);
        items.push_back(json::object{{"id", id},
                                     {"path", path},
                                     {"headers",
                                      {{"X-Gooseberryfall-Model", "m"},
                                       {names::token_usage, "100,60"},
                                       {names::prompt_prefixes, parts + id + ":50"}}},
                                     {"body", "cHJvbXB0"},
                                     {"tokens", 160}});
    }
    return json::serialize(json::object{{"items", std::move(items)}});
}

/// Calls about jobs of one tenant, written to the record.
class job_client {
public:
    job_client(record_file& record, int tenant) : record_(record), tenant_(tenant) {}

    unsigned submit(const std::string& front, const std::string& route, const std::string& job,
                    const std::string& items) const
    {
        http::header_fields headers = common_headers();
        headers.set(names::request_id, job);
        headers.set("Content-Type", "application/json");
        const auto result =
            http::call(front, "POST", "/" + route + "/" + job, headers, items, seconds(4));
        record_.write("POST job " + job + " at " + front + ": " + outcome(result));
        return result.head.status;
    }

    unsigned remove(const std::string& front, const std::string& job) const
    {
        const auto result = http::call(front, "DELETE", names::job_path_prefix + job,
                                       common_headers(), {}, seconds(4));
        record_.write("DELETE job " + job + " at " + front + ": " + outcome(result));
        return result.head.status;
    }

    struct page {
        unsigned status = 0;
        std::size_t results = 0;
        std::size_t total = 0;
    };

    page read(const std::string& front, const std::string& job) const
    {
        const auto result = http::call(front, "GET", names::job_path_prefix + job + "?after=0",
                                       common_headers(), {}, seconds(4));
        page read_page;
        read_page.status = result.outcome == http::call_outcome::completed ? result.head.status : 0;
        if (read_page.status == 200) {
            const json::value body = json::parse(result.body);
            read_page.results = body.at("results").as_array().size();
            read_page.total = body.at("total").to_number<std::size_t>();
        }
        record_.write("GET job " + job + " at " + front + ": " + outcome(result) +
                      (read_page.status == 200 ? ", " + std::to_string(read_page.results) + " of " +
                                                     std::to_string(read_page.total) + " results"
                                               : std::string()));
        return read_page;
    }

    /// Reads until all results are listed.
    bool read_all(const std::string& front, const std::string& job, seconds limit) const
    {
        const auto end = steady_clock::now() + limit;
        while (steady_clock::now() < end) {
            const page last = read(front, job);
            if (last.status == 200 && last.total > 0 && last.results == last.total) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(300));
        }
        return false;
    }

private:
    http::header_fields common_headers() const
    {
        return {{"Host", host}, {"Authorization", "Bearer " + tenant_key(tenant_)}};
    }

    static std::string outcome(const http::call_result& result)
    {
        return result.outcome == http::call_outcome::completed
                   ? "status " + std::to_string(result.head.status)
                   : "no answer (" + result.reason + ")";
    }

    record_file& record_;
    int tenant_;
};

} // namespace gooseberryfall::review
