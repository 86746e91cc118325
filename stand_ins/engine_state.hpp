#pragma once

#include "http/http.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberryfall::stand_ins {

/// Settings of the engine stand-in.
struct engine_settings {
    std::uint32_t slots = 8;
    /// Time to the first token with an empty cache, and with the prompt's prefix in the cache.
    std::chrono::milliseconds prefill{20};
    std::chrono::milliseconds prefill_cached{5};
    std::chrono::milliseconds token_interval{5};
    std::uint32_t default_tokens = 20;
    /// Prompt prefixes that fit into the cache.
    std::size_t cache_entries = 64;
    /// Age of the load report.
    std::chrono::milliseconds report_lag{100};
    /// Path prefix `/` of a plain service in place of an engine.
    bool plain = false;
    /// Time that a plain service takes for a call.
    std::chrono::milliseconds plain_time{5};
};

/// One request as the engine saw it, for the checkers of the tests.
struct engine_record {
    std::int64_t at_us = 0;
    /// When it got and left a slot; 0 if it has not.
    std::int64_t started_us = 0;
    std::int64_t ended_us = 0;
    std::string request_id;
    std::string method;
    std::string path;
    std::string body;
    std::vector<std::string> headers;
    /// `running`, `completed` or `cancelled`.
    std::string end;
};

/// A model engine that batches continuously, knows no priorities, admits requests as they come and
/// caches prompt prefixes; or a plain service. Lives on one event loop; not thread-safe.
class engine_state {
public:
    engine_state(http::event_loop& loop, engine_settings settings);

    /// Handles one request.
    void handle(const http::request& request, const std::shared_ptr<http::responder>& responder);

private:
    struct stream;

    void control(const http::target_parts& parts, const std::shared_ptr<http::responder>& to);
    void send_records(const std::shared_ptr<http::responder>& to);
    void send_load(const std::shared_ptr<http::responder>& to);
    void complete(const http::request& request, const std::shared_ptr<http::responder>& to);
    void answer_plain(const http::request& request, const std::shared_ptr<http::responder>& to);
    void cancel(const std::string& request_id, const std::shared_ptr<http::responder>& to);
    bool fails(const http::request& request, const std::shared_ptr<http::responder>& to);
    std::size_t record(const http::request& request);
    void admit();
    void prefill(const std::shared_ptr<stream>& running);
    void generate(const std::shared_ptr<stream>& running);
    void send_token(stream& running);
    void end(const std::shared_ptr<stream>& running, const std::string& how);
    void finish(stream& running);
    bool use_cache(const std::string& prefix);
    void take_report();

    http::event_loop& loop_;
    engine_settings settings_;
    std::deque<std::shared_ptr<stream>> waiting_;
    std::map<std::string, std::shared_ptr<stream>> running_;
    std::list<std::string> cache_;
    std::vector<engine_record> records_;
    std::uint64_t next_unnamed_ = 1;
    std::uint32_t reported_running_ = 0;
    std::uint32_t reported_waiting_ = 0;

    // Faults.
    bool leaving_ = false;
    bool silent_ = false;
    std::string crash_text_;
    std::uint32_t truncate_next_ = 0;
    std::uint32_t mismatch_next_ = 0;
    std::uint32_t refuse_next_ = 0;
    std::chrono::milliseconds extra_delay_{0};
    /// Requests refused as not run.
    std::uint64_t refused_ = 0;
};

} // namespace gooseberryfall::stand_ins
