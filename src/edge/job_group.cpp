#include "edge/job_group.hpp"

#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::steady_clock;

constexpr const char* group_name = "jobs";

} // namespace

job_group::job_group(store& durable, kernel::logger& logger, job_group_settings settings,
                     core::instance_id self, view_handler on_view)
    : store_(durable), logger_(logger), settings_(settings), self_(std::move(self)),
      on_view_(std::move(on_view))
{
    for (std::uint32_t topic = 0; topic < settings_.topics; ++topic) {
        topics_.push_back("jobs" + std::to_string(topic));
    }
}

job_group::~job_group()
{
    *alive_ = false;
}

std::chrono::milliseconds job_group::interval(core::time_point now) const
{
    const bool settled = now - changed_at_ >= settings_.settling;
    return settled ? settings_.join_interval : settings_.unsettled_interval;
}

void job_group::tick(core::time_point now)
{
    if (!participates_ || leaving_ || busy_) {
        return;
    }
    if (releasing_since_ && now - *releasing_since_ >= settings_.release_max) {
        releasing_since_.reset();
    }
    if (releasing_since_ || now - tried_at_ < interval(now)) {
        return;
    }
    tried_at_ = now;
    busy_ = true;
    if (predecessor_removed_) {
        join(now);
    }
    else {
        changed_at_ = now;
        remove_predecessor();
    }
}

void job_group::remove_predecessor()
{
    store_.leave(group_name, self_.value(), [this, alive = alive_](const store_result<bool>& left) {
        if (!*alive) {
            return;
        }
        busy_ = false;
        // A store that does not know the member says so.
        predecessor_removed_ = left || left.error().failure == store_failure::rejected;
        if (predecessor_removed_) {
            tried_at_ = {};
        }
    });
}

void job_group::join(core::time_point now)
{
    store_.join(group_name, self_.value(), topics_, settings_.membership, generation_,
                [this, alive = alive_, now](const store_result<group_assignment>& view) {
                    if (!*alive) {
                        return;
                    }
                    busy_ = false;
                    if (!view) {
                        missed_view_ =
                            missed_view_ || view.error().failure == store_failure::unknown;
                    }
                    else if (!leaving_) {
                        on_joined(*view, now);
                    }
                });
}

void job_group::on_joined(const group_assignment& view, core::time_point sent)
{
    joined_at_ = sent;
    const bool changed = view.generation != generation_;
    const bool continuous = !changed || !std::exchange(missed_view_, false);
    if (changed) {
        generation_ = view.generation;
        changed_at_ = steady_clock::now();
    }
    const auto on_released = [this, alive = alive_, generation = view.generation] {
        if (*alive && generation == generation_ && releasing_since_) {
            // The next join hands them over.
            releasing_since_.reset();
            tried_at_ = {};
        }
    };
    releasing_since_ = sent;
    if (!on_view_(view, continuous, on_released)) {
        releasing_since_.reset();
    }
}

void job_group::remove(const core::instance_id& member)
{
    store_.leave(group_name, member.value(),
                 [this, alive = alive_, member](const store_result<bool>& left) {
                     if (!*alive) {
                         return;
                     }
                     // If the call failed, the member is dropped when its membership ends.
                     logger_.write(kernel::log_level::info, "job_owner_removed",
                                   {{"instance", member.value()},
                                    {"outcome", left ? "done" : to_text(left.error().failure)}});
                     // Its partitions are free now.
                     changed_at_ = steady_clock::now();
                     tried_at_ = {};
                 });
}

void job_group::leave(std::function<void()> done)
{
    leaving_ = true;
    if (!participates_) {
        done();
        return;
    }
    store_.leave(group_name, self_.value(),
                 [alive = alive_, done = std::move(done)](const store_result<bool>&) {
                     // A member that could not leave is dropped when its membership ends.
                     if (*alive) {
                         done();
                     }
                 });
}

} // namespace gooseberryfall::edge
