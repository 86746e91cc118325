#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using serving::work_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Replays peak loads against the scheduler alone. Targets have eight slots; an online request runs
// for 0.85 s and a batch item for 5 s, as in the specifications of the deployments.

const core::time_point start{seconds(1000)};
const core::service_id service{"captions"};
constexpr milliseconds objective{300};
constexpr milliseconds first_event_delay{50};
constexpr milliseconds online_duration{850};
constexpr milliseconds item_duration{5000};
constexpr milliseconds item_due_time{18000};

struct arrival {
    milliseconds at{0};
    work_kind kind = work_kind::online;
    /// Run time of a batch item.
    milliseconds length = item_duration;
};

/// Online requests with exponentially distributed intervals, at a rate that alternates between
/// `low` for 3 s and `high` for 2.2 s.
std::vector<arrival> step_load(double low, double high, seconds length, unsigned seed)
{
    std::mt19937 random(seed);
    std::exponential_distribution<double> interval(1.0);
    std::vector<arrival> result;
    double now = 0;
    const double end = static_cast<double>(length.count());
    while (now < end) {
        const double phase = std::fmod(now, 5.2);
        now += interval(random) / (phase < 3.0 ? low : high);
        result.push_back({milliseconds(static_cast<std::int64_t>(now * 1000)), work_kind::online});
    }
    return result;
}

/// Counts over all requests of a replay.
struct replay_result {
    int request_count = 0;
    int on_time = 0;
    int late = 0;
    int item_count = 0;
    int items_on_time = 0;
    /// Batch runs that were preempted before their first event.
    int wasted_runs = 0;
    milliseconds rejection_wait_max{0};

    double on_time_fraction() const { return static_cast<double>(on_time) / request_count; }
};

/// Serves requests in order of arrival, as the targets' own queues do.
replay_result simulate_fifo(const std::vector<arrival>& arrivals, std::size_t slots)
{
    std::priority_queue<milliseconds, std::vector<milliseconds>, std::greater<>> free;
    for (std::size_t slot = 0; slot < slots; ++slot) {
        free.push(milliseconds(0));
    }
    replay_result result;
    for (const arrival& entry : arrivals) {
        const milliseconds begin = std::max(entry.at, free.top());
        if (begin - entry.at > seconds(5)) {
            result.request_count += 1;
            continue;
        }
        free.pop();
        free.push(begin + online_duration);
        ++result.request_count;
        const bool is_on_time = begin + first_event_delay - entry.at <= objective;
        ++(is_on_time ? result.on_time : result.late);
    }
    return result;
}

/// Drives a scheduler with callers that retry once, after the delay that they are given.
class scheduler_replay {
public:
    scheduler_replay(std::size_t targets, std::vector<arrival> arrivals)
        : arrivals_(std::move(arrivals))
    {
        std::vector<serving::target_entry> entries;
        for (std::size_t index = 0; index < targets; ++index) {
            serving::target_entry entry;
            entry.id = core::target_id("t" + std::to_string(index));
            entry.service = service;
            entry.slots = 8;
            entries.push_back(entry);
        }
        scheduler_.set_targets(entries, core::time_point());
    }

    replay_result run(seconds length)
    {
        for (milliseconds now{0}; now < length; now += milliseconds(5)) {
            end_runs(now);
            process_arrivals(now);
            if (now.count() % 20 == 0) {
                report_runs(now);
                apply(scheduler_.tick(start + now), now);
            }
            if (now.count() % 1000 == 0) {
                repeat_batch_requests(now);
            }
        }
        return result_;
    }

private:
    struct simulated_request {
        work_kind kind = work_kind::online;
        milliseconds arrived_at{0};
        milliseconds deadline{0};
        bool is_retry = false;
        milliseconds remaining{0};
        milliseconds granted_at{0};
        bool running = false;
    };

    void process_arrivals(milliseconds now)
    {
        for (; next_ < arrivals_.size() && arrivals_[next_].at <= now; ++next_) {
            simulated_request added;
            added.kind = arrivals_[next_].kind;
            added.arrived_at = now;
            added.deadline = now + (added.kind == work_kind::online ? seconds(5) : item_due_time);
            added.remaining =
                added.kind == work_kind::online ? online_duration : arrivals_[next_].length;
            ++(added.kind == work_kind::online ? result_.request_count : result_.item_count);
            submit(added, now);
        }
        while (!retries_.empty() && retries_.begin()->first <= now) {
            simulated_request retry = retries_.begin()->second;
            retries_.erase(retries_.begin());
            retry.arrived_at = now;
            submit(retry, now);
        }
    }

    void submit(const simulated_request& entry, milliseconds now)
    {
        const std::uint64_t number = ++last_number_;
        requests_[number] = entry;
        send_request(number, entry, now);
    }

    /// Repeats the requests of queued batch items, as instances do.
    void repeat_batch_requests(milliseconds now)
    {
        std::vector<std::uint64_t> waiting;
        for (const auto& [number, entry] : requests_) {
            if (!entry.running && entry.kind == work_kind::batch) {
                waiting.push_back(number);
            }
        }
        for (const std::uint64_t number : waiting) {
            const simulated_request entry = requests_.at(number);
            if (!entry.running) {
                send_request(number, entry, now);
            }
        }
    }

    void send_request(std::uint64_t number, const simulated_request& entry, milliseconds now)
    {
        serving::slot_request request;
        request.key = {core::instance_id("a"), number};
        request.service = service;
        request.kind = entry.kind;
        request.tokens = static_cast<std::uint32_t>(entry.remaining.count() / 4);
        request.time_to_objective = objective;
        request.time_to_deadline = entry.deadline - now;
        request.is_retry = entry.is_retry;
        apply(scheduler_.request_slot(request, start + now), now);
    }

    void apply(const serving::slot_decisions& decisions, milliseconds now)
    {
        for (const serving::slot_decision& decision : decisions) {
            if (const auto* grant = std::get_if<serving::slot_grant>(&decision)) {
                simulated_request& entry = requests_.at(grant->key.number);
                entry.running = true;
                entry.granted_at = now;
                if (entry.kind == work_kind::online) {
                    const bool is_on_time = now + first_event_delay - entry.arrived_at <= objective;
                    ++(is_on_time ? result_.on_time : result_.late);
                }
            }
            else if (const auto* rejection = std::get_if<serving::slot_rejection>(&decision)) {
                simulated_request entry = requests_.at(rejection->key.number);
                requests_.erase(rejection->key.number);
                result_.rejection_wait_max =
                    std::max(result_.rejection_wait_max, now - entry.arrived_at);
                if (!entry.is_retry) {
                    entry.is_retry = true;
                    retries_.emplace(now + rejection->retry_after, entry);
                }
            }
            else {
                preempt(std::get<serving::slot_preemption>(decision).key.number, now);
            }
        }
    }

    void preempt(std::uint64_t number, milliseconds now)
    {
        simulated_request entry = requests_.at(number);
        requests_.erase(number);
        result_.wasted_runs += now - entry.granted_at < first_event_delay ? 1 : 0;
        entry.remaining -= std::min(entry.remaining, now - entry.granted_at);
        entry.running = false;
        // The instance receives the preemption and releases the slot in the next step.
        preempted_.push_back({number, entry});
    }

    void end_runs(milliseconds now)
    {
        for (const auto& [number, entry] : std::exchange(preempted_, {})) {
            release(number, serving::slot_outcome::cancelled, milliseconds(0), now);
            submit(entry, now);
        }
        std::vector<std::uint64_t> finished;
        for (const auto& [number, entry] : requests_) {
            if (entry.running && now - entry.granted_at >= entry.remaining) {
                finished.push_back(number);
            }
        }
        for (const std::uint64_t number : finished) {
            const simulated_request entry = requests_.at(number);
            requests_.erase(number);
            if (entry.kind == work_kind::batch && now <= entry.deadline) {
                ++result_.items_on_time;
            }
            release(number, serving::slot_outcome::completed, now - entry.granted_at, now);
        }
    }

    void release(std::uint64_t number, serving::slot_outcome outcome, milliseconds duration,
                 milliseconds now)
    {
        apply(scheduler_.release_slot(
                  {{core::instance_id("a"), number}, outcome, first_event_delay, duration},
                  start + now),
              now);
    }

    void report_runs(milliseconds now)
    {
        std::vector<serving::reported_run> runs;
        for (const auto& [number, entry] : requests_) {
            if (entry.running) {
                runs.push_back({number, core::target_id("?"), entry.kind, false});
            }
        }
        apply(scheduler_.reconcile(core::instance_id("a"), runs, start + now), now);
    }

    serving::slot_scheduler scheduler_;
    std::vector<arrival> arrivals_;
    std::size_t next_ = 0;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, simulated_request> requests_;
    std::multimap<milliseconds, simulated_request> retries_;
    std::vector<std::pair<std::uint64_t, simulated_request>> preempted_;
    replay_result result_;
};

} // namespace

// Load pattern: online load that exceeds the slots by a third for two out of five seconds. Guards
// against a FIFO queue, in which one such step makes all requests late.
Test(load_replay, load_steps_beyond_capacity)
{
    const auto arrivals = step_load(20, 130, seconds(30), 7);
    const replay_result fifo = simulate_fifo(arrivals, 80);
    const replay_result scheduled = scheduler_replay(10, arrivals).run(seconds(34));
    cr_assert_gt(scheduled.on_time_fraction(), fifo.on_time_fraction() + 0.1,
                 "in order %f, scheduled %f", fifo.on_time_fraction(),
                 scheduled.on_time_fraction());
    cr_assert_gt(scheduled.on_time_fraction(), 0.85, "scheduled %f", scheduled.on_time_fraction());
    // A later rejection costs the caller its only retry.
    cr_assert_leq(scheduled.rejection_wait_max.count(), 1100);
}

// Load pattern: a sustained overload of 1.5 times the slots. Guards against slot time spent on late
// responses.
Test(load_replay, sustained_overload)
{
    const auto arrivals = step_load(140, 140, seconds(20), 11);
    const replay_result fifo = simulate_fifo(arrivals, 80);
    const replay_result scheduled = scheduler_replay(10, arrivals).run(seconds(24));
    cr_assert_lt(fifo.on_time_fraction(), 0.25, "in order %f", fifo.on_time_fraction());
    cr_assert_gt(scheduled.on_time_fraction(), 0.55, "scheduled %f", scheduled.on_time_fraction());
}

// Load pattern: batch items that fit between the peaks of the online load. Guards against items
// that miss their due time because each peak preempts them, and against online requests that wait
// for items.
Test(load_replay, batch_items_run_between_peaks)
{
    std::vector<arrival> arrivals = step_load(20, 80, seconds(30), 13);
    const std::size_t online = arrivals.size();
    for (int second = 0; second < 20; ++second) {
        for (int item = 0; item < 5; ++item) {
            arrivals.push_back({milliseconds(second * 1000), work_kind::batch});
        }
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    const replay_result scheduled = scheduler_replay(10, arrivals).run(seconds(48));
    cr_assert_eq(static_cast<std::size_t>(scheduled.request_count), online);
    cr_assert_gt(scheduled.on_time_fraction(), 0.95, "online %f", scheduled.on_time_fraction());
    cr_assert_geq(scheduled.items_on_time, 95, "items on time %d of %d", scheduled.items_on_time,
                  scheduled.item_count);
}

// Load pattern: a backlog of batch items, as after a power loss, of twice the work that can be done
// by the due time. Guards against items that share the slots until all of them are late.
Test(load_replay, backlog_beyond_due_time)
{
    std::vector<arrival> arrivals = step_load(10, 30, seconds(18), 17);
    for (int item = 0; item < 480; ++item) {
        arrivals.push_back({milliseconds(item * 2), work_kind::batch});
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    const replay_result scheduled = scheduler_replay(10, arrivals).run(seconds(30));
    // About 60 of 80 slots for 18 s suffice for 216 items of 5 s; with round robin none would be on
    // time.
    cr_assert_geq(scheduled.items_on_time, 150, "items on time %d", scheduled.items_on_time);
    cr_assert_gt(scheduled.on_time_fraction(), 0.9, "online %f", scheduled.on_time_fraction());
}

// Load pattern: a backlog that can just be done by its due time, and items that arrive later, some
// of them shorter. Guards against old items that miss their due time because they wait behind new
// ones with much slack.
Test(load_replay, backlog_precedes_newer_items)
{
    std::vector<arrival> arrivals = step_load(20, 80, seconds(40), 23);
    const auto add_item = [&](milliseconds at) {
        const auto step = static_cast<int>(arrivals.size() * 7 % 9) - 4;
        arrivals.push_back({at, work_kind::batch, item_duration + step * milliseconds(700)});
    };
    for (int item = 0; item < 150; ++item) {
        add_item(milliseconds(item));
    }
    for (int item = 0; item < 108; ++item) {
        add_item(milliseconds(1000 + item * 167));
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    const replay_result scheduled = scheduler_replay(10, arrivals).run(seconds(44));
    cr_assert_eq(scheduled.items_on_time, scheduled.item_count, "items on time %d of %d",
                 scheduled.items_on_time, scheduled.item_count);
    cr_assert_gt(scheduled.on_time_fraction(), 0.9, "online %f", scheduled.on_time_fraction());
}

// Load pattern: online requests that fill all slots except for gaps of some milliseconds, while
// batch items are queued. Guards against items that start in each gap and are preempted before
// their first event: the target processes their prompts repeatedly, which delays online requests.
Test(load_replay, gaps_too_short_for_batch_items)
{
    std::vector<arrival> arrivals = step_load(90, 90, seconds(20), 19);
    const std::size_t online = arrivals.size();
    for (int item = 0; item < 60; ++item) {
        arrivals.push_back({milliseconds(item * 200), work_kind::batch});
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    const replay_result scheduled = scheduler_replay(10, arrivals).run(seconds(40));
    cr_assert_eq(static_cast<std::size_t>(scheduled.request_count), online);
    cr_assert_leq(scheduled.wasted_runs, scheduled.item_count,
                  "%d runs of %d items wasted, %d on time", scheduled.wasted_runs,
                  scheduled.item_count, scheduled.items_on_time);
    cr_assert_gt(scheduled.on_time_fraction(), 0.85, "online %f", scheduled.on_time_fraction());
}
