#include "core/batch_partition.hpp"
#include "fake_batch_log.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <random>
#include <set>

namespace core = gooseberryfall::core;
namespace fake = gooseberryfall::fake;

namespace {

using item_key = std::pair<std::string, std::uint32_t>;

/// A holder, perhaps one that does not know yet that it was replaced.
struct holder {
    std::unique_ptr<core::batch_partition> partition;
    std::vector<core::runnable_item> running;
    /// A group that was sent to the log and not acknowledged.
    std::vector<core::batch_record> sent;
    bool in_log = false;
};

/// Random submissions, runs, lost answers, deaths and takeovers on one stream.
class simulation {
public:
    explicit simulation(unsigned seed) : random_(seed) { take_over(); }

    void run(unsigned steps)
    {
        for (unsigned step = 0; step < steps; ++step) {
            step_once();
            if (step % 50 == 0) {
                check_replays();
            }
        }
        finish_all();
        check_replays();
    }

    /// Items handed out that may not be repeated and were not certainly not run.
    std::map<item_key, unsigned> unrepeatable_runs;
    unsigned takeovers = 0;
    unsigned truncations = 0;
    unsigned jobs_ended = 0;
    unsigned jobs_submitted = 0;
    unsigned repeated_appends = 0;

private:
    unsigned pick(unsigned count) { return static_cast<unsigned>(random_() % count); }

    void step_once()
    {
        log_.now += std::chrono::minutes(pick(12));
        switch (pick(24)) {
        case 0:
            submit();
            break;
        case 1:
            cancel();
            break;
        case 2:
            if (pick(4) == 0) {
                take_over();
            }
            break;
        case 3:
            log_.truncate(settings().log_retention);
            truncations += log_.earliest > 0 ? 1 : 0;
            break;
        default:
            if (!holders_.empty()) {
                act(holders_[pick(static_cast<unsigned>(holders_.size()))]);
            }
            break;
        }
    }

    static core::batch_settings settings() { return fake::short_settings(); }

    void submit()
    {
        const unsigned number = pick(4) == 0 && jobs_ > 0 ? pick(jobs_) : jobs_++;
        drop_forgotten(job(number));
        // A third of the jobs may not be repeated; a resubmission has the same content.
        std::vector<std::string> items;
        for (unsigned index = 0; index < 1 + number * 7 % 23; ++index) {
            items.push_back("body " + std::to_string(index));
        }
        const core::job_options options{number % 3 != 0, 0};
        log_.submit(job(number), "team-" + std::to_string(number % 3), items, options, 4);
        ++jobs_submitted;
    }

    void cancel()
    {
        if (jobs_ > 0 && pick(4) == 0) {
            log_.cancel(job(pick(jobs_)));
        }
    }

    static core::job_id job(unsigned number)
    {
        return core::job_id("job-" + std::to_string(number));
    }

    /// A new holder under the next epoch; the others go on for a while.
    void take_over()
    {
        ++takeovers;
        ++epoch_;
        auto with_name = settings();
        with_name.self.instance = core::instance_id("holder-" + std::to_string(epoch_));
        holder added;
        added.partition = std::make_unique<core::batch_partition>(with_name);
        fake::sync(*added.partition, log_);
        added.partition->begin(epoch_);
        if (holders_.size() > 1 || pick(2) == 0) {
            holders_.erase(holders_.begin(), holders_.end() - (holders_.empty() ? 0 : pick(2)));
        }
        holders_.push_back(std::move(added));
    }

    void act(holder& who)
    {
        switch (pick(4)) {
        case 0:
            fake::sync(*who.partition, log_);
            drop_cancelled(who);
            break;
        case 1:
            append(who);
            break;
        case 2:
            start(who);
            break;
        default:
            end_one(who);
            break;
        }
    }

    void append(holder& who)
    {
        for (const auto& position : who.partition->plan_carry(log_.now)) {
            // Bodies that have left the log cannot be read by a holder that fell behind.
            if (position.position.offset >= log_.earliest) {
                who.partition->provide_body(position, log_.body(position));
            }
        }
        if (who.sent.empty()) {
            who.sent = who.partition->take_records(log_.now);
            who.in_log = false;
            return;
        }
        if (!who.in_log) {
            log_.append(who.sent);
            who.in_log = true;
        }
        else {
            // The answer was lost: the same group, with the same numbers, is appended again.
            const auto& last = find_group(who.sent.front());
            log_.append_numbered(last);
            ++repeated_appends;
        }
        if (pick(3) != 0) {
            who.partition->append_acknowledged();
            who.sent.clear();
        }
    }

    /// The group in the log that begins like the one sent.
    std::vector<core::batch_record> find_group(const core::batch_record& first)
    {
        for (auto group = log_.groups.rbegin(); group != log_.groups.rend(); ++group) {
            if (!group->records.empty() && group->records.front().writer == first.writer) {
                return group->records;
            }
        }
        return {};
    }

    void start(holder& who)
    {
        const auto item = who.partition->next(fake::any, {});
        if (!item) {
            return;
        }
        if (!item->repeatable) {
            ++unrepeatable_runs[{item->job.value(), item->index}];
        }
        who.running.push_back(*item);
    }

    void end_one(holder& who)
    {
        if (who.running.empty()) {
            return;
        }
        const std::size_t place = pick(static_cast<unsigned>(who.running.size()));
        const core::runnable_item item = who.running[place];
        who.running.erase(who.running.begin() + static_cast<std::ptrdiff_t>(place));
        constexpr core::item_end ends[] = {core::item_end::answered, core::item_end::answered,
                                           core::item_end::answered, core::item_end::yielded,
                                           core::item_end::not_run,  core::item_end::lost,
                                           core::item_end::rejected};
        const core::item_end how = ends[pick(std::size(ends))];
        if (how == core::item_end::not_run && !item.repeatable) {
            --unrepeatable_runs[{item.job.value(), item.index}];
        }
        who.partition->finished(item.job, item.index, how,
                                "result " + std::to_string(pick(1000000)), {});
    }

    static void drop_cancelled(holder& who)
    {
        std::erase_if(who.running, [&who](const core::runnable_item& item) {
            return who.partition->is_cancelled(item.job);
        });
    }

    /// Ends all jobs with one last holder.
    void finish_all()
    {
        holders_.clear();
        take_over();
        holder& last = holders_.back();
        for (unsigned round = 0; round < 2000; ++round) {
            fake::settle(*last.partition, log_);
            start(last);
            for (const auto& item : last.running) {
                last.partition->finished(item.job, item.index, core::item_end::answered, "last",
                                         {});
            }
            last.running.clear();
        }
        for (const core::job_status& status : last.partition->list()) {
            cr_assert(status.ended, "%s has not ended", status.job.value().c_str());
            cr_assert(status.cancelled || status.succeeded + status.failed == status.items);
            ++jobs_ended;
        }
    }

    /// Replays from the beginning and from the earliest offset must agree once the holder has done
    /// its duty, and a result that was readable must stay the same.
    void check_replays()
    {
        settle_last();
        log_.truncate(settings().log_retention);
        const auto whole = fake::replay_from(log_, 0);
        const auto late = fake::replay_from(log_, log_.earliest);
        cr_assert_eq(whole.state_hash(), late.state_hash(), "earliest %lu of %lu",
                     static_cast<unsigned long>(log_.earliest),
                     static_cast<unsigned long>(log_.groups.size()));
        for (const core::job_status& status : whole.list()) {
            check_results(whole, status.job);
        }
    }

    /// The last holder appends all that it has to.
    void settle_last()
    {
        holder& last = holders_.back();
        if (!last.sent.empty()) {
            if (!last.in_log) {
                log_.append(std::move(last.sent));
            }
            last.sent.clear();
            last.partition->append_acknowledged();
        }
        fake::settle(*last.partition, log_);
        drop_cancelled(last);
    }

    /// A job that was forgotten may be submitted anew; what is known of it ends then.
    void drop_forgotten(const core::job_id& id)
    {
        log_.cancel(core::job_id("nobody's"));
        if (fake::replay_from(log_, 0).status(id)) {
            return;
        }
        const auto of_job = [&id](const auto& entry) { return entry.first.first == id.value(); };
        std::erase_if(results_, of_job);
        std::erase_if(unrepeatable_runs, of_job);
    }

    void check_results(const core::batch_partition& partition, const core::job_id& id)
    {
        for (const auto& result : partition.results(id, 0, 1000)) {
            cr_assert_geq(result.body.position.offset, log_.earliest, "a result left the log");
            const std::string text = log_.body(result.body);
            const auto seen = results_.try_emplace({id.value(), result.index}, text).first;
            cr_assert_str_eq(seen->second.c_str(), text.c_str(), "a result changed");
        }
    }

    std::mt19937 random_;
    fake::batch_log log_;
    std::vector<holder> holders_;
    core::lease_epoch epoch_ = 0;
    unsigned jobs_ = 0;
    std::map<item_key, std::string> results_;
};

} // namespace

// Guards against items that complete twice or never, results that change, unrepeatable items that
// run twice, and readers that disagree, under overlapping holders, lost append answers, deaths,
// resubmissions, cancellations and truncation.
Test(batch_property, items_complete_exactly_once)
{
    unsigned jobs = 0;
    unsigned repeated = 0;
    unsigned truncations = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        simulation trial(seed);
        trial.run(2000);
        for (const auto& [item, runs] : trial.unrepeatable_runs) {
            cr_assert_leq(runs, 1U, "seed %u: %s item %u ran %u times", seed, item.first.c_str(),
                          item.second, runs);
        }
        cr_assert_gt(trial.takeovers, 3U);
        jobs += trial.jobs_ended;
        repeated += trial.repeated_appends;
        truncations += trial.truncations;
    }
    std::printf("seeds 1 to 40: %u jobs, %u repeated appends, %u reads after truncation\n", jobs,
                repeated, truncations);
    cr_assert_gt(jobs, 100U);
    cr_assert_gt(repeated, 100U);
    cr_assert_gt(truncations, 100U);
}
