#include "engine_usage.hpp"

#include <algorithm>
#include <map>

namespace {

constexpr std::chrono::milliseconds noticeable_wait{2};

std::int64_t to_us(std::chrono::steady_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

/// Highest deficit of a token bucket that starts full and is charged at each time.
double excess_over(const team_load& team, std::vector<std::int64_t> times)
{
    std::sort(times.begin(), times.end());
    double level = team.burst;
    double excess = 0;
    std::int64_t last = times.empty() ? 0 : times.front();
    for (const std::int64_t at : times) {
        const double filled = static_cast<double>(at - last) * team.rate / 1e6;
        level = std::min(team.burst, level + filled) - 1;
        last = at;
        excess = std::max(excess, -level);
    }
    return excess;
}

} // namespace

engine_usage evaluate_usage(const std::vector<process_deployment::seen_request>& records,
                            const workload& load, std::chrono::steady_clock::time_point from,
                            std::chrono::steady_clock::time_point to)
{
    const std::int64_t begin = to_us(from);
    const std::int64_t end = to_us(to);
    double online_us = 0;
    double batch_us = 0;
    std::uint64_t batch_completed = 0;
    engine_usage usage;
    latency_histogram waits;
    std::uint64_t waited = 0;
    std::chrono::microseconds longest{0};
    std::map<std::string, std::vector<std::int64_t>> times;
    for (const auto& record : records) {
        const std::string user = json_field(record.body, "user");
        const std::int64_t ended = record.ended_us == 0 ? end : record.ended_us;
        const std::int64_t first = std::max(record.started_us, begin);
        const std::int64_t last = std::min(ended, end);
        const double overlap = record.started_us == 0
                                   ? 0
                                   : static_cast<double>(std::max<std::int64_t>(0, last - first));
        const bool ended_within = record.ended_us >= begin && record.ended_us < end;
        if (!user.empty()) {
            online_us += overlap;
            if (record.at_us >= begin && record.at_us < end && record.started_us != 0) {
                const std::chrono::microseconds wait(record.started_us - record.at_us);
                waits.add(wait);
                waited += wait > noticeable_wait ? 1 : 0;
                longest = std::max(longest, wait);
            }
            times[user].push_back(record.at_us);
            continue;
        }
        batch_us += overlap;
        batch_completed += ended_within && record.end == "completed" ? 1 : 0;
        usage.batch_cancelled += ended_within && record.end == "cancelled" ? 1 : 0;
    }
    const double all_us = static_cast<double>(end - begin) * load.engines * load.slots;
    usage.online_part = online_us / all_us;
    usage.batch_part = batch_us / all_us;
    usage.batch_use_of_idle = batch_us / std::max(1.0, all_us - online_us);
    usage.batch_items_per_second =
        static_cast<double>(batch_completed) / (static_cast<double>(end - begin) / 1e6);
    if (waits.count() > 0) {
        usage.slot_wait_p99_ms = waits.quantile_ms(0.99);
        usage.slot_wait_max_ms = std::chrono::duration<double, std::milli>(longest).count();
        usage.waited_part = static_cast<double>(waited) / static_cast<double>(waits.count());
    }
    for (const team_load& team : load.teams) {
        usage.over_admission =
            std::max(usage.over_admission, excess_over(team, times["key-" + team.name]));
    }
    return usage;
}
