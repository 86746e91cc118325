#include "serving/job_ledger.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace gooseberryfall::serving {

namespace {

/// Doublings after which the retry delay has reached its maximum with any settings.
constexpr std::uint32_t doublings_max = 5;

core::service_id choose_item_service(const route& job_route, const job_item& item)
{
    // Most routes have one service, for which the hash isn't needed.
    const bool has_choice = job_route.services.size() > 1;
    return choose_service(job_route, has_choice ? core::stable_hash(item.id) : 0);
}

} // namespace

void job_ledger::load(job_record record)
{
    if (auto* accepted = std::get_if<job_accepted>(&record)) {
        job_entry& entry = jobs_[accepted->job.id];
        entry.team = accepted->job.team;
        entry.route = accepted->job.route;
        entry.accepted_at = accepted->accepted_at;
        entry.items.clear();
        for (job_item& item : accepted->job.items) {
            item_entry added;
            added.spec = std::move(item);
            entry.items.push_back(std::move(added));
        }
        return;
    }
    unapplied_.push_back(std::move(record));
}

void job_ledger::finish_loading()
{
    const auto find_job = [this](const std::string& id) -> job_entry* {
        const auto found = jobs_.find(id);
        return found == jobs_.end() ? nullptr : &found->second;
    };
    const auto on_finished = [&](item_finished& finished) {
        job_entry* job = find_job(finished.job);
        if (job == nullptr || finished.result.item >= job->items.size()) {
            return;
        }
        if (job->results.size() <= finished.position) {
            job->results.resize(finished.position + 1);
            job->written.resize(finished.position + 1, false);
        }
        job->items[finished.result.item].finished = true;
        job->results[finished.position] = std::move(finished.result);
        job->written[finished.position] = true;
    };
    const auto on_closed = [&](const job_closed& closed) {
        if (job_entry* job = find_job(closed.job)) {
            job->closed = true;
            job->close_written = true;
        }
    };
    const auto on_progressed = [&](item_progressed& progressed) {
        job_entry* job = find_job(progressed.job);
        if (job != nullptr && progressed.item < job->items.size()) {
            item_entry& item = job->items[progressed.item];
            item.written_progress = progressed.progress.text.size();
            item.progress = std::move(progressed.progress);
        }
    };
    const auto on_failed = [&](const item_failed& failed) {
        job_entry* job = find_job(failed.job);
        if (job != nullptr && failed.item < job->items.size()) {
            job->items[failed.item].failures = failed.failures;
        }
    };
    for (job_record& record : unapplied_) {
        std::visit(core::visitors{[](const job_accepted&) {}, on_finished, on_closed, on_progressed,
                                  on_failed},
                   record);
    }
    unapplied_.clear();
    for (auto& [id, job] : jobs_) {
        update_confirmed(job);
    }
}

void job_ledger::update_confirmed(job_entry& job)
{
    while (job.confirmed < job.written.size() && job.written[job.confirmed]) {
        ++job.confirmed;
    }
}

accept_result job_ledger::accept(const job_submission& job, core::wall_time now,
                                 std::uint64_t pending_tokens_max,
                                 std::optional<job_record>& record)
{
    const auto existing = jobs_.find(job.id);
    if (existing != jobs_.end()) {
        return existing->second.acceptance_pending ? accept_result::write_pending
                                                   : accept_result::duplicate;
    }
    std::uint64_t submitted_tokens = 0;
    for (const job_item& item : job.items) {
        submitted_tokens += item.tokens;
    }
    const bool limited = pending_tokens_max > 0;
    if (limited && pending_tokens(job.team, job.route) + submitted_tokens > pending_tokens_max) {
        return accept_result::over_limit;
    }
    load(job_accepted{job, now});
    jobs_.at(job.id).acceptance_pending = true;
    record = job_accepted{job, now};
    return accept_result::newly_accepted;
}

void job_ledger::confirm_accepted(const std::string& job)
{
    const auto found = jobs_.find(job);
    if (found != jobs_.end()) {
        found->second.acceptance_pending = false;
    }
}

bool job_ledger::has(const std::string& job) const
{
    const auto found = jobs_.find(job);
    return found != jobs_.end() && !found->second.acceptance_pending;
}

core::team_id job_ledger::team_of(const std::string& job) const
{
    return has(job) ? jobs_.at(job).team : core::team_id();
}

std::string job_ledger::route_of(const std::string& job) const
{
    return has(job) ? jobs_.at(job).route : std::string();
}

std::optional<job_record> job_ledger::close(const std::string& job)
{
    job_entry& entry = jobs_.at(job);
    entry.closed = true;
    return entry.close_written ? std::nullopt : std::optional<job_record>(job_closed{job});
}

void job_ledger::confirm_closed(const std::string& job)
{
    const auto found = jobs_.find(job);
    if (found != jobs_.end()) {
        found->second.close_written = true;
    }
}

std::vector<runnable_item>
job_ledger::runnable(const std::map<std::string, const route*>& routes,
                     const std::map<core::service_id, std::size_t>& places,
                     core::time_point now) const
{
    std::map<core::service_id, std::vector<runnable_item>> queues;
    for (const auto& [id, job] : jobs_) {
        const auto found = routes.find(job.route);
        if (job.acceptance_pending || job.closed || found == routes.end()) {
            continue;
        }
        const route& job_route = *found->second;
        for (std::uint32_t index = 0; index < job.items.size(); ++index) {
            const item_entry& item = job.items[index];
            if (item.finished || item.running || now < item.retry_at) {
                continue;
            }
            const core::service_id service = choose_item_service(job_route, item.spec);
            const auto free = places.find(service);
            if (free != places.end() && free->second > 0) {
                const core::wall_time due_at = job.accepted_at + job_route.batch.result_objective;
                queues[service].push_back({{id, index}, due_at, service, item.spec.tokens});
            }
        }
    }
    const auto earlier = [](const runnable_item& a, const runnable_item& b) {
        return std::tie(a.due_at, a.key) < std::tie(b.due_at, b.key);
    };
    std::vector<runnable_item> result;
    for (auto& [service, queue] : queues) {
        const std::size_t count = std::min(places.at(service), queue.size());
        const auto end = queue.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(queue.begin(), end, queue.end(), earlier);
        std::move(queue.begin(), end, std::back_inserter(result));
    }
    return result;
}

job_ledger::item_entry* job_ledger::find_item(const item_key& key)
{
    const auto found = jobs_.find(key.job);
    if (found == jobs_.end() || key.item >= found->second.items.size()) {
        return nullptr;
    }
    return &found->second.items[key.item];
}

void job_ledger::set_running(const item_key& key, bool running)
{
    if (item_entry* item = find_item(key)) {
        item->running = running;
    }
}

std::uint32_t job_ledger::record_failure(const item_key& key, bool target_failed,
                                         core::time_point now)
{
    item_entry* item = find_item(key);
    if (item == nullptr) {
        return 0;
    }
    item->running = false;
    const std::uint32_t doublings = std::min(item->retries, doublings_max);
    const auto delay = settings_.retry_delay_min * (1U << doublings);
    item->retry_at = now + std::min<std::chrono::milliseconds>(delay, settings_.retry_delay_max);
    ++item->retries;
    item->failures += target_failed ? 1 : 0;
    return item->failures;
}

void job_ledger::advance(const item_key& key, item_progress progress)
{
    if (item_entry* item = find_item(key)) {
        item->progress = std::move(progress);
        item->retries = 0;
    }
}

std::optional<job_record> job_ledger::finish(const item_key& key, result_state state,
                                             std::string output)
{
    item_entry* item = find_item(key);
    if (item == nullptr || item->finished) {
        return std::nullopt;
    }
    job_entry& job = jobs_.at(key.job);
    item->finished = true;
    item->running = false;
    item->progress = {};
    const auto position = static_cast<std::uint32_t>(job.results.size());
    job.results.push_back({key.item, state, std::move(output)});
    job.written.push_back(false);
    return item_finished{key.job, position, job.results.back()};
}

void job_ledger::confirm_finished(const std::string& job, std::uint32_t position)
{
    const auto found = jobs_.find(job);
    if (found == jobs_.end() || position >= found->second.written.size()) {
        return;
    }
    found->second.written[position] = true;
    update_confirmed(found->second);
}

std::vector<job_record> job_ledger::progress_records(std::size_t step)
{
    std::vector<job_record> records;
    for (auto& [id, job] : jobs_) {
        if (job.acceptance_pending || job.closed) {
            continue;
        }
        for (std::uint32_t index = 0; index < job.items.size(); ++index) {
            item_entry& item = job.items[index];
            const std::size_t size = item.progress.text.size();
            if (!item.finished && size >= item.written_progress + step) {
                item.written_progress = size;
                records.emplace_back(item_progressed{id, index, item.progress});
            }
        }
    }
    return records;
}

const job_item& job_ledger::item(const item_key& key) const
{
    return jobs_.at(key.job).items.at(key.item).spec;
}

const item_progress& job_ledger::progress(const item_key& key) const
{
    return jobs_.at(key.job).items.at(key.item).progress;
}

core::wall_time job_ledger::accepted_at(const std::string& job) const
{
    return jobs_.at(job).accepted_at;
}

const std::string* job_ledger::body(const std::string& job, const std::string& item) const
{
    const auto found = jobs_.find(job);
    if (found == jobs_.end() || found->second.acceptance_pending) {
        return nullptr;
    }
    for (const item_entry& entry : found->second.items) {
        if (entry.spec.id == item) {
            return &entry.spec.body;
        }
    }
    return nullptr;
}

std::uint32_t job_ledger::item_count(const std::string& job) const
{
    return has(job) ? static_cast<std::uint32_t>(jobs_.at(job).items.size()) : 0;
}

std::vector<job_result> job_ledger::results(const std::string& job, std::uint32_t first_position,
                                            std::size_t bytes_max) const
{
    std::vector<job_result> result;
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        return result;
    }
    std::size_t bytes = 0;
    for (std::uint32_t position = first_position; position < found->second.confirmed; ++position) {
        const job_result& entry = found->second.results[position];
        bytes += entry.output.size();
        if (!result.empty() && bytes > bytes_max) {
            break;
        }
        result.push_back(entry);
    }
    return result;
}

std::vector<std::string> job_ledger::deletable_jobs(core::wall_time limit) const
{
    std::vector<std::string> result;
    for (const auto& [id, job] : jobs_) {
        const bool idle = job.closed || std::ranges::all_of(job.items, &item_entry::finished);
        const bool written = job.confirmed == job.results.size();
        if (!job.acceptance_pending && job.accepted_at < limit && idle && written) {
            result.push_back(id);
        }
    }
    return result;
}

void job_ledger::remove(const std::string& job)
{
    jobs_.erase(job);
}

std::vector<item_key> job_ledger::pending_item_keys() const
{
    std::vector<item_key> keys;
    for (const auto& [id, job] : jobs_) {
        for (std::uint32_t index = 0; index < job.items.size(); ++index) {
            if (!job.acceptance_pending && !job.closed && !job.items[index].finished) {
                keys.push_back({id, index});
            }
        }
    }
    return keys;
}

std::size_t job_ledger::pending_items() const
{
    return pending_item_keys().size();
}

std::uint64_t job_ledger::pending_tokens(const core::team_id& team, const std::string& route) const
{
    std::uint64_t total = 0;
    for (const auto& [id, job] : jobs_) {
        if (job.closed || job.team != team || job.route != route) {
            continue;
        }
        for (const item_entry& item : job.items) {
            total += item.finished ? 0 : item.spec.tokens;
        }
    }
    return total;
}

} // namespace gooseberryfall::serving
