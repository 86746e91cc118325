#include "edge/job_writer.hpp"

#include <utility>

namespace gooseberryfall::edge {

namespace {

/// Between two tries of an append: a store that refuses is asked ten times a second.
constexpr std::chrono::milliseconds retry_pause{100};

/// What a record's key and framing add to its value at most.
constexpr std::size_t record_overhead = 300;

std::size_t size_of(const keyed_record& record)
{
    return record.key.size() + record.value.size() + record_overhead;
}

} // namespace

job_writer::job_writer(store& durable, http::event_loop& loop, topic_partition place,
                       log_writer writer, store_limits limits, fleet_wire::job_keys keys,
                       std::function<void()> on_fenced)
    : store_(durable), loop_(loop), place_(std::move(place)), writer_(std::move(writer)),
      limits_(limits), on_fenced_(std::move(on_fenced)), keys_(std::move(keys))
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
    enqueue(std::move(parts), std::move(done));
}

void job_writer::drop(const std::string& job)
{
    std::vector<keyed_record> parts = keys_.drop(job);
    if (!parts.empty()) {
        enqueue(std::move(parts), {});
    }
}

void job_writer::enqueue(std::vector<keyed_record> parts, std::function<void(write_outcome)> done)
{
    if (fenced_) {
        if (done) {
            done(write_outcome::fenced);
        }
        return;
    }
    queue_.push_back({std::move(parts), std::move(done)});
    pump();
}

void job_writer::pump()
{
    if (busy_ || queue_.empty() || fenced_) {
        return;
    }
    std::size_t bytes = 0;
    while (!queue_.empty()) {
        entry& next = queue_.front();
        std::size_t taken = 0;
        while (taken < next.parts.size() &&
               (sending_.empty() || bytes + size_of(next.parts[taken]) <= limits_.call_bytes)) {
            bytes += size_of(next.parts[taken]);
            sending_.push_back(std::move(next.parts[taken]));
            ++taken;
        }
        next.parts.erase(next.parts.begin(),
                         next.parts.begin() + static_cast<std::ptrdiff_t>(taken));
        if (!next.parts.empty()) {
            break;
        }
        in_flight_.push_back(std::move(next));
        queue_.pop_front();
    }
    ++writer_.sequence;
    busy_ = true;
    send();
}

void job_writer::send()
{
    store_.append(place_, sending_, writer_,
                  [this, alive = alive_](const store_result<std::uint64_t>& result) {
                      if (*alive) {
                          on_result(result);
                      }
                  });
}

void job_writer::on_result(const store_result<std::uint64_t>& result)
{
    if (result) {
        sending_.clear();
        busy_ = false;
        const auto alive = alive_;
        for (entry& written : std::exchange(in_flight_, {})) {
            if (written.done) {
                written.done(write_outcome::written);
            }
        }
        if (*alive) {
            pump();
        }
        return;
    }
    const store_failure failure = result.error().failure;
    if (failure == store_failure::fenced || failure == store_failure::out_of_sequence) {
        fenced_ = true;
        // Earlier tries of this append may have been carried out only if the answer was lost; then
        // the store gives the first answer again and does not get here.
        std::vector<entry> lost = std::exchange(in_flight_, {});
        for (entry& waiting : queue_) {
            lost.push_back(std::move(waiting));
        }
        queue_.clear();
        for (entry& unwritten : lost) {
            if (unwritten.done) {
                unwritten.done(write_outcome::fenced);
            }
        }
        on_fenced_();
        return;
    }
    loop_.post_after(retry_pause, [this, alive = alive_] {
        if (*alive) {
            send();
        }
    });
}

} // namespace gooseberryfall::edge
