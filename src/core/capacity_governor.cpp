#include "core/capacity_governor.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace gooseberryfall::core {

namespace {

/// A receiver forgets a permit after a second; the rest allows for the time on the way.
constexpr std::chrono::milliseconds permit_lifetime{1200};

/// Permits are renewed at this interval, so that the loss of one message does not end a permit.
constexpr std::chrono::milliseconds permit_renewal{450};

/// Instances that only need to know the online work of others hear it again at this interval.
constexpr std::chrono::milliseconds elsewhere_renewal{900};

/// Bound on the rate of messages that do not withdraw anything.
constexpr std::chrono::milliseconds update_interval{100};

/// Part of the slots by which online work elsewhere must change to be told before the renewal.
constexpr std::uint32_t elsewhere_step = 8;

/// Interval at which a target without new reports is looked at.
constexpr std::chrono::milliseconds check_interval{50};

/// Instances repeat their reports every 400 ms. Until all have been heard, a new governor lets
/// streams run on but permits no new ones.
constexpr std::chrono::milliseconds first_round{500};

constexpr std::chrono::milliseconds sample_step{50};

/// Time in which reports, permits and cancellations take effect. Growth within it has to find free
/// slots.
constexpr std::chrono::milliseconds reaction_time{200};

/// Period after which other instances get the slots that do not divide evenly.
constexpr std::chrono::seconds rotation_period{10};

std::uint32_t minus(std::uint32_t left, std::uint32_t right)
{
    return left - std::min(left, right);
}

} // namespace

capacity_governor::capacity_governor(governor_settings settings) : settings_(settings)
{
    assert(settings_.headroom_max_part >= 0 && settings_.headroom_max_part <= 1);
}

void capacity_governor::govern(const target_id& id, std::uint32_t slots)
{
    assert(slots > 0);
    governed_target& governed = targets_[id];
    governed.changed = governed.changed || governed.slots != slots;
    governed.slots = slots;
}

void capacity_governor::abandon(const target_id& id)
{
    targets_.erase(id);
}

bool capacity_governor::governs(const target_id& id) const
{
    return targets_.contains(id);
}

void capacity_governor::on_report(const instance_id& from, const capacity_report& report,
                                  time_point now)
{
    const auto found = targets_.find(report.target);
    if (found == targets_.end()) {
        return;
    }
    governed_target& governed = found->second;
    if (!governed.since) {
        governed.since = now;
    }
    instance_use& use = governed.uses[from];
    use.report = report;
    use.at = now;
    if (use.withdrawn_at && now > *use.withdrawn_at && report.batch <= use.permitted) {
        use.withdrawn = 0;
        use.withdrawn_at.reset();
    }
    governed.changed = true;
    record(governed, now);
}

void capacity_governor::on_target_report(const target_id& id, std::uint32_t running, time_point now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    governed_target& governed = found->second;
    if (is_new(governed, now)) {
        return;
    }
    // The report lags, so what the instances used at any time of the window explains it.
    std::uint32_t explained = may_use_now(governed, now);
    for (const use_sample& sample : governed.samples) {
        explained = std::max(explained, sample.all_high);
    }
    const std::uint32_t unseen = minus(running, explained);
    governed.changed = governed.changed || unseen != governed.unseen;
    governed.unseen = unseen;
    governed.unseen_at = now;
}

bool capacity_governor::is_reporting(const instance_use& use, time_point now) const
{
    return now < use.at + settings_.report_lifetime;
}

std::uint32_t capacity_governor::online_of(const governed_target& governed, time_point now) const
{
    std::uint32_t online = 0;
    for (const auto& [instance, use] : governed.uses) {
        online += is_reporting(use, now) ? use.report.online : 0;
    }
    return online;
}

std::uint32_t capacity_governor::may_use_now(const governed_target& governed, time_point now) const
{
    std::uint32_t all = 0;
    for (const auto& [instance, use] : governed.uses) {
        if (!is_reporting(use, now)) {
            continue;
        }
        // Streams of a new permit reach the target before the instance reports them.
        const bool unreported =
            use.raised_at && (use.at <= *use.raised_at || now < *use.raised_at + reaction_time);
        const std::uint32_t batch =
            unreported ? std::max(use.report.batch, use.permitted) : use.report.batch;
        all += use.report.online + batch;
    }
    return all;
}

bool capacity_governor::is_new(const governed_target& governed, time_point now) const
{
    return !governed.since || now < *governed.since + first_round;
}

void capacity_governor::record(governed_target& governed, time_point now) const
{
    std::uint32_t online = 0;
    std::uint32_t all = 0;
    for (const auto& [instance, use] : governed.uses) {
        if (is_reporting(use, now)) {
            online += use.report.online;
            all += use.report.online + use.report.batch;
        }
    }
    std::deque<use_sample>& samples = governed.samples;
    if (is_new(governed, now)) {
        // First reports show what ran before, which is not growth.
        samples.assign(1, {now, online, online, online, all});
        return;
    }
    if (samples.empty() || now >= samples.back().at + sample_step) {
        samples.push_back({now, online, online, online, all});
    }
    else {
        use_sample& last = samples.back();
        last.online_low = std::min(last.online_low, online);
        last.online_high = std::max(last.online_high, online);
        last.online_last = online;
        last.all_high = std::max(last.all_high, all);
    }
    // The sample before the window tells what was in force at its start.
    while (samples.size() > 1 && samples[1].at + settings_.peak_window <= now) {
        samples.pop_front();
    }
}

void capacity_governor::forget_silent(governed_target& governed, time_point now) const
{
    const std::size_t before = governed.uses.size();
    std::erase_if(governed.uses, [&](const auto& entry) {
        const instance_use& use = entry.second;
        const bool holds_permit = use.sent_at && now < *use.sent_at + permit_lifetime;
        return !is_reporting(use, now) && !holds_permit;
    });
    if (governed.uses.size() != before) {
        record(governed, now);
    }
}

std::uint32_t capacity_governor::growth(const governed_target& governed, time_point now) const
{
    const std::deque<use_sample>& samples = governed.samples;
    std::uint32_t strongest = 0;
    for (std::size_t late = 1; late < samples.size(); ++late) {
        if (samples[late].at + settings_.peak_window <= now) {
            continue;
        }
        std::uint32_t lowest = samples[late].online_high;
        for (std::size_t early = late; early-- > 0;) {
            if (samples[early].at + reaction_time < samples[late].at) {
                lowest = std::min(lowest, samples[early].online_last);
                break;
            }
            lowest = std::min(lowest, samples[early].online_low);
        }
        strongest = std::max(strongest, samples[late].online_high - lowest);
    }
    return strongest;
}

std::uint32_t capacity_governor::headroom(const governed_target& governed, time_point now) const
{
    // With its only slot kept free, a target could never run a batch item.
    const std::uint32_t least = std::min(settings_.headroom_min, governed.slots - 1);
    const double part = settings_.headroom_max_part * static_cast<double>(governed.slots);
    const std::uint32_t most = std::max(least, static_cast<std::uint32_t>(std::floor(part)));
    return std::clamp(growth(governed, now), least, most);
}

std::uint32_t capacity_governor::limit_of(const governed_target& governed, time_point now) const
{
    if (!settings_.hold_back_batch) {
        return governed.slots;
    }
    const bool unseen_counts =
        governed.unseen_at && now < *governed.unseen_at + settings_.report_lifetime;
    const std::uint32_t unseen = unseen_counts ? governed.unseen : 0;
    const std::uint32_t free = minus(governed.slots, online_of(governed, now));
    return minus(minus(free, unseen), headroom(governed, now));
}

std::uint32_t capacity_governor::batch_limit(const target_id& id, time_point now) const
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? 0 : limit_of(found->second, now);
}

std::vector<capacity_governor::allotment>
capacity_governor::allot(const target_id& id, governed_target& governed, time_point now) const
{
    std::vector<allotment> allotments;
    for (auto& [instance, use] : governed.uses) {
        allotment each;
        each.instance = instance;
        each.use = &use;
        each.reporting = is_reporting(use, now);
        each.demand = each.reporting ? use.demand() : 0;
        allotments.push_back(each);
    }
    const auto period = static_cast<std::uint64_t>(now.time_since_epoch() / rotation_period);
    const std::uint64_t seed = stable_hash(id.value(), period);
    const auto earlier = [&](const allotment& left, const allotment& right) {
        return stable_hash(left.instance.value(), seed) < stable_hash(right.instance.value(), seed);
    };
    std::sort(allotments.begin(), allotments.end(), earlier);

    const std::uint32_t limit = limit_of(governed, now);
    std::uint32_t left = limit;
    bool given = true;
    while (left > 0 && given) {
        given = false;
        for (allotment& each : allotments) {
            if (left > 0 && each.fair < each.demand) {
                ++each.fair;
                --left;
                given = true;
            }
        }
    }

    // What an instance may still run, by a permit on its way or not yet withdrawn, is not given to
    // another one before its report shows that it has been given up.
    std::uint32_t reserved = 0;
    for (allotment& each : allotments) {
        instance_use& use = *each.use;
        if (is_new(governed, now)) {
            each.fair = std::min(each.fair, use.report.batch);
        }
        if (use.withdrawn_at && now >= *use.withdrawn_at + permit_lifetime) {
            use.withdrawn = 0;
            use.withdrawn_at.reset();
        }
        const bool valid = use.sent_at && now < *use.sent_at + permit_lifetime;
        const std::uint32_t outstanding = std::max(valid ? use.permitted : 0, use.withdrawn);
        each.reserved = outstanding;
        if (each.reporting) {
            each.reserved = std::max(std::min(outstanding, each.demand), use.report.batch);
        }
        each.permit = std::min(each.fair, each.reserved);
        reserved += each.reserved;
    }
    std::uint32_t unreserved = minus(limit, reserved);
    for (allotment& each : allotments) {
        const std::uint32_t added = std::min(each.fair - each.permit, unreserved);
        each.permit += added;
        unreserved -= added;
    }
    return allotments;
}

void capacity_governor::send_permits(const target_id& id, governed_target& governed, time_point now,
                                     std::vector<addressed_permit>& sent) const
{
    const std::uint32_t online = online_of(governed, now);
    const std::uint32_t step = std::max(1U, governed.slots / elsewhere_step);
    for (const allotment& each : allot(id, governed, now)) {
        instance_use& use = *each.use;
        if (!each.reporting) {
            continue;
        }
        const std::uint32_t elsewhere = online - use.report.online;
        const std::uint32_t difference =
            std::max(elsewhere, use.told_elsewhere) - std::min(elsewhere, use.told_elsewhere);
        const auto older_than = [&](duration age) {
            return !use.sent_at || now >= *use.sent_at + age;
        };
        const bool withdraw = each.permit < use.permitted;
        const bool raise = each.permit > use.permitted && older_than(update_interval);
        const bool renew = each.permit > 0 && older_than(permit_renewal);
        const bool listens = use.report.online > 0 || each.permit > 0;
        const bool news = listens && difference >= step && older_than(update_interval);
        // Silence already means that there is no online work elsewhere.
        const bool renew_news = listens && elsewhere > 0 && older_than(elsewhere_renewal);
        if (!(withdraw || raise || renew || news || renew_news)) {
            continue;
        }
        if (withdraw) {
            use.withdrawn = std::max(use.withdrawn, use.permitted);
            use.withdrawn_at = now;
        }
        if (raise) {
            use.raised_at = now;
        }
        use.permitted = each.permit;
        use.told_elsewhere = elsewhere;
        use.sent_at = now;
        sent.push_back({each.instance, {id, each.permit, elsewhere}});
    }
}

std::vector<addressed_permit> capacity_governor::permits(time_point now)
{
    std::vector<addressed_permit> sent;
    for (auto& [id, governed] : targets_) {
        const bool due = !governed.checked_at || now >= *governed.checked_at + check_interval;
        if (!governed.changed && !due) {
            continue;
        }
        governed.changed = false;
        governed.checked_at = now;
        forget_silent(governed, now);
        send_permits(id, governed, now, sent);
    }
    return sent;
}

} // namespace gooseberryfall::core
