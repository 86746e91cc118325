#include "edge/job_group.hpp"

#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::steady_clock;

constexpr const char* group_name = "jobs";

} // namespace

job_group::job_group(store& durable_store, kernel::logger& logger, job_group_settings settings,
                     core::instance_id self, assignment_callback on_assignment)
    : store_(durable_store), logger_(logger), settings_(settings), self_(std::move(self)),
      on_assignment_(std::move(on_assignment))
{
    for (std::uint32_t topic = 0; topic < settings_.topics; ++topic) {
        topics_.push_back("jobs" + std::to_string(topic));
    }
}

job_group::~job_group()
{
    *alive_ = false;
}

std::chrono::milliseconds job_group::next_join_interval(core::time_point now) const
{
    const bool settled = now - group_changed_at_ >= settings_.settling_time;
    return settled ? settings_.join_interval : settings_.unsettled_join_interval;
}

void job_group::tick(core::time_point now)
{
    if (!joining_ || leaving_ || call_pending_) {
        return;
    }
    if (releasing_since_ && now - *releasing_since_ >= settings_.release_timeout) {
        releasing_since_.reset();
    }
    if (releasing_since_ || now - last_attempt_at_ < next_join_interval(now)) {
        return;
    }
    last_attempt_at_ = now;
    call_pending_ = true;
    if (predecessor_removed_) {
        join(now);
    }
    else {
        group_changed_at_ = now;
        remove_predecessor();
    }
}

void job_group::remove_predecessor()
{
    store_.leave(
        group_name, self_.value(), [this, alive = alive_](const store_result<bool>& result) {
            if (!*alive) {
                return;
            }
            call_pending_ = false;
            // The store rejects the call if it doesn't know the member.
            predecessor_removed_ = result || result.error().failure == store_failure::rejected;
            if (predecessor_removed_) {
                last_attempt_at_ = {};
            }
        });
}

void job_group::join(core::time_point now)
{
    store_.join(group_name, self_.value(), topics_, settings_.membership_lifetime, generation_,
                [this, alive = alive_, now](const store_result<group_assignment>& assignment) {
                    if (!*alive) {
                        return;
                    }
                    call_pending_ = false;
                    if (!assignment) {
                        missed_assignment_ = missed_assignment_ ||
                                             assignment.error().failure == store_failure::unknown;
                    }
                    else if (joining_ && !leaving_) {
                        on_joined(*assignment, now);
                    }
                });
}

void job_group::update_formation(bool changed, core::time_point now)
{
    forming_since_ = forming_since_.value_or(now);
    formed_ = formed_ || !changed || now - *forming_since_ >= settings_.formation_time;
}

const char* job_group::find_interruption(std::uint64_t new_generation,
                                         core::time_point sent_at) const
{
    if (generation_ == 0 || new_generation == generation_) {
        return nullptr;
    }
    if (missed_assignment_) {
        return "join_unanswered";
    }
    // The store counts the lifetime from the arrival of a join, which is later. This process or its
    // calls may have been held up, or the store may have refused them.
    if (last_join_sent_at_ && sent_at - *last_join_sent_at_ >= settings_.membership_lifetime) {
        return "membership_expired";
    }
    // A partition that was handed over and back has changed hands twice. That needs no missed join:
    // another instance may have removed this one from the group.
    return new_generation - generation_ > 1 ? "several_changes" : nullptr;
}

void job_group::on_joined(const group_assignment& assignment, core::time_point sent_at)
{
    const bool changed = assignment.generation != generation_;
    const char* interruption = find_interruption(assignment.generation, sent_at);
    if (interruption != nullptr) {
        logger_.write(kernel::log_level::info, "job_assignment_interrupted",
                      {{"reason", interruption},
                       {"generation_before", std::to_string(generation_)},
                       {"generation", std::to_string(assignment.generation)}});
    }
    last_join_sent_at_ = sent_at;
    if (changed) {
        missed_assignment_ = false;
        generation_ = assignment.generation;
        group_changed_at_ = steady_clock::now();
    }
    update_formation(changed, sent_at);
    if (!formed_) {
        // The assignment would not last.
        return;
    }
    const auto on_released = [this, alive = alive_, generation = assignment.generation] {
        if (*alive && generation == generation_ && releasing_since_) {
            // The next join hands the released partitions over.
            releasing_since_.reset();
            last_attempt_at_ = {};
        }
    };
    releasing_since_ = sent_at;
    if (!on_assignment_(assignment, interruption == nullptr, on_released)) {
        releasing_since_.reset();
    }
}

void job_group::remove_member(const core::instance_id& member)
{
    store_.leave(group_name, member.value(),
                 [this, alive = alive_, member](const store_result<bool>& result) {
                     if (!*alive) {
                         return;
                     }
                     // If the call failed, the store drops the member when its membership expires.
                     logger_.write(
                         kernel::log_level::info, "job_owner_removed",
                         {{"instance", member.value()},
                          {"outcome", result ? "done" : to_text(result.error().failure)}});
                     // The partitions of the member are free now: join at once.
                     group_changed_at_ = steady_clock::now();
                     last_attempt_at_ = {};
                 });
}

void job_group::leave(std::function<void()> done)
{
    if (!joining_) {
        done();
        return;
    }
    leaving_ = true;
    store_.leave(group_name, self_.value(),
                 [this, alive = alive_, done = std::move(done)](const store_result<bool>&) {
                     // If the call failed, the store drops the member when its membership expires.
                     if (!*alive) {
                         return;
                     }
                     joining_ = false;
                     leaving_ = false;
                     generation_ = 0;
                     formed_ = false;
                     forming_since_.reset();
                     releasing_since_.reset();
                     done();
                 });
}

} // namespace gooseberryfall::edge
