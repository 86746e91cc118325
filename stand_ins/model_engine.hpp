#pragma once

#include "http/http.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::stand_ins {

/// Times of one run, and where it ends.
struct run_pace {
    /// Time before the head of the response.
    std::chrono::milliseconds prefill{0};
    std::chrono::milliseconds event_interval{5};
    /// Additional time before the event in the middle of the stream.
    std::chrono::milliseconds pause{0};
    /// Number of events after which the stream ends inside the next event, with the last chunk as
    /// if it were complete; unset: it doesn't.
    std::optional<std::uint32_t> truncated_after{};
};

/// Settings of `model_engine`.
struct engine_options {
    std::string id;
    std::uint32_t slots = 8;
    /// Number of events of each stream, and the time between them.
    std::uint32_t events = 10;
    std::chrono::milliseconds event_interval{5};
    /// Pace of the run with this id; called on the engine's thread. If unset, every run has
    /// `event_interval` and neither a prefill nor a pause.
    std::function<run_pace(const std::string& run_id)> pace{};
    /// Of its registry entry.
    std::string data_centre = "a";
};

/// A run that an engine started.
struct engine_run {
    /// Id of the request or item.
    std::string run_id;
    std::string path;
    std::string team;
    /// The request carried an Authorization header.
    bool had_key = false;
    /// Id of the event after which the run resumed; empty if it started from the beginning.
    std::optional<std::uint64_t> resumed_after;
    /// All events were sent.
    bool finished = false;
    /// The stream ended before all events were sent.
    bool interrupted = false;
    /// The engine crashed when it began to answer.
    bool crashed = false;
    std::chrono::steady_clock::time_point arrived_at;
    /// Unset while the engine works on it.
    std::optional<std::chrono::steady_clock::time_point> ended_at{};
    /// Address (`IP:PORT`) of the connection on which it arrived.
    std::string caller_address{};
    /// Start of the process that ran it, as in the engine's entry.
    std::int64_t process_started_at = 0;
    /// The answer said that the engine leaves.
    bool said_leaving = false;
};

/// A model engine as the targets' protocol describes it: streams events with ascending ids, resumes
/// after a given event, and rejects requests that expect another engine or exceed its slots.
/// Thread-safe.
class model_engine {
public:
    explicit model_engine(engine_options options);
    ~model_engine();
    model_engine(const model_engine&) = delete;
    model_engine& operator=(const model_engine&) = delete;
    model_engine(model_engine&&) = delete;
    model_engine& operator=(model_engine&&) = delete;

    const std::string& id() const { return options_.id; }
    /// `ip:port`.
    std::string address() const;

    /// Aborts every stream after it has sent this number of events; 0 aborts none.
    void truncate_after(std::uint32_t events) { truncate_after_ = events; }
    /// Rejects every request with the marker that it was not run.
    void reject_requests(bool rejects) { rejects_requests_ = rejects; }
    /// Accepts requests and never responds.
    void set_unresponsive(bool unresponsive) { unresponsive_ = unresponsive; }
    /// Responds to every request with this status and a valid signature; 0 restores the stream.
    void respond_with_status(unsigned status) { forced_status_ = status; }
    /// Says in all answers that it leaves.
    void set_leaving(bool leaving);
    /// Becomes a new process, which does not leave, with the same id and address. Runs in progress
    /// go on. Returns the start of the new process for `target_entry`.
    std::int64_t replace_process();
    /// Names this number of requests a second as its limit in all answers; unset: none.
    void name_rate_limit(std::optional<double> rate);
    /// Names a limit in all answers by this text, which need not be a number.
    void name_rate_limit_as(const std::string& text);
    /// Is cold for this time from now on, and says so in all answers until then.
    void become_cold(std::chrono::milliseconds time);
    /// Responds with the id of another request.
    void mismatch_request_ids(bool mismatches) { mismatches_request_ids_ = mismatches; }

    /// Crashes when it begins to answer a request with this part in its prompt: all streams are
    /// cut, and for `down_time` it rejects all requests.
    void crash_on_part(const std::string& part, std::chrono::milliseconds down_time);

    /// Start of the first process of an engine, in the unit of its entry.
    static constexpr std::int64_t first_start = 1000;

    /// All runs since the start, in the order of arrival.
    std::vector<engine_run> runs() const;
    /// Number of active runs.
    std::size_t running_count() const;

    /// Entry of this engine in the store. `advertised_address` replaces its own address, so that a
    /// proxy can be put in front of it.
    std::string target_entry(bool draining = false, const std::string& advertised_address = "",
                             std::int64_t started_at = first_start) const;

    /// Body of a complete stream for this path.
    static std::string complete_stream(const std::string& path, std::uint32_t events);

    /// Result of a completed item of this path: the data of all its events.
    static std::string complete_text(const std::string& path, std::uint32_t events);

private:
    struct stream;

    /// Adds what the engine says of itself in all answers. Precondition: `mutex_` is held.
    void add_announcements(http::header_fields& headers) const;
    void handle(const http::request& received, const std::shared_ptr<http::responder>& caller);
    /// Sends the head of the response and the first event.
    void start_response(const std::shared_ptr<stream>& active, const http::header_fields& headers);
    void send_next_event(const std::shared_ptr<stream>& active);
    /// Time between the last event that was sent and the next one.
    std::chrono::milliseconds time_to_next_event(const stream& active) const;
    void end_stream(const std::shared_ptr<stream>& active);
    /// Whether the prompt has the part that crashes this engine. Precondition: `mutex_` is held.
    bool is_crashing(const http::request& received) const;
    void crash();

    engine_options options_;
    std::atomic<std::uint32_t> truncate_after_{0};
    std::atomic<bool> rejects_requests_{false};
    std::atomic<bool> unresponsive_{false};
    std::atomic<unsigned> forced_status_{0};
    std::atomic<bool> mismatches_request_ids_{false};
    mutable std::mutex mutex_;
    bool leaving_ = false;
    std::optional<std::string> rate_limit_;
    std::chrono::steady_clock::time_point cold_until_{};
    std::int64_t process_started_at_ = first_start;
    std::vector<engine_run> runs_;
    std::size_t running_count_ = 0;
    std::vector<std::shared_ptr<http::responder>> unanswered_calls_;
    std::vector<std::weak_ptr<stream>> streams_;
    std::string crashing_part_;
    std::chrono::milliseconds down_time_{0};
    std::chrono::steady_clock::time_point down_until_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    http::event_loop loop_{"engine"};
    std::unique_ptr<http::server> server_;
    std::uint16_t port_ = 0;
};

} // namespace gooseberryfall::stand_ins
