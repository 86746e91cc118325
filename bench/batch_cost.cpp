#include "core/batch_partition.hpp"

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

namespace core = gooseberryfall::core;

namespace {

using seconds = std::chrono::duration<double>;

constexpr std::size_t body_bytes = 1024;
constexpr std::size_t items_per_chunk = 256;
constexpr std::size_t results_per_group = 256;

const core::job_id job("0123456789abcdef0123456789abcdef");

seconds since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::steady_clock::now() - start;
}

/// A stream that is read group by group.
class reader {
public:
    explicit reader(core::batch_partition& partition) : partition_(partition) {}

    void feed(std::vector<core::batch_record> records)
    {
        core::batch_read read;
        read.groups.push_back({next_, core::wall_time(std::chrono::hours(1)), std::move(records)});
        read.head = ++next_;
        const auto start = std::chrono::steady_clock::now();
        partition_.apply(read);
        applying += since(start);
    }

    seconds applying{0};

private:
    core::batch_partition& partition_;
    core::log_offset next_ = 0;
};

void submit(reader& log, std::uint32_t items)
{
    std::uint32_t first = 0;
    while (first < items) {
        core::upload_chunk chunk{"upload", first, {}};
        while (chunk.items.size() < items_per_chunk && first < items) {
            chunk.items.push_back(std::to_string(first) + std::string(body_bytes, 'x'));
            ++first;
        }
        log.feed({{{}, 0, std::move(chunk)}});
    }
    core::job_open open;
    open.job = job;
    open.team = core::team_id("team");
    open.service = core::service_id("captions");
    open.upload = "upload";
    open.item_count = items;
    log.feed({{{}, 0, std::move(open)}});
}

/// Hands out and ends all items; returns the time spent in the partition without `apply`.
seconds run_all(core::batch_partition& partition, reader& log)
{
    const auto any = [](const core::runnable_item&) { return true; };
    seconds deciding{0};
    bool busy = true;
    while (busy) {
        auto start = std::chrono::steady_clock::now();
        std::size_t count = 0;
        while (count < results_per_group) {
            const auto item = partition.next(any, {});
            if (!item) {
                break;
            }
            partition.finished(item->job, item->index, core::item_end::answered, "result", {});
            ++count;
        }
        auto records = partition.take_records({});
        deciding += since(start);
        busy = !records.empty();
        if (busy) {
            log.feed(std::move(records));
            partition.append_acknowledged();
        }
    }
    return deciding;
}

void measure(std::uint32_t items)
{
    core::batch_partition partition{core::batch_settings()};
    reader log(partition);
    partition.begin(1);
    log.feed(partition.take_records({}));
    partition.append_acknowledged();
    const std::size_t empty = partition.memory();
    submit(log, items);
    const seconds apply = log.applying;
    const double live = static_cast<double>(partition.memory() - empty) / items;
    const seconds deciding = run_all(partition, log);
    const double ended = static_cast<double>(partition.memory() - empty) / items;
    const seconds results = log.applying - apply;
    const core::job_status status = *partition.status(job);
    std::printf("%7u items: apply %8.2f ms, next+finished+take %6.0f ns/item, apply results "
                "%6.0f ns/item, %.1f B/item live, %.1f B/item ended, succeeded %u\n",
                items, apply.count() * 1e3, deciding.count() * 1e9 / items,
                results.count() * 1e9 / items, live, ended, status.succeeded);
}

} // namespace

int main()
{
    for (const std::uint32_t items : {1000U, 10'000U, 100'000U, 250'000U}) {
        measure(items);
    }
    return 0;
}
