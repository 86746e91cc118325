#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Replays batch items that arrive faster than they can run. Two targets of eight slots run an item
// in 4 s, which makes 4 items a second.

const core::time_point start{seconds(1000)};
const core::service_id service{"captions"};
constexpr std::uint32_t target_count = 2;
constexpr std::uint32_t slots_per_target = 8;
constexpr milliseconds item_duration{4000};
constexpr milliseconds first_event_delay{100};
constexpr std::uint32_t item_tokens = 1000;
constexpr milliseconds objective{10000};
constexpr milliseconds lifetime{20000};
constexpr milliseconds silence_max{1200};
constexpr milliseconds step{20};
/// Items that the owner runs or requests slots for at the same time.
constexpr std::size_t concurrent_max = 64;
constexpr milliseconds retry_delay{200};

serving::target_entry make_target(std::uint32_t index)
{
    serving::target_entry entry;
    entry.id = core::target_id("t" + std::to_string(index));
    entry.service = service;
    entry.slots = slots_per_target;
    return entry;
}

serving::slot_request make_request(std::uint64_t number, milliseconds time_to_expiry)
{
    serving::slot_request request;
    request.key = {core::instance_id("a"), number};
    request.service = service;
    request.kind = serving::work_kind::batch;
    request.tokens = item_tokens;
    request.time_to_deadline = time_to_expiry - (lifetime - objective);
    request.time_to_expiry = time_to_expiry;
    return request;
}

/// An owner of batch items that requests slots for the items that are due first.
class owner_replay {
public:
    owner_replay()
    {
        std::vector<serving::target_entry> targets;
        for (std::uint32_t index = 0; index < target_count; ++index) {
            targets.push_back(make_target(index));
        }
        scheduler_.set_targets(targets, start);
    }

    /// Items finished a second in the second half, at an arrival rate of `load` times the capacity.
    double goodput(int load, seconds length)
    {
        const milliseconds interval = item_duration / (target_count * slots_per_target) / load;
        milliseconds next_arrival{0};
        for (milliseconds now{0}; now < length; now += step) {
            for (; next_arrival <= now; next_arrival += interval) {
                items_[++last_number_].accepted_at = next_arrival;
            }
            end_runs(now);
            request_slots(now);
            report_runs(now);
            apply(scheduler_.tick(start + now), now);
            if (now < length / 2) {
                finished_ = 0;
            }
        }
        return finished_ / (static_cast<double>(length.count()) / 2);
    }

private:
    enum class stage { waiting, requested, running };
    struct item {
        milliseconds accepted_at{0};
        milliseconds changed_at{0};
        milliseconds retry_at{0};
        stage state = stage::waiting;
    };

    void end_runs(milliseconds now)
    {
        const auto items = items_;
        for (const auto& [number, each] : items) {
            const milliseconds expires_at = each.accepted_at + lifetime;
            const bool complete =
                each.state == stage::running && now >= each.changed_at + item_duration;
            if (!complete && now < expires_at) {
                continue;
            }
            items_.erase(number);
            finished_ += complete ? 1 : 0;
            if (each.state != stage::waiting) {
                release(number, each, complete, now);
            }
        }
    }

    void release(std::uint64_t number, const item& ended, bool complete, milliseconds now)
    {
        // A target that reaches the time limit closes the connection.
        const serving::run_limits limits{start + ended.accepted_at + lifetime, start + now,
                                         silence_max};
        serving::slot_result result;
        result.key = {core::instance_id("a"), number};
        result.outcome =
            complete ? serving::slot_outcome::completed
                     : serving::judge_run_end(serving::slot_outcome::broken, limits, start + now);
        result.first_event_delay = first_event_delay;
        result.duration = now - ended.changed_at;
        apply(scheduler_.release_slot(result, start + now), now);
    }

    void request_slots(milliseconds now)
    {
        const auto is_active = [](const auto& entry) {
            return entry.second.state != stage::waiting;
        };
        auto active =
            static_cast<std::size_t>(std::count_if(items_.begin(), items_.end(), is_active));
        // Numbers are in the order of due times.
        for (auto& [number, each] : items_) {
            const bool repeats = each.state == stage::requested && now.count() % 1000 == 0;
            const bool begins =
                each.state == stage::waiting && now >= each.retry_at && active < concurrent_max;
            if (begins) {
                each.state = stage::requested;
                ++active;
            }
            if (begins || repeats) {
                const milliseconds left = each.accepted_at + lifetime - now;
                apply(scheduler_.request_slot(make_request(number, left), start + now), now);
            }
        }
    }

    void report_runs(milliseconds now)
    {
        std::vector<serving::reported_run> runs;
        for (const auto& [number, each] : items_) {
            if (each.state == stage::running) {
                runs.push_back({number, core::target_id("?"), serving::work_kind::batch, false});
            }
        }
        apply(scheduler_.reconcile(core::instance_id("a"), runs, start + now), now);
    }

    void apply(const serving::slot_decisions& decisions, milliseconds now)
    {
        for (const serving::slot_decision& decision : decisions) {
            if (const auto* grant = std::get_if<serving::slot_grant>(&decision)) {
                item& granted = items_.at(grant->key.number);
                granted.state = stage::running;
                granted.changed_at = now;
            }
            else if (const auto* rejection = std::get_if<serving::slot_rejection>(&decision)) {
                item& rejected = items_.at(rejection->key.number);
                rejected.state = stage::waiting;
                rejected.retry_at = now + retry_delay;
            }
        }
    }

    serving::slot_scheduler scheduler_;
    std::map<std::uint64_t, item> items_;
    std::uint64_t last_number_ = 0;
    int finished_ = 0;
};

std::vector<std::uint64_t> granted_numbers(const serving::slot_decisions& decisions)
{
    std::vector<std::uint64_t> result;
    for (const serving::slot_decision& decision : decisions) {
        if (const auto* grant = std::get_if<serving::slot_grant>(&decision)) {
            result.push_back(grant->key.number);
        }
    }
    return result;
}

} // namespace

// Load pattern: batch items at one to eight times the capacity, for several lifetimes. Guards
// against slots that are used for items that expire during their run.
Test(expiring_items, goodput_under_overload)
{
    constexpr seconds length{120};
    const double at_capacity = owner_replay().goodput(1, length);
    cr_log_info("load 1: %.2f items/s", at_capacity);
    for (const int load : {2, 4, 8}) {
        const double overloaded = owner_replay().goodput(load, length);
        cr_log_info("load %d: %.2f items/s", load, overloaded);
        cr_expect_geq(overloaded, 0.9 * at_capacity, "load %d: %f, at capacity %f", load,
                      overloaded, at_capacity);
    }
}

// Guards against an item that starts shortly before it expires while another one waits.
Test(expiring_items, item_that_can_finish_starts_first)
{
    serving::slot_scheduler scheduler;
    serving::target_entry target = make_target(0);
    target.slots = 1;
    scheduler.set_targets({target}, start);
    scheduler.request_slot(make_request(1, lifetime), start);
    scheduler.request_slot(make_request(2, seconds(2)), start);
    scheduler.request_slot(make_request(3, seconds(12)), start);
    const serving::slot_result ended{
        {core::instance_id("a"), 1}, serving::slot_outcome::cancelled, {}, milliseconds(10)};
    const auto granted = granted_numbers(scheduler.release_slot(ended, start + milliseconds(10)));
    cr_assert(granted == std::vector<std::uint64_t>{3});
}

// Guards against slots that stay free while an item waits that might not finish.
Test(expiring_items, item_with_little_time_uses_a_free_slot)
{
    serving::slot_scheduler scheduler;
    scheduler.set_targets({make_target(0)}, start);
    const auto granted =
        granted_numbers(scheduler.request_slot(make_request(1, seconds(2)), start));
    cr_assert(granted == std::vector<std::uint64_t>{1});
}
