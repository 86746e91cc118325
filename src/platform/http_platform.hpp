#pragma once

#include "http/http.hpp"
#include "kernel/kernel.hpp"
#include "platform/platform_client.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace gooseberryfall::platform {

/// Settings of `http_platform`.
struct http_platform_settings {
    /// `ip:port`.
    std::string address;
    /// Time for which the log may hold a read back while there is nothing to read. An instance
    /// counts its knowledge from the sending of the question, so that it is up to twice this old;
    /// with one second a currency bound of two would never be kept reliably.
    std::chrono::milliseconds read_wait{500};
    /// Time between two questions for the instance list.
    std::chrono::milliseconds list_interval{1000};
    /// Wait before the second try; doubled with each further one up to the limit.
    std::chrono::milliseconds backoff_first{50};
    std::chrono::milliseconds backoff_limit{2000};
    /// Time for an answer, beyond `read_wait`; doubled with each timeout in a row up to the limit,
    /// because a log that is slower than a fixed limit would never acknowledge anything.
    std::chrono::milliseconds answer_first{2000};
    std::chrono::milliseconds append_answer_limit{30000};
    /// Lower, because an instance needs to notice soon that the log can be read again.
    std::chrono::milliseconds read_answer_limit{8000};
    /// Bytes of one read, beyond its first record.
    std::size_t read_bytes = 1U << 20U;
    /// Limit of the log for one record.
    std::size_t record_limit = 1U << 20U;
    /// Single records that are read at the same time.
    std::size_t record_reads = 16;
    /// Tries for a single record.
    unsigned record_tries = 3;
    /// Seed of the random part of the backoff.
    std::uint32_t seed = 1;
    /// Where failures are counted; may be null. Must outlive the client.
    kernel::metrics* metrics = nullptr;
};

/// `platform_client` over HTTP, on a thread of its own.
class http_platform : public platform_client {
public:
    /// Starts the thread and the polling of the instance list (if it is observed).
    http_platform(http_platform_settings settings, platform_observer observer);

    /// Ends all calls. Records that are not acknowledged may or may not have been appended.
    ~http_platform() override;

    http_platform(const http_platform&) = delete;
    http_platform& operator=(const http_platform&) = delete;
    http_platform(http_platform&&) = delete;
    http_platform& operator=(http_platform&&) = delete;

    /// Precondition: `bytes` is within the record limit.
    void append(const std::string& stream, std::string bytes,
                std::function<void(core::log_offset)> acknowledged) override;
    void follow(const std::string& stream, core::log_offset from,
                std::function<void(stream_read)> callback) override;
    void stop_following(const std::string& stream) override;
    void read_record(const std::string& stream, core::log_offset offset,
                     std::function<void(tl::expected<log_record, record_error>)> callback) override;

private:
    using record_callback = std::function<void(tl::expected<log_record, record_error>)>;

    struct pending_append {
        std::string bytes;
        std::function<void(core::log_offset)> acknowledged;
    };
    /// Appends of one stream; the first one is under way.
    struct append_queue {
        std::deque<pending_append> entries;
        unsigned failures = 0;
        unsigned timeouts = 0;
    };
    struct follower {
        /// Tells the answers of this follower from those of an earlier one of the stream.
        std::uint64_t number = 0;
        core::log_offset next = 0;
        std::function<void(stream_read)> callback;
        std::shared_ptr<http::ongoing_call> call;
        unsigned failures = 0;
        unsigned timeouts = 0;
    };
    struct record_query {
        std::string stream;
        core::log_offset offset = 0;
        record_callback callback;
        unsigned failures = 0;
    };
    /// Checked answer of a read.
    struct read_answer {
        core::log_offset head = 0;
        core::log_offset earliest = 0;
        bool expired = false;
        std::vector<log_record> records;
    };

    void send_append(const std::string& stream);
    void on_append_done(const std::string& stream, const http::call_result& result);
    void ask(const std::string& stream, std::uint64_t number);
    void on_read_done(const std::string& stream, std::uint64_t number, core::time_point asked_at,
                      const http::call_result& result);
    void deliver(follower& reader, core::time_point asked_at, read_answer answer);
    follower* find_follower(const std::string& stream, std::uint64_t number);
    void start_record_reads();
    void send_record_query(const std::shared_ptr<record_query>& query);
    void on_record_done(const std::shared_ptr<record_query>& query,
                        const http::call_result& result);
    void end_record_query(record_query& query, tl::expected<log_record, record_error> result);
    void ask_list();
    void on_list_done(const http::call_result& result);

    tl::expected<read_answer, std::string> check_read(const http::call_result& result,
                                                      core::log_offset from);
    http::client_request make_request(const std::string& method, const std::string& target) const;
    std::shared_ptr<http::ongoing_call> start(http::client_request request,
                                              std::function<void(const http::call_result&)> done);
    void after(std::chrono::milliseconds delay, std::function<void()> task);
    std::chrono::milliseconds backoff(unsigned failures);
    void report(platform_operation operation, const std::string& stream, const std::string& reason,
                unsigned tries);
    kernel::counter* counter_of(platform_operation operation);

    const http_platform_settings settings_;
    const platform_observer observer_;
    std::minstd_rand random_;
    std::map<std::string, append_queue> appends_;
    std::map<std::string, follower> followers_;
    std::deque<std::shared_ptr<record_query>> record_queue_;
    std::size_t record_reads_ = 0;
    std::uint64_t last_follower_ = 0;
    unsigned list_failures_ = 0;
    bool stopped_ = false;
    // The loop's thread ends before the state above goes away; the client ends before the loop.
    http::event_loop loop_;
    http::client client_;
};

} // namespace gooseberryfall::platform
