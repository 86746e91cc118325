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

/// All owners write under one name: the store compares the epochs of one name only.
constexpr const char* writer_name = "owner";

/// Before any item has been measured.
constexpr double token_time_guess = 4.0;
/// Weight of the past in the average time for a token.
constexpr double token_time_memory = 0.9;
/// An item is never taken for nearer to its end than this part of its tokens.
constexpr std::uint32_t least_tokens_divisor = 12;
/// Between two tries to take the log over.
constexpr milliseconds takeover_retry{150};
/// Between two looks for items to be given up: these times are seconds.
constexpr milliseconds check_interval{250};
/// When a call that could not be served may be tried again.
constexpr milliseconds retry_soon{300};

core::wall_time wall_now()
{
    return std::chrono::time_point_cast<milliseconds>(system_clock::now());
}

} // namespace

job_partition::job_partition(edge_context& context, store& durable, topic_partition place,
                             std::uint64_t epoch, partition_settings settings,
                             std::function<void()> on_lost)
    : context_(context), store_(durable), place_(std::move(place)), epoch_(epoch),
      settings_(settings), on_lost_(std::move(on_lost)), token_time_(token_time_guess)
{
}

job_partition::~job_partition()
{
    *alive_ = false;
    lost_ = true;
    for (const auto& [key, run] : runs_) {
        run->stop();
    }
    for (const waiting_reader& reader : readers_) {
        reader.done(job_outcome::unavailable, retry_soon);
    }
}

void job_partition::start()
{
    fence();
}

void job_partition::fence()
{
    // From here on the store takes nothing from the owner before.
    store_.append(place_, {}, log_writer{writer_name, epoch_, 0},
                  [this, alive = alive_](const store_result<std::uint64_t>& result) {
                      if (!*alive) {
                          return;
                      }
                      if (result) {
                          load(std::nullopt);
                          return;
                      }
                      if (result.error().failure == store_failure::fenced) {
                          lose("fenced while taking over");
                          return;
                      }
                      context_.loop.post_after(takeover_retry, [this, alive] {
                          if (*alive) {
                              fence();
                          }
                      });
                  });
}

void job_partition::load(const std::optional<std::string>& after)
{
    store_.read_latest(place_, after, [this, alive = alive_, after](store_result<log_page> result) {
        if (!*alive) {
            return;
        }
        if (!result) {
            context_.loop.post_after(takeover_retry, [this, alive, after] {
                if (*alive) {
                    load(after);
                }
            });
            return;
        }
        for (keyed_record& record : result->records) {
            loaded_keys_.add(record.key);
            reader_.add(record.key, std::move(record.value));
        }
        if (result->next_key) {
            load(result->next_key);
            return;
        }
        on_loaded();
    });
}

void job_partition::on_loaded()
{
    for (serving::job_record& record : reader_.take()) {
        ledger_.load(std::move(record));
    }
    ledger_.finish_loading();
    writer_ = std::make_unique<job_writer>(
        store_, context_.loop, place_, log_writer{writer_name, epoch_, 0}, settings_.limits,
        std::move(loaded_keys_), [this] { lose("fenced by a newer owner"); });
    context_.logger.write(kernel::log_level::info, "partition_owned",
                          {{"topic", place_.topic},
                           {"partition", std::to_string(place_.partition)},
                           {"epoch", std::to_string(epoch_)},
                           {"open_items", std::to_string(ledger_.open_items())},
                           {"unreadable", std::to_string(reader_.unreadable())}});
    context_.fleet.trigger_report();
}

void job_partition::lose(const std::string& reason)
{
    if (lost_) {
        return;
    }
    lost_ = true;
    context_.logger.write(kernel::log_level::warning, "partition_lost",
                          {{"topic", place_.topic},
                           {"partition", std::to_string(place_.partition)},
                           {"epoch", std::to_string(epoch_)},
                           {"reason", reason}});
    // Not within this call: the owner destroys this object.
    context_.loop.post([on_lost = on_lost_, alive = alive_] {
        if (*alive) {
            on_lost();
        }
    });
}

void job_partition::handle(const core::team_id& team, const job_call& call, bool owner_is_certain,
                           const job_callback& done)
{
    assert(serves());
    if (const auto* submission = std::get_if<submit_job>(&call)) {
        submit(team, *submission, done);
        return;
    }
    const std::string job = std::visit(core::visitors{
                                           [](const submit_job& in) { return in.job.id; },
                                           [](const auto& in) { return in.job; },
                                       },
                                       call);
    if (!ledger_.has(job) || ledger_.team_of(job) != team) {
        done(owner_is_certain ? job_outcome::unknown : job_outcome::unavailable, retry_soon);
        return;
    }
    std::visit(core::visitors{
                   [](const submit_job&) {},
                   [&](const read_results& in) { read(in, done); },
                   [&](const read_item& in) {
                       const std::string* body = ledger_.body(in.job, in.item);
                       if (body == nullptr) {
                           done(job_outcome::unknown, {});
                           return;
                       }
                       done(*body, {});
                   },
                   [&](const end_job& in) { end_job_call(in, done); },
               },
               call);
}

void job_partition::answer_once_written(const serving::job_record& record, job_outcome outcome,
                                        const job_callback& done, std::function<void()> on_written)
{
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [answered, done](job_outcome result) {
        if (!std::exchange(*answered, true)) {
            done(result, retry_soon);
        }
    };
    context_.loop.post_after(settings_.write_wait, [answer] { answer(job_outcome::uncertain); });
    writer_->write(record,
                   [answer, outcome, on_written = std::move(on_written)](write_outcome written) {
                       if (written == write_outcome::written) {
                           on_written();
                           answer(outcome);
                           return;
                       }
                       answer(job_outcome::uncertain);
                   });
}

void job_partition::submit(const core::team_id& team, const submit_job& call,
                           const job_callback& done)
{
    std::uint64_t waiting_max = 0;
    if (context_.routes != nullptr) {
        const serving::route* route = context_.routes->find_route_named(call.job.route);
        waiting_max = route == nullptr ? 0 : route->batch.waiting_tokens_max;
    }
    if (ledger_.has(call.job.id) && ledger_.team_of(call.job.id) != team) {
        done(job_outcome::invalid, {});
        return;
    }
    std::optional<serving::job_record> record;
    const serving::accept_verdict verdict =
        ledger_.accept(call.job, wall_now(), waiting_max, record);
    context_.logger.write(
        kernel::log_level::info, "job_received",
        {{"id", call.job.id},
         {"team", team.value()},
         {"items", std::to_string(call.job.items.size())},
         {"waiting_tokens", std::to_string(ledger_.waiting_tokens(team, call.job.route))},
         {"waiting_max", std::to_string(waiting_max)},
         {"verdict", verdict == serving::accept_verdict::over_limit ? "over_limit" : "accepted"}});
    switch (verdict) {
    case serving::accept_verdict::known:
        done(job_outcome::accepted, {});
        return;
    case serving::accept_verdict::over_limit:
        done(job_outcome::over_limit, retry_soon);
        return;
    case serving::accept_verdict::opening:
        done(job_outcome::uncertain, retry_soon);
        return;
    case serving::accept_verdict::opened:
        answer_once_written(*record, job_outcome::accepted, done,
                            [this, job = call.job.id] { ledger_.confirm_opened(job); });
        return;
    }
}

void job_partition::read(const read_results& call, const job_callback& done)
{
    const results_page page = page_of(call.job, call.from);
    if (!page.results.empty() || call.wait <= milliseconds(0) || page.next >= page.total) {
        done(page, {});
        return;
    }
    readers_.push_back({call.job, call.from, steady_clock::now() + call.wait, done});
}

results_page job_partition::page_of(const std::string& job, std::uint32_t from) const
{
    results_page page;
    page.total = ledger_.item_count(job);
    page.next = from;
    for (serving::job_result& result : ledger_.results(job, from, settings_.page_bytes)) {
        page.results.push_back(
            {ledger_.item_id({job, result.item}), result.state, std::move(result.output)});
        ++page.next;
    }
    return page;
}

void job_partition::answer_readers(const std::string& job)
{
    for (auto reader = readers_.begin(); reader != readers_.end();) {
        const results_page page = reader->job == job ? page_of(job, reader->from) : results_page();
        if (page.results.empty()) {
            ++reader;
            continue;
        }
        const job_callback done = std::move(reader->done);
        reader = readers_.erase(reader);
        done(page, {});
    }
}

void job_partition::end_job_call(const end_job& call, const job_callback& done)
{
    const std::optional<serving::job_record> record = ledger_.close(call.job);
    stop_runs_of(call.job);
    if (!record) {
        done(job_outcome::ended, {});
        return;
    }
    context_.logger.write(kernel::log_level::info, "job_ended", {{"id", call.job}});
    // A repeated call may find that the record is being written. It writes the record again, so
    // that it is acknowledged after the first one.
    answer_once_written(*record, job_outcome::ended, done,
                        [this, job = call.job] { ledger_.confirm_closed(job); });
}

void job_partition::stop_runs_of(const std::string& job)
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

std::uint32_t job_partition::tokens_left(const serving::item_key& key) const
{
    const std::uint32_t all = context_.translator.tokens_of(ledger_.item(key));
    const auto found = run_times_.find(key);
    if (found == run_times_.end()) {
        return all;
    }
    const double generated = static_cast<double>(found->second.count()) / token_time_;
    const double left = std::max(static_cast<double>(all) - generated,
                                 static_cast<double>(all) / least_tokens_divisor);
    return static_cast<std::uint32_t>(left);
}

void job_partition::tick(core::time_point now)
{
    if (!active() || lost_ || releasing_) {
        return;
    }
    for (auto reader = readers_.begin(); reader != readers_.end();) {
        if (now < reader->until) {
            ++reader;
            continue;
        }
        const waiting_reader expired = std::move(*reader);
        reader = readers_.erase(reader);
        expired.done(page_of(expired.job, expired.from), {});
    }
    if (now - checked_at_ >= check_interval) {
        checked_at_ = now;
        give_up_items(now);
        delete_jobs();
    }
    start_items(now);
    if (now - progress_written_at_ >= settings_.progress_interval) {
        progress_written_at_ = now;
        for (const auto& [key, run] : runs_) {
            ledger_.advance(key, run->progress());
        }
        for (const serving::job_record& record :
             ledger_.progress_records(settings_.progress_step)) {
            writer_->write(record, {});
        }
    }
}

void job_partition::start_items(core::time_point now)
{
    if (runs_.size() >= settings_.items_max || context_.routes == nullptr) {
        return;
    }
    std::map<std::string, milliseconds> objectives;
    for (const serving::route& route : context_.routes->state().routes) {
        if (route.kind == serving::request_kind::batch) {
            objectives[route.name] = route.batch.result_objective;
        }
    }
    for (const serving::runnable_item& item :
         ledger_.runnable(objectives, settings_.items_max - runs_.size(), now)) {
        start_item(item, now);
    }
}

bool job_partition::start_item(const serving::runnable_item& item, core::time_point now)
{
    const std::string& job = item.key.job;
    const serving::route* route = context_.routes->find_route_named(ledger_.route_of(job));
    if (route == nullptr) {
        return false;
    }
    const core::wall_time wall = wall_now();
    item_order order;
    order.key = item.key;
    order.item = ledger_.item(item.key);
    order.progress = ledger_.progress(item.key);
    order.team = ledger_.team_of(job);
    order.host = route->host;
    order.service = serving::choose_service(*route, core::stable_hash(order.item.id));
    order.tokens_left = tokens_left(item.key);
    order.due_at = now + (item.due_at - wall);
    order.end_at = now + (ledger_.accepted_at(job) + route->batch.retention - wall);
    if (order.end_at <= now) {
        return false;
    }
    const auto run = std::make_shared<item_run>(
        context_, std::move(order), [this, alive = alive_, key = item.key](const item_end& end) {
            if (*alive) {
                on_item_end(key, end);
            }
        });
    ledger_.set_running(item.key, true);
    runs_.emplace(item.key, run);
    run->start();
    return true;
}

void job_partition::on_item_end(const serving::item_key& key, const item_end& end)
{
    runs_.erase(key);
    run_times_[key] += end.run_time;
    switch (end.outcome) {
    case item_outcome::completed: {
        const double tokens = context_.translator.tokens_of(ledger_.item(key));
        const auto whole = static_cast<double>(run_times_[key].count());
        if (tokens > 0) {
            token_time_ =
                token_time_ * token_time_memory + whole / tokens * (1 - token_time_memory);
        }
        finish_item(key, serving::result_state::complete, end.progress.text);
        return;
    }
    case item_outcome::impossible:
        finish_item(key, serving::result_state::dead_letter, {});
        return;
    case item_outcome::failed: {
        const serving::route* route = context_.routes->find_route_named(ledger_.route_of(key.job));
        const std::uint32_t failures = ledger_.record_failure(key, true, steady_clock::now());
        if (route != nullptr && failures >= route->attempts) {
            finish_item(key, serving::result_state::dead_letter, {});
        }
        return;
    }
    case item_outcome::interrupted:
        if (end.advanced) {
            ledger_.advance(key, end.progress);
            ledger_.set_running(key, false);
        }
        else {
            ledger_.record_failure(key, false, steady_clock::now());
        }
        return;
    }
}

void job_partition::finish_item(const serving::item_key& key, serving::result_state state,
                                const std::string& output)
{
    run_times_.erase(key);
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
            answer_readers(job);
        }
    });
}

void job_partition::give_up_items(core::time_point now)
{
    if (context_.routes == nullptr) {
        return;
    }
    const core::wall_time wall = wall_now();
    for (const serving::item_key& key : ledger_.open_item_keys()) {
        const std::string name = ledger_.route_of(key.job);
        const serving::route* route = context_.routes->find_route_named(name);
        if (route == nullptr) {
            const core::time_point since =
                route_missing_since_.try_emplace(name, now).first->second;
            if (now - since < settings_.route_missing_max) {
                continue;
            }
        }
        else {
            route_missing_since_.erase(name);
            const milliseconds kept = route->batch.retention;
            if (kept.count() == 0 || wall < ledger_.accepted_at(key.job) + kept) {
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

void job_partition::delete_jobs()
{
    if (settings_.results_kept.count() == 0) {
        return;
    }
    const milliseconds kept = settings_.results_kept + settings_.results_kept_margin;
    const auto is_being_read = [this](const std::string& job) {
        return std::ranges::any_of(readers_, [&](const auto& reader) { return reader.job == job; });
    };
    for (const std::string& job : ledger_.expired(wall_now() - kept)) {
        if (is_being_read(job)) {
            continue;
        }
        context_.logger.write(kernel::log_level::info, "job_deleted",
                              {{"id", job},
                               {"team", ledger_.team_of(job).value()},
                               {"items", std::to_string(ledger_.item_count(job))},
                               {"kept_ms", std::to_string(kept.count())}});
        // Without this record an owner that takes over between two appends would run it again.
        if (const std::optional<serving::job_record> record = ledger_.close(job)) {
            writer_->write(*record, {});
        }
        writer_->drop(job);
        ledger_.forget(job);
        std::erase_if(run_times_, [&](const auto& entry) { return entry.first.job == job; });
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
    if (!active() || lost_) {
        done();
        return;
    }
    for (const serving::job_record& record : ledger_.progress_records(1)) {
        writer_->write(record, {});
    }
    // Records are written in order: when nothing is pending, all of them are.
    const auto wait = std::make_shared<std::function<void()>>();
    *wait = [this, alive = alive_, done, weak = std::weak_ptr(wait)] {
        if (!*alive) {
            return;
        }
        if (writer_->pending() == 0 || lost_) {
            done();
            return;
        }
        if (const auto again = weak.lock()) {
            context_.loop.post_after(milliseconds(10), [again] { (*again)(); });
        }
    };
    (*wait)();
}

} // namespace gooseberryfall::edge
