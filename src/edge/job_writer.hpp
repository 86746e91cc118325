#pragma once

#include "edge/store.hpp"
#include "fleet_wire/fleet_wire.hpp"
#include "http/event_loop.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Outcome of writing a record.
enum class write_outcome {
    written,
    /// Another instance has taken over the partition, and the record was certainly not written.
    fenced,
};

/// Size limits of the store.
struct store_limits {
    /// Maximum bytes of one record.
    std::size_t record_bytes = 262144;
    /// Maximum bytes of all records of one call.
    std::size_t call_bytes = 2097152;
};

/// Smallest `store_limits::record_bytes` with which every accepted job can be stored. Thread-safe.
std::size_t min_record_bytes();

/// Writes the records of a partition in order, one append at a time, and retries each append until
/// it is known to be written or the partition is lost. A retry has the same sequence number, so
/// that the store applies the append only once even if an earlier attempt is applied late. To be
/// used on the event loop's thread only.
class job_writer {
public:
    /// `keys` are the keys of the records in the log, which ends at `end_offset`. `on_fenced` is
    /// called once, when another writer has taken over the partition.
    job_writer(store& durable_store, http::event_loop& loop, topic_partition log_partition,
               log_writer writer, store_limits limits, fleet_wire::job_key_index keys,
               std::uint64_t end_offset, std::function<void()> on_fenced);
    ~job_writer();
    job_writer(const job_writer&) = delete;
    job_writer& operator=(const job_writer&) = delete;
    job_writer(job_writer&&) = delete;
    job_writer& operator=(job_writer&&) = delete;

    /// Writes a record and calls `done`, which may be empty.
    void write(const serving::job_record& record, std::function<void(write_outcome)> done);

    /// Deletes all records of a job. Precondition: the job is closed, and the record that closes it
    /// was passed to `write` before or read from the log.
    void delete_job(const std::string& job);

    /// Writes under a higher epoch from here on, so that the store rejects appends of all owners
    /// with a lower one, and calls `done`. If another writer has written to the log before, nothing
    /// that waits is written, as if this writer were fenced.
    void raise_epoch(std::uint64_t epoch, std::function<void(write_outcome)> done);

    /// Epoch and sequence number of the current append, or of the last one.
    std::uint64_t epoch() const { return writer_.epoch; }
    std::uint64_t sequence() const { return writer_.sequence; }

    /// Whether a change of the epoch has shown records of another writer.
    bool found_other_records() const { return found_other_records_; }

    /// Number of writes that aren't known to be complete.
    std::size_t pending() const { return queue_.size() + in_flight_.size(); }

private:
    struct queued_write {
        std::vector<keyed_record> parts;
        std::function<void(write_outcome)> done;
        /// Set for a change of the epoch, which has no records.
        std::optional<std::uint64_t> epoch{};
    };

    void enqueue(queued_write write);
    /// Ends the writer: no write that isn't complete will be written.
    void fail_all();
    void start_next_append();
    void send_append();
    void on_append_result(const store_result<std::uint64_t>& result);

    store& store_;
    http::event_loop& loop_;
    topic_partition log_partition_;
    log_writer writer_;
    store_limits limits_;
    std::function<void()> on_fenced_;
    fleet_wire::job_key_index keys_;
    /// Offset after the last record that is known to be in the log.
    std::uint64_t end_offset_;
    std::deque<queued_write> queue_;
    /// Writes whose last part is in the current append.
    std::vector<queued_write> in_flight_;
    /// Records of the current append.
    std::vector<keyed_record> append_records_;
    bool appending_ = false;
    bool fenced_ = false;
    bool found_other_records_ = false;
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
