#pragma once

#include "http/memory_account.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gooseberryfall::http {

/// Settings of `upload_admission`.
struct upload_settings {
    std::size_t capacity_bytes = std::size_t{60} << 20U;
    /// A request of at most this size is small.
    std::size_t small_bytes = 64U << 10U;
    /// One part in this number of the capacity can be taken by small requests only.
    std::size_t small_share_divisor = 4;
    /// Bytes kept for each received byte: the body as received, its copy in the call to the target,
    /// and one more while the body grows or a batch job is decoded.
    std::size_t copies = 3;
    /// Longest sum of the times for which the reading of one request is paused.
    std::chrono::milliseconds pause_max{1000};
    /// An upload without a byte for this time is closed first. Longer than the retransmission
    /// timeout of TCP after one lost packet (200 ms at least).
    std::chrono::milliseconds stall_time{500};
    /// Minimum interval between two searches for an upload to close, which visit all uploads.
    std::chrono::milliseconds search_interval{10};
    /// A large request must deliver `progress_bytes` within each `progress_window`. This is 0.2
    /// percent of the 0.4 MiB/s that 4 MiB within the read timeout of 10 s need, and the window is
    /// longer than a connection recovers from several lost packets.
    std::size_t progress_bytes = 4U << 10U;
    std::chrono::milliseconds progress_window{4000};
};

/// Counters of `upload_admission` since its start.
struct upload_counts {
    std::uint64_t pauses = 0;
    std::uint64_t refusals = 0;
    /// Uploads closed in favour of other requests.
    std::uint64_t evictions = 0;
};

/// Decides which requests may take how much of a memory account. Addresses crowds of large, slow or
/// stalled uploads beside ordinary small requests: small requests have a part of the capacity of
/// their own; if the account is used up, the group with the most bytes gives way, its stalled
/// uploads first; otherwise reading pauses for a short time and the request is refused after that.
/// No I/O. To be used on one thread only; kept alive by its uploads.
class upload_admission : public std::enable_shared_from_this<upload_admission> {
public:
    using time_point = std::chrono::steady_clock::time_point;

    enum class outcome { granted, paused, refused };

    /// One request from its head to the end of its response. Gives its bytes back when destroyed.
    class upload {
    public:
        upload(std::shared_ptr<upload_admission> admission, std::string group,
               std::function<void()> on_evicted, time_point now);
        ~upload();
        upload(const upload&) = delete;
        upload& operator=(const upload&) = delete;
        upload(upload&&) = delete;
        upload& operator=(upload&&) = delete;

        /// Reserves memory for this number of received bytes in total. To be called again after a
        /// pause. Once `refused`, the request has to end.
        outcome grow(std::size_t received_bytes, time_point now);
        /// All of the request has arrived; from now on it may run and is not evicted.
        void complete();
        bool evicted() const { return evicted_; }

    private:
        friend class upload_admission;

        std::shared_ptr<upload_admission> admission_;
        memory_account::reservation reservation_;
        std::function<void()> on_evicted_;
        std::size_t received_ = 0;
        time_point progress_at_;
        std::optional<time_point> paused_since_;
        std::chrono::steady_clock::duration paused_{0};
        bool complete_ = false;
        bool evicted_ = false;
    };

    explicit upload_admission(upload_settings settings);

    /// Starts to account for a request. `on_evicted` is called at most once, within `grow` of
    /// another upload; it must not destroy the upload.
    std::unique_ptr<upload> open(std::string group, std::function<void()> on_evicted,
                                 time_point now);

    const upload_settings& settings() const { return settings_; }
    const std::shared_ptr<memory_account>& account() const { return account_; }
    const upload_counts& counts() const { return counts_; }
    /// Largest request that is served while no other is open.
    std::size_t request_bytes_max() const;

private:
    std::size_t limit_for(std::size_t received_bytes) const;
    void evict_for(const upload& wanting, std::size_t bytes, time_point now);

    upload_settings settings_;
    std::shared_ptr<memory_account> account_;
    std::set<upload*> uploads_;
    time_point searched_at_{};
    upload_counts counts_;
};

} // namespace gooseberryfall::http
