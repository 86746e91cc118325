#include "edge/job_partition.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

/// All owners write under the same name, because the store compares epochs only within a name.
constexpr const char* writer_name = "owner";

/// Milliseconds per token, used until an item has completed.
constexpr double initial_token_time_ms = 4.0;
/// Weight of the previous average in the moving average of the time per token.
constexpr double token_time_smoothing = 0.9;
/// The remaining tokens of an item are estimated as at least its total tokens divided by this.
constexpr std::uint32_t min_remaining_tokens_divisor = 12;
/// Delay before a failed step of taking over the log is retried.
constexpr milliseconds takeover_retry_interval{150};
/// Interval of the checks for items to abandon and jobs to delete. Their lifetimes are seconds
/// long, so that a coarse check is enough.
constexpr milliseconds expiry_check_interval{250};
/// Delay after which callers may retry a call that couldn't be served.
constexpr milliseconds default_retry_after{300};

core::wall_time wall_now()
{
    return std::chrono::time_point_cast<milliseconds>(system_clock::now());
}

} // namespace

job_partition::job_partition(edge_context& context, store& durable_store,
                             topic_partition log_partition, std::uint64_t epoch,
                             partition_settings settings, std::function<void()> on_lost)
    : context_(context), store_(durable_store), log_partition_(std::move(log_partition)),
      epoch_(epoch), settings_(settings), on_lost_(std::move(on_lost)),
      token_time_ms_(initial_token_time_ms)
{
}

job_partition::~job_partition()
{
    *alive_ = false;
    lost_ = true;
    for (const auto& [key, run] : runs_) {
        run->stop();
    }
    for (const pending_read& read : pending_reads_) {
        read.done(job_outcome::unavailable, default_retry_after);
    }
}

void job_partition::start(std::optional<std::uint64_t> fenced_sequence)
{
    if (fenced_sequence) {
        first_sequence_ = *fenced_sequence;
        load(std::nullopt);
        return;
    }
    fence();
}

void job_partition::fence()
{
    // From here on the store rejects appends of the previous owner.
    store_.append(log_partition_, {}, log_writer{writer_name, epoch_, 0},
                  [this, alive = alive_](const store_result<std::uint64_t>& result) {
                      if (!*alive) {
                          return;
                      }
                      if (result) {
                          load(std::nullopt);
                          return;
                      }
                      if (result.error().failure == store_failure::fenced) {
                          mark_lost("fenced while taking over");
                          return;
                      }
                      context_.loop.post_after(takeover_retry_interval, [this, alive] {
                          if (*alive) {
                              fence();
                          }
                      });
                  });
}

void job_partition::load(const std::optional<std::string>& after)
{
    store_.read_latest(log_partition_, after, load_timeout_.timeout(),
                       [this, alive = alive_, after](store_result<log_page> result) {
                           if (!*alive) {
                               return;
                           }
                           if (!result) {
                               load_timeout_.on_timeout();
                               context_.loop.post_after(takeover_retry_interval,
                                                        [this, alive, after] {
                                                            if (*alive) {
                                                                load(after);
                                                            }
                                                        });
                               return;
                           }
                           for (keyed_record& record : result->records) {
                               loaded_keys_.add(record.key);
                               assembler_.add(record.key, std::move(record.value));
                           }
                           loaded_end_offset_ = result->end_offset;
                           if (result->next_key) {
                               load(result->next_key);
                               return;
                           }
                           on_loaded();
                       });
}

void job_partition::on_loaded()
{
    for (serving::job_record& record : assembler_.take_records()) {
        ledger_.load(std::move(record));
    }
    ledger_.finish_loading();
    writer_ = std::make_unique<job_writer>(
        store_, context_.loop, log_partition_, log_writer{writer_name, epoch_, first_sequence_},
        settings_.limits, std::move(loaded_keys_), loaded_end_offset_, [this] { on_fenced(); });
    context_.logger.write(kernel::log_level::info, "partition_owned",
                          {{"topic", log_partition_.topic},
                           {"partition", std::to_string(log_partition_.partition)},
                           {"epoch", std::to_string(epoch_)},
                           {"open_items", std::to_string(ledger_.pending_items())},
                           {"unreadable", std::to_string(assembler_.unreadable_count())}});
    context_.fleet.trigger_report();
    if (unverified_epoch_) {
        start_verification();
    }
}

void job_partition::verify_ownership(std::uint64_t epoch)
{
    unverified_epoch_ = epoch;
    if (is_loaded()) {
        start_verification();
    }
}

void job_partition::start_verification()
{
    writer_->raise_epoch(*unverified_epoch_, [this, alive = alive_,
                                              epoch = *unverified_epoch_](write_outcome outcome) {
        if (*alive && outcome == write_outcome::written && unverified_epoch_ == epoch) {
            unverified_epoch_.reset();
        }
    });
}

void job_partition::on_fenced()
{
    if (writer_->found_other_records()) {
        reload_sequence_ = writer_->sequence();
        mark_lost("another owner has written to the log");
        return;
    }
    mark_lost("fenced by a newer owner");
}

void job_partition::mark_lost(const std::string& reason)
{
    if (lost_) {
        return;
    }
    lost_ = true;
    context_.logger.write(kernel::log_level::warning, "partition_lost",
                          {{"topic", log_partition_.topic},
                           {"partition", std::to_string(log_partition_.partition)},
                           {"epoch", std::to_string(epoch_)},
                           {"reason", reason}});
    // Deferred, because the callback destroys this object.
    context_.loop.post([on_lost = on_lost_, alive = alive_] {
        if (*alive) {
            on_lost();
        }
    });
}

void job_partition::handle(const core::team_id& team, const job_call& call,
                           bool membership_confirmed, const job_response_callback& done)
{
    assert(serves());
    const bool confirmed = membership_confirmed && is_verified();
    if (const auto* submission = std::get_if<submit_job>(&call)) {
        handle_submit(team, *submission, done);
        return;
    }
    const std::string job = std::visit(core::visitors{
                                           [](const submit_job& request) { return request.job.id; },
                                           [](const auto& request) { return request.job; },
                                       },
                                       call);
    if (!ledger_.has(job) || ledger_.team_of(job) != team) {
        done(confirmed ? job_outcome::not_found : job_outcome::unavailable, default_retry_after);
        return;
    }
    std::visit(core::visitors{
                   [](const submit_job&) {},
                   [&](const read_results& request) { handle_read(request, confirmed, done); },
                   [&](const read_item& request) {
                       const std::string* body = ledger_.body(request.job, request.item);
                       if (body == nullptr) {
                           done(job_outcome::not_found, {});
                           return;
                       }
                       done(*body, {});
                   },
                   [&](const cancel_job& request) { handle_cancel(request, done); },
               },
               call);
}

void job_partition::respond_after_write(const serving::job_record& record, job_outcome outcome,
                                        const job_response_callback& done,
                                        std::function<void()> on_written)
{
    const auto responded = std::make_shared<bool>(false);
    const auto respond = [responded, done](job_outcome result) {
        if (!std::exchange(*responded, true)) {
            done(result, default_retry_after);
        }
    };
    context_.loop.post_after(settings_.write_timeout,
                             [respond] { respond(job_outcome::uncertain); });
    writer_->write(record,
                   [respond, outcome, on_written = std::move(on_written)](write_outcome written) {
                       if (written == write_outcome::written) {
                           on_written();
                           respond(outcome);
                           return;
                       }
                       respond(job_outcome::uncertain);
                   });
}

void job_partition::handle_submit(const core::team_id& team, const submit_job& call,
                                  const job_response_callback& done)
{
    std::uint64_t pending_tokens_max = 0;
    if (context_.routes != nullptr) {
        const serving::route* route = context_.routes->find_batch_route(call.job.route);
        pending_tokens_max = route == nullptr ? 0 : route->batch.pending_tokens_max;
    }
    if (ledger_.has(call.job.id) && ledger_.team_of(call.job.id) != team) {
        done(job_outcome::invalid, {});
        return;
    }
    if (!ledger_.holds(call.job.id) && !fleet_wire::is_encodable(call.job)) {
        done(job_outcome::too_large, {});
        return;
    }
    std::optional<serving::job_record> record;
    const serving::accept_result acceptance =
        ledger_.accept(call.job, wall_now(), pending_tokens_max, record);
    context_.logger.write(
        kernel::log_level::info, "job_received",
        {{"id", call.job.id},
         {"team", team.value()},
         {"items", std::to_string(call.job.items.size())},
         {"waiting_tokens", std::to_string(ledger_.pending_tokens(team, call.job.route))},
         {"waiting_max", std::to_string(pending_tokens_max)},
         {"verdict",
          acceptance == serving::accept_result::over_limit ? "over_limit" : "accepted"}});
    switch (acceptance) {
    case serving::accept_result::duplicate:
        done(job_outcome::accepted, {});
        return;
    case serving::accept_result::over_limit:
        done(job_outcome::over_limit, default_retry_after);
        return;
    case serving::accept_result::write_pending:
        done(job_outcome::uncertain, default_retry_after);
        return;
    case serving::accept_result::newly_accepted:
        respond_after_write(*record, job_outcome::accepted, done,
                            [this, job = call.job.id] { ledger_.confirm_accepted(job); });
        return;
    }
}

void job_partition::handle_read(const read_results& call, bool confirmed,
                                const job_response_callback& done)
{
    const results_page page = make_results_page(call.job, call.first_position);
    const bool may_wait = page.results.empty() && page.next_position < page.total;
    if (may_wait && call.wait > milliseconds(0)) {
        pending_reads_.push_back(
            {call.job, call.first_position, steady_clock::now() + call.wait, done});
        return;
    }
    respond_with_page(page, confirmed, done);
}

void job_partition::respond_with_page(const results_page& page, bool confirmed,
                                      const job_response_callback& done)
{
    // Another owner may have shown results at a position where this one has none.
    const bool lacks_results = page.results.empty() && page.next_position < page.total;
    if (lacks_results && !confirmed) {
        done(job_outcome::unavailable, default_retry_after);
        return;
    }
    done(page, {});
}

results_page job_partition::make_results_page(const std::string& job,
                                              std::uint32_t first_position) const
{
    results_page page;
    page.total = ledger_.item_count(job);
    page.next_position = first_position;
    for (serving::job_result& result :
         ledger_.results(job, first_position, settings_.results_page_bytes)) {
        page.results.push_back(
            {ledger_.item_id({job, result.item}), result.state, std::move(result.output)});
        ++page.next_position;
    }
    return page;
}

void job_partition::complete_reads(const std::string& job)
{
    for (auto read = pending_reads_.begin(); read != pending_reads_.end();) {
        const results_page page =
            read->job == job ? make_results_page(job, read->first_position) : results_page();
        if (page.results.empty()) {
            ++read;
            continue;
        }
        const job_response_callback done = std::move(read->done);
        read = pending_reads_.erase(read);
        done(page, {});
    }
}

void job_partition::handle_cancel(const cancel_job& call, const job_response_callback& done)
{
    const std::optional<serving::job_record> record = ledger_.close(call.job);
    stop_runs(call.job);
    if (!record) {
        done(job_outcome::cancelled, {});
        return;
    }
    context_.logger.write(kernel::log_level::info, "job_ended", {{"id", call.job}});
    // A repeated call may arrive while the record is being written. It appends the record again;
    // appends are ordered, so its response follows the first write.
    respond_after_write(*record, job_outcome::cancelled, done,
                        [this, job = call.job] { ledger_.confirm_closed(job); });
}

void job_partition::stop_runs(const std::string& job)
{
    std::vector<std::shared_ptr<item_run>> stopped;
    for (auto run = runs_.begin(); run != runs_.end();) {
        const auto current = run++;
        if (current->first.job == job) {
            stopped.push_back(current->second);
            runs_.erase(current);
        }
    }
    for (const auto& run : stopped) {
        run->stop();
    }
}

std::uint32_t job_partition::remaining_tokens(const serving::item_key& key) const
{
    const std::uint32_t total_tokens = context_.translator.expected_item_tokens(ledger_.item(key));
    const auto found = generation_times_.find(key);
    if (found == generation_times_.end()) {
        return total_tokens;
    }
    const double generated_tokens = static_cast<double>(found->second.count()) / token_time_ms_;
    const double remaining =
        std::max(static_cast<double>(total_tokens) - generated_tokens,
                 static_cast<double>(total_tokens) / min_remaining_tokens_divisor);
    return static_cast<std::uint32_t>(remaining);
}

void job_partition::tick(core::time_point now, bool membership_confirmed)
{
    if (!is_loaded() || lost_ || releasing_) {
        return;
    }
    for (auto read = pending_reads_.begin(); read != pending_reads_.end();) {
        if (now < read->deadline) {
            ++read;
            continue;
        }
        const pending_read timed_out = std::move(*read);
        read = pending_reads_.erase(read);
        respond_with_page(make_results_page(timed_out.job, timed_out.first_position),
                          membership_confirmed && is_verified(), timed_out.done);
    }
    if (now - expiry_checked_at_ >= expiry_check_interval) {
        expiry_checked_at_ = now;
        abandon_expired_items(now);
        delete_old_jobs();
    }
    start_items(now);
    if (now - progress_written_at_ >= settings_.progress_interval) {
        progress_written_at_ = now;
        for (const auto& [key, run] : runs_) {
            ledger_.advance(key, run->progress());
        }
        for (const serving::job_record& record :
             ledger_.progress_records(settings_.progress_min_bytes)) {
            writer_->write(record, {});
        }
    }
}

void job_partition::start_items(core::time_point now)
{
    if (context_.routes == nullptr) {
        return;
    }
    std::map<std::string, const serving::route*> routes;
    std::map<core::service_id, std::size_t> places;
    for (const serving::route& route : context_.routes->state().routes) {
        if (route.kind != serving::request_kind::batch) {
            continue;
        }
        routes[route.name] = &route;
        for (const serving::weighted_service& entry : route.services) {
            places[entry.service] = settings_.concurrent_items_max;
        }
    }
    for (const auto& [key, run] : runs_) {
        const auto found = places.find(run->service());
        if (found != places.end() && found->second > 0) {
            --found->second;
        }
    }
    std::erase_if(places, [](const auto& entry) { return entry.second == 0; });
    if (places.empty()) {
        return;
    }
    for (const serving::runnable_item& item : ledger_.runnable(routes, places, now)) {
        start_item(item, now);
    }
}

bool job_partition::start_item(const serving::runnable_item& item, core::time_point now)
{
    const std::string& job = item.key.job;
    const serving::route* route = context_.routes->find_batch_route(ledger_.route_of(job));
    if (route == nullptr) {
        return false;
    }
    const core::wall_time wall_clock_now = wall_now();
    item_run_input input;
    input.key = item.key;
    input.item = ledger_.item(item.key);
    input.progress = ledger_.progress(item.key);
    input.team = ledger_.team_of(job);
    input.host = route->host;
    input.service = item.service;
    input.remaining_tokens = remaining_tokens(item.key);
    input.due_at = now + (item.due_at - wall_clock_now);
    input.expires_at =
        now + (ledger_.accepted_at(job) + route->batch.item_lifetime - wall_clock_now);
    if (input.expires_at <= now) {
        return false;
    }
    const auto run = std::make_shared<item_run>(
        context_, std::move(input),
        [this, alive = alive_, key = item.key](const item_run_result& run_result) {
            if (*alive) {
                on_item_end(key, run_result);
            }
        });
    ledger_.set_running(item.key, true);
    runs_.emplace(item.key, run);
    run->start();
    return true;
}

void job_partition::on_item_end(const serving::item_key& key, const item_run_result& run_result)
{
    runs_.erase(key);
    generation_times_[key] += run_result.run_time;
    switch (run_result.outcome) {
    case item_run_outcome::completed: {
        const double tokens = context_.translator.expected_item_tokens(ledger_.item(key));
        const auto total_run_ms = static_cast<double>(generation_times_[key].count());
        if (tokens > 0) {
            token_time_ms_ = token_time_ms_ * token_time_smoothing +
                             total_run_ms / tokens * (1 - token_time_smoothing);
        }
        finish_item(key, serving::result_state::complete, run_result.progress.text);
        return;
    }
    case item_run_outcome::unprocessable:
        finish_item(key, serving::result_state::dead_letter, {});
        return;
    case item_run_outcome::target_failed: {
        const serving::route* route = context_.routes->find_batch_route(ledger_.route_of(key.job));
        const std::uint32_t failures =
            ledger_.record_failure(key, /*target_failed=*/true, steady_clock::now());
        if (route != nullptr && failures >= route->attempts_max) {
            finish_item(key, serving::result_state::dead_letter, {});
            return;
        }
        write_failures(key, failures);
        return;
    }
    case item_run_outcome::interrupted:
        if (run_result.made_progress) {
            ledger_.advance(key, run_result.progress);
            ledger_.set_running(key, false);
        }
        else {
            ledger_.record_failure(key, /*target_failed=*/false, steady_clock::now());
        }
        return;
    }
}

void job_partition::write_failures(const serving::item_key& key, std::uint32_t failures)
{
    // The item waits for the write: a new owner must not repeat runs that it doesn't know of.
    ledger_.set_running(key, true);
    writer_->write(serving::item_failed{key.job, key.item, failures},
                   [this, alive = alive_, key](write_outcome outcome) {
                       if (*alive && outcome == write_outcome::written) {
                           ledger_.set_running(key, false);
                       }
                   });
}

void job_partition::finish_item(const serving::item_key& key, serving::result_state state,
                                const std::string& output)
{
    generation_times_.erase(key);
    const std::optional<serving::job_record> record = ledger_.finish(key, state, output);
    if (!record) {
        return;
    }
    const auto& finished = std::get<serving::item_finished>(*record);
    const std::uint32_t position = finished.position;
    context_.logger.write(
        kernel::log_level::info, "item_finished",
        {{"id", ledger_.item_id(key)},
         {"job", key.job},
         {"state", state == serving::result_state::complete ? "complete" : "dead_letter"},
         {"position", std::to_string(position)},
         {"bytes", std::to_string(output.size())}});
    writer_->write(*record, [this, alive = alive_, job = key.job, position](write_outcome outcome) {
        if (*alive && outcome == write_outcome::written) {
            ledger_.confirm_finished(job, position);
            complete_reads(job);
        }
    });
}

void job_partition::abandon_expired_items(core::time_point now)
{
    if (context_.routes == nullptr) {
        return;
    }
    const core::wall_time wall_clock_now = wall_now();
    for (const serving::item_key& key : ledger_.pending_item_keys()) {
        const std::string name = ledger_.route_of(key.job);
        const serving::route* route = context_.routes->find_batch_route(name);
        if (route == nullptr) {
            const core::time_point missing_since =
                route_missing_since_.try_emplace(name, now).first->second;
            if (now - missing_since < settings_.route_missing_max) {
                continue;
            }
        }
        else {
            route_missing_since_.erase(name);
            const milliseconds lifetime = route->batch.item_lifetime;
            if (lifetime.count() == 0 || wall_clock_now < ledger_.accepted_at(key.job) + lifetime) {
                continue;
            }
        }
        const auto run = runs_.find(key);
        if (run != runs_.end()) {
            run->second->stop();
            runs_.erase(run);
        }
        finish_item(key, serving::result_state::dead_letter, {});
    }
}

void job_partition::delete_old_jobs()
{
    if (settings_.results_retention.count() == 0) {
        return;
    }
    const milliseconds total_retention =
        settings_.results_retention + settings_.results_retention_margin;
    const auto is_being_read = [this](const std::string& job) {
        return std::ranges::any_of(pending_reads_,
                                   [&](const auto& read) { return read.job == job; });
    };
    for (const std::string& job : ledger_.deletable_jobs(wall_now() - total_retention)) {
        if (is_being_read(job)) {
            continue;
        }
        context_.logger.write(kernel::log_level::info, "job_deleted",
                              {{"id", job},
                               {"team", ledger_.team_of(job).value()},
                               {"items", std::to_string(ledger_.item_count(job))},
                               {"kept_ms", std::to_string(total_retention.count())}});
        // The closed record must be in the log, and its tombstone comes last: otherwise a new owner
        // could take a partly deleted job as open and run its items again.
        if (const std::optional<serving::job_record> record = ledger_.close(job)) {
            writer_->write(*record, {});
        }
        writer_->delete_job(job);
        ledger_.remove(job);
        std::erase_if(generation_times_, [&](const auto& entry) { return entry.first.job == job; });
    }
}

void job_partition::on_state_changed()
{
    for (auto run = runs_.begin(); run != runs_.end();) {
        const auto current = run++;
        const auto [key, waiting] = *current;
        const serving::route* route = context_.routes->find_batch_route(ledger_.route_of(key.job));
        const bool unchanged = route != nullptr && route->host == waiting->host() &&
                               serving::sends_to(*route, waiting->service());
        if (unchanged || !waiting->is_waiting()) {
            continue;
        }
        context_.logger.write(kernel::log_level::info, "item_withdrawn",
                              {{"job", key.job},
                               {"id", ledger_.item_id(key)},
                               {"service", waiting->service().value()}});
        runs_.erase(current);
        waiting->stop();
        ledger_.set_running(key, false);
    }
}

void job_partition::release(const std::function<void()>& done)
{
    releasing_ = true;
    for (const auto& [key, run] : runs_) {
        ledger_.advance(key, run->progress());
        run->stop();
    }
    runs_.clear();
    if (!is_loaded() || lost_) {
        done();
        return;
    }
    for (const serving::job_record& record : ledger_.progress_records(1)) {
        writer_->write(record, {});
    }
    // Records are written in order, so all are written once no write is pending.
    const auto poll_writer = std::make_shared<std::function<void()>>();
    *poll_writer = [this, alive = alive_, done, weak = std::weak_ptr(poll_writer)] {
        // The partition has been removed if another owner has fenced it meanwhile.
        if (!*alive || writer_->pending() == 0 || lost_) {
            done();
            return;
        }
        if (const auto poll = weak.lock()) {
            context_.loop.post_after(milliseconds(10), [poll] { (*poll)(); });
        }
    };
    (*poll_writer)();
}

} // namespace gooseberryfall::edge
