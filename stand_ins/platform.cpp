// Stands in for the platform: log service and instance list of docs/protocols.md, with faults on
// demand. Control calls, all `POST /control/...` unless noted:
//   outage?on=true|false&scope=all|reads&mode=refuse|silent
//                                   503 for each call, or no answer at all until it is turned off
//   append_delay?ms=N               each append waits before it takes effect
//   drop_answers?count=N            the next N appends take effect, their connection is closed
//   append_rate?per_s=N             429 beyond; 0 is no limit
//   expire?stream=S&below=N         forgets records
//   instance?id=I&state=live|leaving|removed
//   list_lag?ms=N                   the list shows the state as it was N ms ago
//   GET /control/state              counters and streams as JSON

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
DEFINE_uint32(port, 0, "Port; 0 takes a free one");
DEFINE_uint64(record_limit, 1U << 20U, "Bytes of one record at most");
DEFINE_uint64(retention_s, 604800, "Age at which records are forgotten");
DEFINE_uint64(append_delay_ms, 0, "Delay of each append");
DEFINE_uint64(append_rate, 400, "Appends per second in all; 0 is no limit");
DEFINE_uint64(list_lag_ms, 0, "Lag of the instance list");
DEFINE_bool(end_with_parent, false, "End when the starting thread ends");

namespace {

namespace http = gooseberryfall::http;
namespace json = boost::json;
using answer_handle = std::shared_ptr<http::responder>;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

constexpr std::uint64_t wait_limit_ms = 60000;
constexpr std::uint64_t default_read_bytes = 1U << 20U;

struct record {
    system_clock::time_point appended_at;
    std::string bytes;
};

/// One read that waits for a record.
struct waiting_read {
    std::uint64_t number = 0;
    std::uint64_t from = 0;
    std::uint64_t max_bytes = 0;
    answer_handle answer;
};

struct stream {
    std::uint64_t earliest = 0;
    std::deque<record> records;
    std::vector<waiting_read> waiting;

    std::uint64_t head() const { return earliest + records.size(); }
};

/// A change of the instance list.
struct list_change {
    steady_clock::time_point at;
    std::string id;
    std::string state;
};

enum class outage_mode { none, refuse, silent };

/// Admits a number of calls per second, with a burst of a tenth of it.
class rate_limit {
public:
    void set(std::uint64_t per_second)
    {
        rate_ = static_cast<double>(per_second);
        tokens_ = burst();
    }

    bool take()
    {
        const auto now = steady_clock::now();
        const double passed = std::chrono::duration<double>(now - last_).count();
        last_ = now;
        tokens_ = std::min(burst(), tokens_ + rate_ * passed);
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
    steady_clock::time_point last_ = steady_clock::now();
};

/// Parameters of a call.
class parameters {
public:
    explicit parameters(std::map<std::string, std::string> query) : query_(std::move(query)) {}

    std::string text(const std::string& name, const std::string& otherwise = "") const
    {
        const auto found = query_.find(name);
        return found == query_.end() ? otherwise : found->second;
    }

    std::uint64_t number(const std::string& name, std::uint64_t otherwise) const
    {
        const std::string value = text(name);
        std::uint64_t parsed = 0;
        const auto result = std::from_chars(value.data(), value.data() + value.size(), parsed);
        const bool whole = result.ec == std::errc() && result.ptr == value.data() + value.size();
        return whole ? parsed : otherwise;
    }

private:
    std::map<std::string, std::string> query_;
};

void refuse(const answer_handle& answer, unsigned status, const std::string& code)
{
    answer->send(http::error_response({status, code, "Stand-in refuses.", "not_run", {}}));
}

void send_json(const answer_handle& answer, const json::object& body)
{
    answer->send({200, {{"Content-Type", "application/json"}}, json::serialize(body)});
}

template <class T>
void append_number(std::string& text, T value)
{
    const boost::endian::endian_buffer<boost::endian::order::big, T, sizeof(T) * 8> wire(value);
    text.append(reinterpret_cast<const char*>(wire.data()), sizeof(T));
}

/// The whole service; runs on the server's thread.
class platform {
public:
    platform()
    {
        append_delay_ = milliseconds(FLAGS_append_delay_ms);
        list_lag_ = milliseconds(FLAGS_list_lag_ms);
        append_rate_.set(FLAGS_append_rate);
    }

    /// Precondition: called before the first request. The loop must end before this object.
    void use(http::event_loop& loop) { loop_ = &loop; }

    void handle(http::request wanted, const answer_handle& answer)
    {
        const auto target = http::parse_target(wanted.target);
        if (!target) {
            refuse(answer, 400, "bad_request");
            return;
        }
        const parameters query(target->query);
        const std::string& path = target->path;
        const std::string stream_name = name_of_stream(path);
        if (path.starts_with("/control/")) {
            control(wanted.method + ' ' + path.substr(9), query, answer);
        }
        else if (!stream_name.empty() && wanted.method == "POST") {
            append(stream_name, std::move(wanted.body), answer);
        }
        else if (!stream_name.empty() && wanted.method == "GET") {
            read(stream_name, query, answer);
        }
        else if (path == "/v1/instances" && wanted.method == "GET") {
            list(answer);
        }
        else {
            refuse(answer, 404, "unknown_route");
        }
    }

private:
    /// The name in `/v1/streams/NAME/records`, or nothing.
    static std::string name_of_stream(const std::string& path)
    {
        const std::string prefix = "/v1/streams/";
        const std::string suffix = "/records";
        if (!path.starts_with(prefix) || !path.ends_with(suffix) ||
            path.size() <= prefix.size() + suffix.size()) {
            return {};
        }
        return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    }

    /// Handles the outage; false if the call must not go on.
    bool is_up(bool is_append, const answer_handle& answer)
    {
        if (outage_ == outage_mode::none || (reads_only_ && is_append)) {
            return true;
        }
        fail(answer);
        return false;
    }

    void fail(const answer_handle& answer)
    {
        ++failed_;
        if (outage_ == outage_mode::silent) {
            held_.push_back(answer);
        }
        else {
            refuse(answer, 503, "unavailable");
        }
    }

    void append(const std::string& name, std::string bytes, const answer_handle& answer)
    {
        if (!is_up(true, answer)) {
            return;
        }
        if (bytes.size() > FLAGS_record_limit) {
            refuse(answer, 413, "body_too_large");
            return;
        }
        if (!append_rate_.take()) {
            ++limited_;
            refuse(answer, 429, "rate_exceeded");
            return;
        }
        if (append_delay_.count() == 0) {
            store(name, std::move(bytes), answer);
            return;
        }
        loop_->post_after(append_delay_, [this, name, bytes = std::move(bytes), answer] {
            store(name, bytes, answer);
        });
    }

    void store(const std::string& name, std::string bytes, const answer_handle& answer)
    {
        stream& target = streams_[name];
        const std::uint64_t offset = target.head();
        target.records.push_back({system_clock::now(), std::move(bytes)});
        ++appended_;
        wake(target);
        if (drop_answers_ > 0) {
            --drop_answers_;
            answer->abort();
            return;
        }
        send_json(answer, {{"offset", offset}});
    }

    void wake(stream& target)
    {
        for (const waiting_read& waiting : std::exchange(target.waiting, {})) {
            send_records(target, waiting.from, waiting.max_bytes, waiting.answer);
        }
    }

    void read(const std::string& name, const parameters& query, const answer_handle& answer)
    {
        if (!is_up(false, answer)) {
            return;
        }
        ++read_;
        stream& target = streams_[name];
        forget_old(target);
        const std::uint64_t from = query.number("from", 0);
        const std::uint64_t max_bytes = query.number("max_bytes", default_read_bytes);
        const std::uint64_t wait = std::min(query.number("wait_ms", 0), wait_limit_ms);
        if (from < target.earliest || from < target.head() || wait == 0) {
            send_records(target, from, max_bytes, answer);
            return;
        }
        const std::uint64_t number = ++last_wait_;
        target.waiting.push_back({number, from, max_bytes, answer});
        loop_->post_after(milliseconds(wait), [this, name, number] { end_wait(name, number); });
    }

    void end_wait(const std::string& name, std::uint64_t number)
    {
        stream& target = streams_[name];
        const auto found =
            std::find_if(target.waiting.begin(), target.waiting.end(),
                         [number](const waiting_read& entry) { return entry.number == number; });
        if (found == target.waiting.end()) {
            return;
        }
        const waiting_read ended = *found;
        target.waiting.erase(found);
        send_records(target, ended.from, ended.max_bytes, ended.answer);
    }

    static void send_records(const stream& source, std::uint64_t from, std::uint64_t max_bytes,
                             const answer_handle& answer)
    {
        http::response whole;
        whole.headers.set("Log-Head", std::to_string(source.head()));
        whole.headers.set("Log-Earliest", std::to_string(source.earliest));
        whole.headers.set("Content-Type", "application/octet-stream");
        if (from < source.earliest) {
            whole.status = 410;
            answer->send(std::move(whole));
            return;
        }
        for (std::uint64_t offset = from; offset < source.head(); ++offset) {
            const record& entry = source.records[offset - source.earliest];
            if (!whole.body.empty() && whole.body.size() + entry.bytes.size() > max_bytes) {
                break;
            }
            append_entry(whole.body, offset, entry);
        }
        answer->send(std::move(whole));
    }

    static void append_entry(std::string& body, std::uint64_t offset, const record& entry)
    {
        const auto since_epoch = entry.appended_at.time_since_epoch();
        const auto ms = std::chrono::duration_cast<milliseconds>(since_epoch).count();
        append_number<std::uint64_t>(body, offset);
        append_number<std::uint64_t>(body, static_cast<std::uint64_t>(ms));
        append_number<std::uint32_t>(body, static_cast<std::uint32_t>(entry.bytes.size()));
        body += entry.bytes;
    }

    static void forget_old(stream& target)
    {
        const auto oldest = system_clock::now() - std::chrono::seconds(FLAGS_retention_s);
        while (!target.records.empty() && target.records.front().appended_at < oldest) {
            target.records.pop_front();
            ++target.earliest;
        }
    }

    void list(const answer_handle& answer)
    {
        if (!is_up(false, answer)) {
            return;
        }
        std::map<std::string, std::string> states;
        for (const list_change& change : changes_) {
            if (change.at + list_lag_ <= steady_clock::now()) {
                states[change.id] = change.state;
            }
        }
        json::array instances;
        for (const auto& [id, state] : states) {
            if (state != "removed") {
                instances.push_back({{"id", id}, {"state", state}});
            }
        }
        send_json(answer, {{"instances", std::move(instances)}});
    }

    void control(const std::string& call, const parameters& query, const answer_handle& answer)
    {
        if (call == "POST outage") {
            set_outage(query);
        }
        else if (call == "POST append_delay") {
            append_delay_ = milliseconds(query.number("ms", 0));
        }
        else if (call == "POST drop_answers") {
            drop_answers_ = query.number("count", 1);
        }
        else if (call == "POST append_rate") {
            append_rate_.set(query.number("per_s", 0));
        }
        else if (call == "POST expire") {
            expire(streams_[query.text("stream")], query.number("below", 0));
        }
        else if (call == "POST instance") {
            const std::string state = query.text("state", "live");
            changes_.push_back({steady_clock::now(), query.text("id"), state});
        }
        else if (call == "POST list_lag") {
            list_lag_ = milliseconds(query.number("ms", 0));
        }
        else if (call != "GET state") {
            refuse(answer, 404, "unknown_route");
            return;
        }
        send_json(answer, state());
    }

    void set_outage(const parameters& query)
    {
        if (query.text("on", "true") != "true") {
            outage_ = outage_mode::none;
            for (const answer_handle& answer : std::exchange(held_, {})) {
                answer->abort();
            }
            return;
        }
        const bool silent = query.text("mode") == "silent";
        outage_ = silent ? outage_mode::silent : outage_mode::refuse;
        reads_only_ = query.text("scope") == "reads";
        for (auto& [name, entry] : streams_) {
            for (const waiting_read& waiting : std::exchange(entry.waiting, {})) {
                fail(waiting.answer);
            }
        }
    }

    static void expire(stream& target, std::uint64_t below)
    {
        while (target.earliest < below && !target.records.empty()) {
            target.records.pop_front();
            ++target.earliest;
        }
    }

    json::object state() const
    {
        json::object streams;
        for (const auto& [name, entry] : streams_) {
            streams[name] = {{"earliest", entry.earliest}, {"head", entry.head()}};
        }
        return {{"appended", appended_},
                {"read", read_},
                {"limited", limited_},
                {"failed", failed_},
                {"streams", std::move(streams)}};
    }

    http::event_loop* loop_ = nullptr;
    std::map<std::string, stream> streams_;
    std::vector<list_change> changes_;
    outage_mode outage_ = outage_mode::none;
    bool reads_only_ = false;
    /// Calls that get no answer before the outage ends.
    std::vector<answer_handle> held_;
    milliseconds append_delay_{0};
    milliseconds list_lag_{0};
    rate_limit append_rate_;
    std::uint64_t drop_answers_ = 0;
    std::uint64_t last_wait_ = 0;
    std::uint64_t appended_ = 0;
    std::uint64_t read_ = 0;
    std::uint64_t limited_ = 0;
    std::uint64_t failed_ = 0;
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
    service.use(loop);
    http::server_settings settings;
    settings.address = FLAGS_address;
    settings.port = static_cast<std::uint16_t>(FLAGS_port);
    // Larger than the record limit, so that the service itself refuses a record that is too large.
    settings.body_limit = 2 * FLAGS_record_limit;
    http::server server(loop, settings,
                        {[&service](http::request wanted, const answer_handle& answer) {
                             service.handle(std::move(wanted), answer);
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
