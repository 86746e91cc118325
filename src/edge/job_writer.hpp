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
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// What became of a record.
enum class write_outcome {
    written,
    /// The partition belongs to another instance now; the record was certainly not written.
    fenced,
};

/// Sizes that the store allows.
struct store_limits {
    /// Bytes of one record.
    std::size_t record_bytes = 262144;
    /// Bytes of the records of one call.
    std::size_t call_bytes = 2097152;
};

/// Writes the records of a partition in order, one append at a time, until each is known to be
/// written or the partition is lost. A repeated append has the same sequence, so that the store
/// takes it once even if an earlier one is carried out late. For the loop's thread.
class job_writer {
public:
    /// `keys` are those of the records that are in the log. `on_fenced` is called once, when
    /// another writer has taken the partition.
    job_writer(store& durable, http::event_loop& loop, topic_partition place, log_writer writer,
               store_limits limits, fleet_wire::job_keys keys, std::function<void()> on_fenced);
    ~job_writer();
    job_writer(const job_writer&) = delete;
    job_writer& operator=(const job_writer&) = delete;
    job_writer(job_writer&&) = delete;
    job_writer& operator=(job_writer&&) = delete;

    /// Writes a record. `done` may be empty.
    void write(const serving::job_record& record, std::function<void(write_outcome)> done);

    /// Deletes all records of a job. Precondition: the job has ended, and the record that says so
    /// was given to `write`, or read from the log.
    void drop(const std::string& job);

    /// Records that are not known to be written.
    std::size_t pending() const { return queue_.size() + in_flight_.size(); }

private:
    struct entry {
        std::vector<keyed_record> parts;
        std::function<void(write_outcome)> done;
    };

    void enqueue(std::vector<keyed_record> parts, std::function<void(write_outcome)> done);
    void pump();
    void send();
    void on_result(const store_result<std::uint64_t>& result);

    store& store_;
    http::event_loop& loop_;
    topic_partition place_;
    log_writer writer_;
    store_limits limits_;
    std::function<void()> on_fenced_;
    fleet_wire::job_keys keys_;
    std::deque<entry> queue_;
    /// Entries whose last part is in the append under way.
    std::vector<entry> in_flight_;
    std::vector<keyed_record> sending_;
    bool busy_ = false;
    bool fenced_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
