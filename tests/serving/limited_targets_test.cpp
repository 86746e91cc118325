/// Replays a load at targets of which some name a rate limit in their answers.
///
/// Load pattern: online requests come in steps between a fifth of the slots and more than all of
/// them, batch items fill the rest, and seven of ten targets name a rate of a quarter of what they
/// usually take.

#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using serving::work_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};
const core::service_id service{"captions"};
constexpr int target_count = 10;
constexpr int limited_count = 7;
constexpr std::uint32_t slots = 8;
constexpr double limit = 2.8;
constexpr milliseconds online_duration{700};
constexpr milliseconds item_duration{3000};
constexpr milliseconds first_event_delay{60};
constexpr milliseconds objective{300};

bool is_limited(const core::target_id& target)
{
    return std::stoi(target.value()) < limited_count;
}

std::vector<serving::target_entry> make_targets(std::optional<double> rate)
{
    std::vector<serving::target_entry> entries;
    for (int index = 0; index < target_count; ++index) {
        serving::target_entry entry;
        entry.id = core::target_id(std::to_string(index));
        entry.service = service;
        entry.address = "10.0.0.1:" + std::to_string(index);
        entry.slots = slots;
        if (is_limited(entry.id)) {
            entry.rate_limit = rate;
        }
        entries.push_back(entry);
    }
    return entries;
}

/// Arrivals a second: steps of three and two seconds.
int online_rate(milliseconds now, int low, int high)
{
    return now % seconds(5) < seconds(3) ? low : high;
}

struct replay_result {
    int asked = 0;
    int on_time = 0;
    /// Requests that were rejected later than they could have been.
    int rejected_late = 0;
    int rejected_without_delay = 0;
    int items_run = 0;
    /// Times at which each target got a request.
    std::map<core::target_id, std::vector<core::time_point>> sent;

    std::size_t most_in_window(const core::target_id& target, core::time_point from) const
    {
        const auto found = sent.find(target);
        if (found == sent.end()) {
            return 0;
        }
        const auto& times = found->second;
        std::size_t most = 0;
        for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end();
             ++first) {
            const auto end = std::lower_bound(first, times.end(), *first + seconds(4));
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
};

class replay {
public:
    replay(int low, int high) : low_(low), high_(high) {}

    /// Runs with limits from `limits_from` to `limits_to`.
    replay_result run(seconds length, seconds limits_from, seconds limits_to)
    {
        double due = 0;
        for (milliseconds at{0}; at < length; at += milliseconds(5)) {
            now_ = start + at;
            const bool limited = at >= limits_from && at < limits_to;
            if (at == seconds(0) || at == limits_from || at == limits_to) {
                scheduler_.set_targets(make_targets(limited ? std::optional(limit) : std::nullopt),
                                       now_);
            }
            end_runs();
            due += online_rate(at, low_, high_) * 0.005;
            for (; due >= 1; due -= 1) {
                ask(work_kind::online);
            }
            if (at % milliseconds(200) == milliseconds(0)) {
                ask(work_kind::batch);
            }
            if (at % milliseconds(20) == milliseconds(0)) {
                report_runs();
                apply(scheduler_.tick(now_));
            }
        }
        return result_;
    }

private:
    struct request {
        work_kind kind = work_kind::online;
        core::time_point asked_at;
        core::time_point granted_at;
        std::optional<core::target_id> target;
    };

    serving::run_key key(std::uint64_t number) const { return {core::instance_id("a"), number}; }

    void ask(work_kind kind)
    {
        const std::uint64_t number = ++last_number_;
        requests_[number] = {kind, now_, {}, std::nullopt};
        serving::slot_request asked;
        asked.key = key(number);
        asked.service = service;
        asked.kind = kind;
        asked.tokens = kind == work_kind::online ? 160 : 740;
        asked.time_to_objective = objective;
        asked.time_to_deadline = kind == work_kind::online ? seconds(5) : seconds(18);
        result_.asked += kind == work_kind::online ? 1 : 0;
        apply(scheduler_.request_slot(asked, now_));
    }

    void apply(const serving::slot_decisions& decisions)
    {
        for (const serving::slot_decision& decision : decisions) {
            if (const auto* grant = std::get_if<serving::slot_grant>(&decision)) {
                request& granted = requests_.at(grant->key.number);
                granted.granted_at = now_;
                granted.target = grant->target;
                result_.sent[grant->target].push_back(now_);
                if (granted.kind == work_kind::batch) {
                    ++result_.items_run;
                    ends_.emplace(now_ + item_duration, grant->key.number);
                    continue;
                }
                result_.on_time += now_ + first_event_delay - granted.asked_at <= objective ? 1 : 0;
                ends_.emplace(now_ + online_duration, grant->key.number);
            }
            else if (const auto* rejection = std::get_if<serving::slot_rejection>(&decision)) {
                const request& rejected = requests_.at(rejection->key.number);
                result_.rejected_late += now_ - rejected.asked_at > objective ? 1 : 0;
                result_.rejected_without_delay += rejection->retry_after.count() <= 0 ? 1 : 0;
                requests_.erase(rejection->key.number);
            }
            else if (const auto* order = std::get_if<serving::slot_preemption>(&decision)) {
                preempted_.push_back(order->key.number);
            }
        }
        for (const std::uint64_t number : std::exchange(preempted_, {})) {
            release(number, serving::slot_outcome::cancelled);
        }
    }

    void release(std::uint64_t number, serving::slot_outcome outcome)
    {
        const auto found = requests_.find(number);
        if (found == requests_.end() || !found->second.target) {
            return;
        }
        const auto duration =
            std::chrono::duration_cast<milliseconds>(now_ - found->second.granted_at);
        const bool again = outcome == serving::slot_outcome::cancelled;
        requests_.erase(found);
        apply(scheduler_.release_slot({key(number), outcome, first_event_delay, duration}, now_));
        if (again) {
            ask(work_kind::batch);
        }
    }

    void end_runs()
    {
        while (!ends_.empty() && ends_.top().first <= now_) {
            const std::uint64_t number = ends_.top().second;
            ends_.pop();
            release(number, serving::slot_outcome::completed);
        }
    }

    void report_runs()
    {
        std::vector<serving::reported_run> runs;
        for (const auto& [number, each] : requests_) {
            if (each.target) {
                runs.push_back({number, *each.target, each.kind, false});
            }
        }
        apply(scheduler_.reconcile(core::instance_id("a"), runs, now_));
    }

    int low_;
    int high_;
    serving::slot_scheduler scheduler_;
    core::time_point now_ = start;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, request> requests_;
    std::priority_queue<std::pair<core::time_point, std::uint64_t>,
                        std::vector<std::pair<core::time_point, std::uint64_t>>, std::greater<>>
        ends_;
    std::vector<std::uint64_t> preempted_;
    replay_result result_;
};

} // namespace

// Guards against a target that gets more requests than the limit that it has named: of all kinds,
// together with what batch items that are preempted and started again add.
Test(limited_targets, get_no_more_than_they_name, .timeout = 120)
{
    const auto result = replay(20, 130).run(seconds(40), seconds(10), seconds(40));
    for (int index = 0; index < limited_count; ++index) {
        const core::target_id target(std::to_string(index));
        const std::size_t most = result.most_in_window(target, start + seconds(10));
        cr_expect_leq(most, 1.5 * limit * 4 + 5, "target %d got %zu", index, most);
    }
    cr_expect_eq(result.rejected_late, 0);
    cr_expect_eq(result.rejected_without_delay, 0);
    cr_expect_gt(result.items_run, 0);
}

// Guards against limits that cost more than they must: what the targets still take suffices for
// this load.
Test(limited_targets, are_used_up_to_their_limits, .timeout = 120)
{
    const auto free = replay(20, 45).run(seconds(40), seconds(40), seconds(40));
    const auto limited = replay(20, 45).run(seconds(40), seconds(10), seconds(40));
    cr_expect_geq(limited.on_time, free.on_time * 0.97, "%d of %d on time, %d without limits",
                  limited.on_time, limited.asked, free.on_time);
}

// Guards against online requests that are rejected since batch items have used what a target takes.
Test(limited_targets, leave_their_next_request_to_online_requests, .timeout = 120)
{
    // All but some online requests find a free slot at the targets without a limit.
    replay load(30, 40);
    const auto result = load.run(seconds(40), seconds(0), seconds(40));
    cr_expect_geq(result.on_time, result.asked * 0.99, "%d of %d on time", result.on_time,
                  result.asked);
}

// Guards against a limit that goes on after its end.
Test(limited_targets, get_their_usual_load_after_the_limit, .timeout = 120)
{
    const auto free = replay(30, 110).run(seconds(60), seconds(60), seconds(60));
    const auto limited = replay(30, 110).run(seconds(60), seconds(10), seconds(12));
    cr_expect_geq(limited.on_time, free.on_time * 0.95, "%d of %d on time, %d without limits",
                  limited.on_time, limited.asked, free.on_time);
}

// Guards against capacity that is announced for targets which take far fewer requests than they
// have slots: callers would be told to come back before there is room.
Test(limited_targets, capacity_counts_what_the_limits_allow)
{
    serving::slot_scheduler scheduler;
    serving::target_entry target = make_targets(0.5).front();
    scheduler.set_targets({target}, start);
    core::time_point now = start;
    std::uint64_t number = 0;
    std::vector<milliseconds> delays;
    for (int index = 0; index < 12; ++index) {
        serving::slot_request asked;
        asked.key = {core::instance_id("a"), ++number};
        asked.service = service;
        asked.time_to_objective = objective;
        asked.time_to_deadline = seconds(30);
        for (const serving::slot_decision& decision : scheduler.request_slot(asked, now)) {
            if (const auto* rejection = std::get_if<serving::slot_rejection>(&decision)) {
                delays.push_back(rejection->retry_after);
            }
        }
    }
    cr_assert_geq(delays.size(), 9U);
    // The target takes a request every two seconds.
    cr_expect_geq(delays[0].count(), 2000, "%lld ms", static_cast<long long>(delays[0].count()));
    cr_expect_geq(delays[1].count(), 4000, "%lld ms", static_cast<long long>(delays[1].count()));
}
