#include "edge/job_writer.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

/// Delay between attempts of an append, so that a store that rejects calls gets ten a second.
constexpr std::chrono::milliseconds retry_interval{100};

/// Upper bound of the bytes that a record's key and framing add to its value.
constexpr std::size_t record_overhead = 300;

std::size_t encoded_size(const keyed_record& record)
{
    return record.key.size() + record.value.size() + record_overhead;
}

/// Larger records and calls gain nothing, and a page of the store's response contains at least one
/// whole record.
constexpr store_limits used_limits_max{.record_bytes = 4U << 20U, .call_bytes = 8U << 20U};

store_limits reduce_limits(const store_limits& limits)
{
    return {.record_bytes = std::min(limits.record_bytes, used_limits_max.record_bytes),
            .call_bytes = std::min(limits.call_bytes, used_limits_max.call_bytes)};
}

} // namespace

std::size_t min_record_bytes()
{
    return fleet_wire::min_value_bytes() + record_overhead;
}

job_writer::job_writer(store& durable_store, http::event_loop& loop, topic_partition log_partition,
                       log_writer writer, store_limits limits, fleet_wire::job_key_index keys,
                       std::uint64_t end_offset, std::function<void()> on_fenced)
    : store_(durable_store), loop_(loop), log_partition_(std::move(log_partition)),
      writer_(std::move(writer)), limits_(reduce_limits(limits)), on_fenced_(std::move(on_fenced)),
      keys_(std::move(keys)), end_offset_(end_offset)
{
}

job_writer::~job_writer()
{
    *alive_ = false;
}

void job_writer::write(const serving::job_record& record, std::function<void(write_outcome)> done)
{
    std::vector<keyed_record> parts =
        fleet_wire::encode(record, limits_.record_bytes - record_overhead);
    for (const keyed_record& part : parts) {
        keys_.add(part.key);
    }
    enqueue({std::move(parts), std::move(done)});
}

void job_writer::raise_epoch(std::uint64_t epoch, std::function<void(write_outcome)> done)
{
    enqueue({{}, std::move(done), epoch});
}

void job_writer::delete_job(const std::string& job)
{
    std::vector<keyed_record> parts = keys_.take_tombstones(job);
    if (!parts.empty()) {
        enqueue({std::move(parts), {}});
    }
}

void job_writer::enqueue(queued_write write)
{
    if (fenced_) {
        if (write.done) {
            write.done(write_outcome::fenced);
        }
        return;
    }
    queue_.push_back(std::move(write));
    start_next_append();
}

void job_writer::start_next_append()
{
    if (appending_ || queue_.empty() || fenced_) {
        return;
    }
    if (const auto epoch = queue_.front().epoch) {
        writer_.epoch = *epoch;
        writer_.sequence = 1;
        in_flight_.push_back(std::move(queue_.front()));
        queue_.pop_front();
        appending_ = true;
        send_append();
        return;
    }
    std::size_t bytes = 0;
    while (!queue_.empty() && !queue_.front().epoch) {
        queued_write& next = queue_.front();
        std::size_t batched = 0;
        while (batched < next.parts.size() &&
               (append_records_.empty() ||
                bytes + encoded_size(next.parts[batched]) <= limits_.call_bytes)) {
            bytes += encoded_size(next.parts[batched]);
            append_records_.push_back(std::move(next.parts[batched]));
            ++batched;
        }
        next.parts.erase(next.parts.begin(),
                         next.parts.begin() + static_cast<std::ptrdiff_t>(batched));
        if (!next.parts.empty()) {
            break;
        }
        in_flight_.push_back(std::move(next));
        queue_.pop_front();
    }
    ++writer_.sequence;
    appending_ = true;
    send_append();
}

void job_writer::send_append()
{
    store_.append(log_partition_, append_records_, writer_,
                  [this, alive = alive_](const store_result<std::uint64_t>& result) {
                      if (*alive) {
                          on_append_result(result);
                      }
                  });
}

void job_writer::fail_all()
{
    fenced_ = true;
    // This append has certainly not been applied: if an earlier attempt was applied and only
    // its response was lost, the store repeats that response instead of failing the retry.
    std::vector<queued_write> lost = std::exchange(in_flight_, {});
    for (queued_write& waiting : queue_) {
        lost.push_back(std::move(waiting));
    }
    queue_.clear();
    for (queued_write& unwritten : lost) {
        if (unwritten.done) {
            unwritten.done(write_outcome::fenced);
        }
    }
    on_fenced_();
}

void job_writer::on_append_result(const store_result<std::uint64_t>& result)
{
    if (result) {
        if (append_records_.empty() && *result != end_offset_) {
            // Others are fenced now, but have written before. What waits comes from a stale ledger.
            found_other_records_ = true;
            fail_all();
            return;
        }
        end_offset_ = std::max(end_offset_, *result);
        append_records_.clear();
        appending_ = false;
        const auto alive = alive_;
        for (queued_write& written : std::exchange(in_flight_, {})) {
            if (written.done) {
                written.done(write_outcome::written);
            }
        }
        if (*alive) {
            start_next_append();
        }
        return;
    }
    const store_failure failure = result.error().failure;
    if (failure == store_failure::fenced || failure == store_failure::out_of_sequence) {
        fail_all();
        return;
    }
    loop_.post_after(retry_interval, [this, alive = alive_] {
        if (*alive) {
            send_append();
        }
    });
}

} // namespace gooseberryfall::edge
