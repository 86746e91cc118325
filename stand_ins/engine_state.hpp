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
    /// Requests that run concurrently at most.
    std::uint32_t slots = 8;
    /// Time to the first token without and with the prompt's prefix in the cache.
    std::chrono::milliseconds prefill_time{20};
    std::chrono::milliseconds cached_prefill_time{5};
    std::chrono::milliseconds token_interval{5};
    /// Tokens of a response if the request sets no max_tokens.
    std::uint32_t default_tokens = 20;
    /// Capacity of the cache in prompt prefixes.
    std::size_t cache_entries = 64;
    /// Interval at which the load report is refreshed, and so its highest age.
    std::chrono::milliseconds report_lag{100};
    /// Serves as a plain service under all paths instead of an engine.
    bool plain = false;
    /// Response time of a plain service.
    std::chrono::milliseconds plain_response_time{5};
};

/// One request as the engine received it, for the checks of the tests.
struct engine_record {
    /// When the request arrived, as microseconds of the steady clock.
    std::int64_t at_us = 0;
    /// When the request took and released a slot; 0 if it has not.
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

/// A model engine with continuous batching, no priorities, admission in the order of arrival and a
/// cache of prompt prefixes; or a plain service. Runs on one event loop; not thread-safe.
class engine_state {
public:
    engine_state(http::event_loop& loop, engine_settings settings);

    /// Handles one request.
    void handle(const http::request& request, const std::shared_ptr<http::responder>& responder);

private:
    struct stream;

    void apply_control(const http::target_parts& parts,
                       const std::shared_ptr<http::responder>& caller);
    void send_records(const std::shared_ptr<http::responder>& caller);
    void send_load(const std::shared_ptr<http::responder>& caller);
    void handle_completion(const http::request& request,
                           const std::shared_ptr<http::responder>& caller);
    void handle_plain(const http::request& request, const std::shared_ptr<http::responder>& caller);
    void cancel(const std::string& request_id, const std::shared_ptr<http::responder>& caller);
    /// Applies the faults that are set; true if one of them consumed the request.
    bool inject_fault(const http::request& request, const std::shared_ptr<http::responder>& caller);
    /// Adds a record of the request and returns its index.
    std::size_t add_record(const http::request& request);
    void start_pending();
    void start_prefill(const std::shared_ptr<stream>& running);
    void generate_tokens(const std::shared_ptr<stream>& running);
    void send_token(stream& running);
    void end_stream(const std::shared_ptr<stream>& running, const std::string& reason);
    void send_completion(stream& running);
    /// Makes the prefix the most recent cache entry; true if it was already cached.
    bool touch_cache(const std::string& prompt_prefix);
    void refresh_load_report();

    http::event_loop& loop_;
    engine_settings settings_;
    std::deque<std::shared_ptr<stream>> pending_;
    std::map<std::string, std::shared_ptr<stream>> running_;
    std::list<std::string> prefix_cache_;
    std::vector<engine_record> records_;
    std::uint64_t next_generated_id_ = 1;
    std::uint32_t reported_running_ = 0;
    std::uint32_t reported_pending_ = 0;

    // Faults set by control calls.
    bool leaving_ = false;
    bool unresponsive_ = false;
    std::string crash_text_;
    std::uint32_t truncate_next_ = 0;
    std::uint32_t mismatch_next_ = 0;
    std::uint32_t reject_next_ = 0;
    std::chrono::milliseconds extra_delay_{0};
    /// Number of requests rejected with the verdict not_run.
    std::uint64_t rejected_count_ = 0;
};

} // namespace gooseberryfall::stand_ins
