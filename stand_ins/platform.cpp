// Stand-in for the platform: the log service and the instance list of docs/protocols.md, with
// faults on demand. Control calls, all `POST /control/...` unless noted:
//   outage?on=true|false&scope=all|reads&mode=refuse|silent
//                                   responds with 503 to each call, or not at all until turned off
//   append_delay?ms=N               delays each append before it takes effect
//   drop_answers?count=N            executes the next N appends and closes their connections
//   append_rate?per_s=N             responds with 429 above this rate; 0 is no limit
//   expire?stream=S&below=N         removes the records below an offset
//   instance?id=I&state=live|leaving|removed
//                                   changes the state of an instance in the list
//   list_lag?ms=N                   lists the instances as they were N ms ago
//   GET /control/state              returns counters and streams as JSON

#include "http/http.hpp"
#include "stand_ins/stand_in.hpp"

#include <boost/endian/buffers.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

DEFINE_string(address, "127.0.0.1", "Numeric address to listen on");
DEFINE_uint32(port, 0, "Port to listen on; 0 selects a free one");
DEFINE_uint64(record_limit, 1U << 20U, "Size limit of a record, in bytes");
DEFINE_uint64(retention_s, 604800, "Age at which records expire, in seconds");
DEFINE_uint64(append_delay_ms, 0, "Delay of each append, in milliseconds");
DEFINE_uint64(append_rate, 400, "Limit of appends per second over all streams; 0 is no limit");
DEFINE_uint64(list_lag_ms, 0, "Lag of the instance list, in milliseconds");
DEFINE_bool(end_with_parent, false, "Terminate when the thread that started the process ends");

namespace {

namespace http = gooseberryfall::http;
namespace json = boost::json;
using caller_handle = std::shared_ptr<http::responder>;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

constexpr std::uint64_t wait_max_ms = 60000;
constexpr std::uint64_t default_read_bytes = 1U << 20U;

struct record {
    system_clock::time_point appended_at;
    std::string bytes;
};

/// A read that waits for a record.
struct pending_read {
    std::uint64_t read_id = 0;
    std::uint64_t from_offset = 0;
    std::uint64_t max_bytes = 0;
    caller_handle caller;
};

struct stream {
    std::uint64_t earliest = 0;
    std::deque<record> records;
    std::vector<pending_read> pending_reads;

    /// Offset of the next record.
    std::uint64_t head() const { return earliest + records.size(); }
};

/// A change of an instance's state in the list.
struct instance_change {
    steady_clock::time_point changed_at;
    std::string id;
    std::string state;
};

enum class outage_mode { none, reject, unresponsive };

/// Token bucket that admits a number of calls per second, with a burst of a tenth of it; 0 is no
/// limit.
class rate_limit {
public:
    void set(std::uint64_t per_second)
    {
        rate_ = static_cast<double>(per_second);
        tokens_ = burst();
    }

    bool try_acquire()
    {
        const auto now = steady_clock::now();
        const double elapsed_s = std::chrono::duration<double>(now - refilled_at_).count();
        refilled_at_ = now;
        tokens_ = std::min(burst(), tokens_ + rate_ * elapsed_s);
        if (rate_ > 0 && tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double burst() const { return std::max(1.0, rate_ / 10); }

    double rate_ = 0;
    double tokens_ = 0;
    steady_clock::time_point refilled_at_ = steady_clock::now();
};

/// Query parameters of a call.
class query_parameters {
public:
    explicit query_parameters(std::map<std::string, std::string> query) : query_(std::move(query))
    {
    }

    std::string text(const std::string& name, const std::string& fallback = "") const
    {
        const auto found = query_.find(name);
        return found == query_.end() ? fallback : found->second;
    }

    std::uint64_t number(const std::string& name, std::uint64_t fallback) const
    {
        const std::string value = text(name);
        std::uint64_t parsed = 0;
        const auto result = std::from_chars(value.data(), value.data() + value.size(), parsed);
        const bool is_number =
            result.ec == std::errc() && result.ptr == value.data() + value.size();
        return is_number ? parsed : fallback;
    }

private:
    std::map<std::string, std::string> query_;
};

void reject(const caller_handle& caller, unsigned status, const std::string& code)
{
    caller->send(
        http::error_response({status, code, "The stand-in rejected the call.", "not_run", {}}));
}

void send_json(const caller_handle& caller, const json::object& body)
{
    caller->send({200, {{"Content-Type", "application/json"}}, json::serialize(body)});
}

template <class T>
void append_big_endian(std::string& out, T value)
{
    const boost::endian::endian_buffer<boost::endian::order::big, T, sizeof(T) * 8> buffer(value);
    out.append(reinterpret_cast<const char*>(buffer.data()), sizeof(T));
}

/// The log service, the instance list and the control calls. Runs on the server's event loop; not
/// thread-safe.
class platform {
public:
    platform()
    {
        append_delay_ = milliseconds(FLAGS_append_delay_ms);
        list_lag_ = milliseconds(FLAGS_list_lag_ms);
        append_rate_.set(FLAGS_append_rate);
    }

    /// Sets the loop of the timers. Precondition: called before the first request. The loop must
    /// end before this object is destroyed.
    void set_loop(http::event_loop& loop) { loop_ = &loop; }

    void handle(http::request received, const caller_handle& caller)
    {
        const auto target = http::parse_target(received.target);
        if (!target) {
            reject(caller, 400, "bad_request");
            return;
        }
        const query_parameters query(target->query);
        const std::string& path = target->path;
        const std::string stream_name = parse_stream_name(path);
        if (path.starts_with("/control/")) {
            apply_control(received.method + ' ' + path.substr(9), query, caller);
        }
        else if (!stream_name.empty() && received.method == "POST") {
            append(stream_name, std::move(received.body), caller);
        }
        else if (!stream_name.empty() && received.method == "GET") {
            read(stream_name, query, caller);
        }
        else if (path == "/v1/instances" && received.method == "GET") {
            list_instances(caller);
        }
        else {
            reject(caller, 404, "unknown_route");
        }
    }

private:
    /// NAME of `/v1/streams/NAME/records`; empty for another path.
    static std::string parse_stream_name(const std::string& path)
    {
        const std::string prefix = "/v1/streams/";
        const std::string suffix = "/records";
        if (!path.starts_with(prefix) || !path.ends_with(suffix) ||
            path.size() <= prefix.size() + suffix.size()) {
            return {};
        }
        return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    }

    /// False if an outage affects the call; the call has then been failed.
    bool check_outage(bool is_append, const caller_handle& caller)
    {
        if (outage_ == outage_mode::none || (reads_only_ && is_append)) {
            return true;
        }
        fail_call(caller);
        return false;
    }

    void fail_call(const caller_handle& caller)
    {
        ++failed_count_;
        if (outage_ == outage_mode::unresponsive) {
            unanswered_calls_.push_back(caller);
        }
        else {
            reject(caller, 503, "unavailable");
        }
    }

    void append(const std::string& name, std::string bytes, const caller_handle& caller)
    {
        if (!check_outage(true, caller)) {
            return;
        }
        if (bytes.size() > FLAGS_record_limit) {
            reject(caller, 413, "body_too_large");
            return;
        }
        if (!append_rate_.try_acquire()) {
            ++rate_limited_count_;
            reject(caller, 429, "rate_exceeded");
            return;
        }
        if (append_delay_.count() == 0) {
            store_record(name, std::move(bytes), caller);
            return;
        }
        loop_->post_after(append_delay_, [this, name, bytes = std::move(bytes), caller] {
            store_record(name, bytes, caller);
        });
    }

    void store_record(const std::string& name, std::string bytes, const caller_handle& caller)
    {
        stream& log = streams_[name];
        const std::uint64_t offset = log.head();
        log.records.push_back({system_clock::now(), std::move(bytes)});
        ++append_count_;
        complete_pending_reads(log);
        if (responses_to_drop_ > 0) {
            --responses_to_drop_;
            caller->abort();
            return;
        }
        send_json(caller, {{"offset", offset}});
    }

    void complete_pending_reads(stream& log)
    {
        for (const pending_read& pending : std::exchange(log.pending_reads, {})) {
            send_records(log, pending.from_offset, pending.max_bytes, pending.caller);
        }
    }

    void read(const std::string& name, const query_parameters& query, const caller_handle& caller)
    {
        if (!check_outage(false, caller)) {
            return;
        }
        ++read_count_;
        stream& log = streams_[name];
        expire_old_records(log);
        const std::uint64_t from_offset = query.number("from", 0);
        const std::uint64_t max_bytes = query.number("max_bytes", default_read_bytes);
        const std::uint64_t wait_ms = std::min(query.number("wait_ms", 0), wait_max_ms);
        if (from_offset < log.earliest || from_offset < log.head() || wait_ms == 0) {
            send_records(log, from_offset, max_bytes, caller);
            return;
        }
        const std::uint64_t read_id = ++last_read_id_;
        log.pending_reads.push_back({read_id, from_offset, max_bytes, caller});
        loop_->post_after(milliseconds(wait_ms),
                          [this, name, read_id] { time_out_read(name, read_id); });
    }

    void time_out_read(const std::string& name, std::uint64_t read_id)
    {
        stream& log = streams_[name];
        const auto found =
            std::find_if(log.pending_reads.begin(), log.pending_reads.end(),
                         [read_id](const pending_read& entry) { return entry.read_id == read_id; });
        if (found == log.pending_reads.end()) {
            return;
        }
        const pending_read expired_read = *found;
        log.pending_reads.erase(found);
        send_records(log, expired_read.from_offset, expired_read.max_bytes, expired_read.caller);
    }

    static void send_records(const stream& source, std::uint64_t from_offset,
                             std::uint64_t max_bytes, const caller_handle& caller)
    {
        http::response page;
        page.headers.set("Log-Head", std::to_string(source.head()));
        page.headers.set("Log-Earliest", std::to_string(source.earliest));
        page.headers.set("Content-Type", "application/octet-stream");
        if (from_offset < source.earliest) {
            page.status = 410;
            caller->send(std::move(page));
            return;
        }
        for (std::uint64_t offset = from_offset; offset < source.head(); ++offset) {
            const record& entry = source.records[offset - source.earliest];
            if (!page.body.empty() && page.body.size() + entry.bytes.size() > max_bytes) {
                break;
            }
            encode_record(page.body, offset, entry);
        }
        caller->send(std::move(page));
    }

    static void encode_record(std::string& body, std::uint64_t offset, const record& entry)
    {
        const auto since_epoch = entry.appended_at.time_since_epoch();
        const auto epoch_ms = std::chrono::duration_cast<milliseconds>(since_epoch).count();
        append_big_endian<std::uint64_t>(body, offset);
        append_big_endian<std::uint64_t>(body, static_cast<std::uint64_t>(epoch_ms));
        append_big_endian<std::uint32_t>(body, static_cast<std::uint32_t>(entry.bytes.size()));
        body += entry.bytes;
    }

    static void expire_old_records(stream& log)
    {
        const auto expiry_cutoff = system_clock::now() - std::chrono::seconds(FLAGS_retention_s);
        while (!log.records.empty() && log.records.front().appended_at < expiry_cutoff) {
            log.records.pop_front();
            ++log.earliest;
        }
    }

    void list_instances(const caller_handle& caller)
    {
        if (!check_outage(false, caller)) {
            return;
        }
        std::map<std::string, std::string> states;
        for (const instance_change& change : instance_changes_) {
            if (change.changed_at + list_lag_ <= steady_clock::now()) {
                states[change.id] = change.state;
            }
        }
        json::array instances;
        for (const auto& [id, state] : states) {
            if (state != "removed") {
                instances.push_back({{"id", id}, {"state", state}});
            }
        }
        send_json(caller, {{"instances", std::move(instances)}});
    }

    void apply_control(const std::string& call, const query_parameters& query,
                       const caller_handle& caller)
    {
        if (call == "POST outage") {
            set_outage(query);
        }
        else if (call == "POST append_delay") {
            append_delay_ = milliseconds(query.number("ms", 0));
        }
        else if (call == "POST drop_answers") {
            responses_to_drop_ = query.number("count", 1);
        }
        else if (call == "POST append_rate") {
            append_rate_.set(query.number("per_s", 0));
        }
        else if (call == "POST expire") {
            expire_below(streams_[query.text("stream")], query.number("below", 0));
        }
        else if (call == "POST instance") {
            const std::string state = query.text("state", "live");
            instance_changes_.push_back({steady_clock::now(), query.text("id"), state});
        }
        else if (call == "POST list_lag") {
            list_lag_ = milliseconds(query.number("ms", 0));
        }
        else if (call != "GET state") {
            reject(caller, 404, "unknown_route");
            return;
        }
        send_json(caller, make_state_report());
    }

    void set_outage(const query_parameters& query)
    {
        if (query.text("on", "true") != "true") {
            outage_ = outage_mode::none;
            for (const caller_handle& caller : std::exchange(unanswered_calls_, {})) {
                caller->abort();
            }
            return;
        }
        const bool unresponsive_mode = query.text("mode") == "silent";
        outage_ = unresponsive_mode ? outage_mode::unresponsive : outage_mode::reject;
        reads_only_ = query.text("scope") == "reads";
        for (auto& [name, entry] : streams_) {
            for (const pending_read& pending : std::exchange(entry.pending_reads, {})) {
                fail_call(pending.caller);
            }
        }
    }

    static void expire_below(stream& log, std::uint64_t earliest_kept)
    {
        while (log.earliest < earliest_kept && !log.records.empty()) {
            log.records.pop_front();
            ++log.earliest;
        }
    }

    json::object make_state_report() const
    {
        json::object streams;
        for (const auto& [name, entry] : streams_) {
            streams[name] = {{"earliest", entry.earliest}, {"head", entry.head()}};
        }
        return {{"appended", append_count_},
                {"read", read_count_},
                {"limited", rate_limited_count_},
                {"failed", failed_count_},
                {"streams", std::move(streams)}};
    }

    http::event_loop* loop_ = nullptr;
    std::map<std::string, stream> streams_;
    std::vector<instance_change> instance_changes_;
    outage_mode outage_ = outage_mode::none;
    bool reads_only_ = false;
    /// Calls that get no response; their connections are closed when the outage ends.
    std::vector<caller_handle> unanswered_calls_;
    milliseconds append_delay_{0};
    milliseconds list_lag_{0};
    rate_limit append_rate_;
    std::uint64_t responses_to_drop_ = 0;
    std::uint64_t last_read_id_ = 0;
    std::uint64_t append_count_ = 0;
    std::uint64_t read_count_ = 0;
    std::uint64_t rate_limited_count_ = 0;
    std::uint64_t failed_count_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    gooseberryfall::stand_ins::block_termination_signals();
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_end_with_parent) {
        gooseberryfall::stand_ins::terminate_with_parent();
    }
    platform service;
    http::event_loop loop("platform");
    service.set_loop(loop);
    http::server_settings settings;
    settings.address = FLAGS_address;
    settings.port = static_cast<std::uint16_t>(FLAGS_port);
    // Larger than the record limit, so that the service itself rejects a record that is too large.
    settings.body_limit = 2 * FLAGS_record_limit;
    http::server server(loop, settings,
                        {[&service](http::request received, const caller_handle& caller) {
                             service.handle(std::move(received), caller);
                         },
                         {}});
    const auto port = server.start();
    if (!port) {
        std::fprintf(stderr, "%s\n", port.error().c_str());
        return 1;
    }
    gooseberryfall::stand_ins::print_ready_line(*port);
    gooseberryfall::stand_ins::wait_for_termination();
    return 0;
}
