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

// Replays of the load at its worst against the scheduler alone. Engines have eight slots; an online
// request runs 0.85 s, a batch item 5 s, as the deployments' sheets have them.

const core::time_point start{seconds(1000)};
const core::service_id service{"captions"};
constexpr milliseconds objective{300};
constexpr milliseconds first_event{50};
constexpr milliseconds online_time{850};
constexpr milliseconds item_time{5000};
constexpr milliseconds item_due{18000};

struct arrival {
    milliseconds at{0};
    work_kind kind = work_kind::online;
    /// Of an item.
    milliseconds length = item_time;
};

/// Online requests with exponential gaps at a rate that changes in steps.
std::vector<arrival> steps(double low, double high, seconds length, unsigned seed)
{
    std::mt19937 random(seed);
    std::exponential_distribution<double> gap(1.0);
    std::vector<arrival> result;
    double now = 0;
    const double end = static_cast<double>(length.count());
    while (now < end) {
        const double phase = std::fmod(now, 5.2);
        now += gap(random) / (phase < 3.0 ? low : high);
        result.push_back({milliseconds(static_cast<std::int64_t>(now * 1000)), work_kind::online});
    }
    return result;
}

/// What callers got.
struct tally {
    int asked = 0;
    int on_time = 0;
    int late = 0;
    int items = 0;
    int items_on_time = 0;
    /// Runs of items that had to leave before their first event.
    int wasted_runs = 0;
    milliseconds longest_refusal{0};

    double share() const { return static_cast<double>(on_time) / asked; }
};

/// First come, first served: what the engines' own queues do.
tally serve_in_order(const std::vector<arrival>& arrivals, std::size_t slots)
{
    std::priority_queue<milliseconds, std::vector<milliseconds>, std::greater<>> free;
    for (std::size_t slot = 0; slot < slots; ++slot) {
        free.push(milliseconds(0));
    }
    tally result;
    for (const arrival& entry : arrivals) {
        const milliseconds begin = std::max(entry.at, free.top());
        if (begin - entry.at > seconds(5)) {
            result.asked += 1;
            continue;
        }
        free.pop();
        free.push(begin + online_time);
        ++result.asked;
        const bool in_time = begin + first_event - entry.at <= objective;
        ++(in_time ? result.on_time : result.late);
    }
    return result;
}

/// Drives a scheduler with callers that come back once, as they are told.
class replay {
public:
    replay(std::size_t targets, std::vector<arrival> arrivals) : arrivals_(std::move(arrivals))
    {
        std::vector<serving::target_entry> entries;
        for (std::size_t index = 0; index < targets; ++index) {
            serving::target_entry entry;
            entry.id = core::target_id("t" + std::to_string(index));
            entry.service = service;
            entry.slots = 8;
            entries.push_back(entry);
        }
        scheduler_.set_targets(entries);
    }

    tally run(seconds length)
    {
        for (milliseconds now{0}; now < length; now += milliseconds(5)) {
            end_runs(now);
            arrive(now);
            if (now.count() % 20 == 0) {
                report(now);
                decide(scheduler_.tick(start + now), now);
            }
            if (now.count() % 1000 == 0) {
                ask_again(now);
            }
        }
        return result_;
    }

private:
    struct work {
        work_kind kind = work_kind::online;
        milliseconds asked_at{0};
        milliseconds deadline{0};
        bool returning = false;
        milliseconds left{0};
        milliseconds granted_at{0};
        bool running = false;
    };

    void arrive(milliseconds now)
    {
        for (; next_ < arrivals_.size() && arrivals_[next_].at <= now; ++next_) {
            work added;
            added.kind = arrivals_[next_].kind;
            added.asked_at = now;
            added.deadline = now + (added.kind == work_kind::online ? seconds(5) : item_due);
            added.left = added.kind == work_kind::online ? online_time : arrivals_[next_].length;
            ++(added.kind == work_kind::online ? result_.asked : result_.items);
            ask(added, now);
        }
        while (!returns_.empty() && returns_.begin()->first <= now) {
            work again = returns_.begin()->second;
            returns_.erase(returns_.begin());
            again.asked_at = now;
            ask(again, now);
        }
    }

    void ask(const work& entry, milliseconds now)
    {
        const std::uint64_t number = ++numbers_;
        works_[number] = entry;
        send(number, entry, now);
    }

    /// Items that wait are asked for again, as instances do.
    void ask_again(milliseconds now)
    {
        std::vector<std::uint64_t> waiting;
        for (const auto& [number, entry] : works_) {
            if (!entry.running && entry.kind == work_kind::batch) {
                waiting.push_back(number);
            }
        }
        for (const std::uint64_t number : waiting) {
            const work entry = works_.at(number);
            if (!entry.running) {
                send(number, entry, now);
            }
        }
    }

    void send(std::uint64_t number, const work& entry, milliseconds now)
    {
        serving::slot_request question;
        question.key = {core::instance_id("a"), number};
        question.service = service;
        question.kind = entry.kind;
        question.tokens = static_cast<std::uint32_t>(entry.left.count() / 4);
        question.time_to_objective = objective;
        question.time_to_deadline = entry.deadline - now;
        question.is_retry = entry.returning;
        decide(scheduler_.request_slot(question, start + now), now);
    }

    void decide(const serving::slot_decisions& decisions, milliseconds now)
    {
        for (const serving::slot_decision& decision : decisions) {
            if (const auto* grant = std::get_if<serving::slot_grant>(&decision)) {
                work& entry = works_.at(grant->key.number);
                entry.running = true;
                entry.granted_at = now;
                if (entry.kind == work_kind::online) {
                    const bool in_time = now + first_event - entry.asked_at <= objective;
                    ++(in_time ? result_.on_time : result_.late);
                }
            }
            else if (const auto* refusal = std::get_if<serving::slot_rejection>(&decision)) {
                work entry = works_.at(refusal->key.number);
                works_.erase(refusal->key.number);
                result_.longest_refusal = std::max(result_.longest_refusal, now - entry.asked_at);
                if (!entry.returning) {
                    entry.returning = true;
                    returns_.emplace(now + refusal->retry_after, entry);
                }
            }
            else {
                yield(std::get<serving::slot_preemption>(decision).key.number, now);
            }
        }
    }

    void yield(std::uint64_t number, milliseconds now)
    {
        work entry = works_.at(number);
        works_.erase(number);
        result_.wasted_runs += now - entry.granted_at < first_event ? 1 : 0;
        entry.left -= std::min(entry.left, now - entry.granted_at);
        entry.running = false;
        // The instance hears of it and gives the slot back.
        pending_.push_back({number, entry});
    }

    void end_runs(milliseconds now)
    {
        for (const auto& [number, entry] : std::exchange(pending_, {})) {
            give_back(number, serving::slot_outcome::cancelled, milliseconds(0), now);
            ask(entry, now);
        }
        std::vector<std::uint64_t> done;
        for (const auto& [number, entry] : works_) {
            if (entry.running && now - entry.granted_at >= entry.left) {
                done.push_back(number);
            }
        }
        for (const std::uint64_t number : done) {
            const work entry = works_.at(number);
            works_.erase(number);
            if (entry.kind == work_kind::batch && now <= entry.deadline) {
                ++result_.items_on_time;
            }
            give_back(number, serving::slot_outcome::completed, now - entry.granted_at, now);
        }
    }

    void give_back(std::uint64_t number, serving::slot_outcome outcome, milliseconds duration,
                   milliseconds now)
    {
        decide(scheduler_.release_slot(
                   {{core::instance_id("a"), number}, outcome, first_event, duration}, start + now),
               now);
    }

    void report(milliseconds now)
    {
        std::vector<serving::reported_run> runs;
        for (const auto& [number, entry] : works_) {
            if (entry.running) {
                runs.push_back({number, core::target_id("?"), entry.kind, false});
            }
        }
        decide(scheduler_.reconcile(core::instance_id("a"), runs, start + now), now);
    }

    serving::slot_scheduler scheduler_;
    std::vector<arrival> arrivals_;
    std::size_t next_ = 0;
    std::uint64_t numbers_ = 0;
    std::map<std::uint64_t, work> works_;
    std::multimap<milliseconds, work> returns_;
    std::vector<std::pair<std::uint64_t, work>> pending_;
    tally result_;
};

} // namespace

// Load pattern: online steps that exceed the slots by a third for two seconds in five. Guards
// against a queue in order of arrival, in which one step makes everybody late.
Test(load_replay, steps_beyond_the_slots)
{
    const auto arrivals = steps(20, 130, seconds(30), 7);
    const tally in_order = serve_in_order(arrivals, 80);
    const tally scheduled = replay(10, arrivals).run(seconds(34));
    cr_assert_gt(scheduled.share(), in_order.share() + 0.1, "in order %f, scheduled %f",
                 in_order.share(), scheduled.share());
    cr_assert_gt(scheduled.share(), 0.85, "scheduled %f", scheduled.share());
    // A quarter of the objective: a refusal that comes later costs the caller its second chance.
    cr_assert_leq(scheduled.longest_refusal.count(), 1100);
}

// Load pattern: a lasting overload of half more than the slots. Guards against time spent on
// answers that are late.
Test(load_replay, lasting_overload)
{
    const auto arrivals = steps(140, 140, seconds(20), 11);
    const tally in_order = serve_in_order(arrivals, 80);
    const tally scheduled = replay(10, arrivals).run(seconds(24));
    cr_assert_lt(in_order.share(), 0.25, "in order %f", in_order.share());
    cr_assert_gt(scheduled.share(), 0.55, "scheduled %f", scheduled.share());
}

// Load pattern: batch items for the troughs of the online steps. Guards against items that miss
// their time because each step takes their slots, and against online requests behind items.
Test(load_replay, batch_runs_in_the_troughs)
{
    std::vector<arrival> arrivals = steps(20, 80, seconds(30), 13);
    const std::size_t online = arrivals.size();
    for (int second = 0; second < 20; ++second) {
        for (int item = 0; item < 5; ++item) {
            arrivals.push_back({milliseconds(second * 1000), work_kind::batch});
        }
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    const tally scheduled = replay(10, arrivals).run(seconds(48));
    cr_assert_eq(static_cast<std::size_t>(scheduled.asked), online);
    cr_assert_gt(scheduled.share(), 0.95, "online %f", scheduled.share());
    cr_assert_geq(scheduled.items_on_time, 95, "items on time %d of %d", scheduled.items_on_time,
                  scheduled.items);
}

// Load pattern: a backlog of items, as after a power loss, that is twice what can be done by the
// due time. Guards against items that share the slots until all of them are late.
Test(load_replay, a_backlog_beyond_its_due_time)
{
    std::vector<arrival> arrivals = steps(10, 30, seconds(18), 17);
    for (int item = 0; item < 480; ++item) {
        arrivals.push_back({milliseconds(item * 2), work_kind::batch});
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    const tally scheduled = replay(10, arrivals).run(seconds(30));
    // Some 60 of 80 slots for 18 s make 216 items of 5 s; equal turns would make none in time.
    cr_assert_geq(scheduled.items_on_time, 150, "items on time %d", scheduled.items_on_time);
    cr_assert_gt(scheduled.share(), 0.9, "online %f", scheduled.share());
}

// Load pattern: a backlog that can just be done by its due time, and items that come later, some
// of them shorter. Guards against old items that miss their time behind new ones that have plenty.
Test(load_replay, a_backlog_goes_before_newer_items)
{
    std::vector<arrival> arrivals = steps(20, 80, seconds(40), 23);
    const auto add_item = [&](milliseconds at) {
        const auto step = static_cast<int>(arrivals.size() * 7 % 9) - 4;
        arrivals.push_back({at, work_kind::batch, item_time + step * milliseconds(700)});
    };
    for (int item = 0; item < 150; ++item) {
        add_item(milliseconds(item));
    }
    for (int item = 0; item < 108; ++item) {
        add_item(milliseconds(1000 + item * 167));
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    const tally scheduled = replay(10, arrivals).run(seconds(44));
    cr_assert_eq(scheduled.items_on_time, scheduled.items, "items on time %d of %d",
                 scheduled.items_on_time, scheduled.items);
    cr_assert_gt(scheduled.share(), 0.9, "online %f", scheduled.share());
}

// Load pattern: online work that fills all slots but for gaps of some milliseconds, while items
// wait. Guards against items that begin in each gap and leave it before they have produced
// anything: the target reads their prompts again and again, and callers wait for it.
Test(load_replay, gaps_too_short_for_an_item)
{
    std::vector<arrival> arrivals = steps(90, 90, seconds(20), 19);
    const std::size_t online = arrivals.size();
    for (int item = 0; item < 60; ++item) {
        arrivals.push_back({milliseconds(item * 200), work_kind::batch});
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    const tally scheduled = replay(10, arrivals).run(seconds(40));
    cr_assert_eq(static_cast<std::size_t>(scheduled.asked), online);
    cr_assert_leq(scheduled.wasted_runs, scheduled.items, "%d runs of %d items wasted, %d on time",
                  scheduled.wasted_runs, scheduled.items, scheduled.items_on_time);
    cr_assert_gt(scheduled.share(), 0.85, "online %f", scheduled.share());
}
