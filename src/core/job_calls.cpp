#include "core/job_calls.hpp"

#include <algorithm>
#include <cassert>

namespace gooseberryfall::core {

namespace {

/// Time for which a submission waits to hear whether the job is there already.
constexpr std::chrono::milliseconds check_wait{500};

/// Time after which an unanswered query is asked again, at another holder if there is one.
constexpr std::chrono::milliseconds query_interval{300};

/// Time that a read-only call waits for the holder.
constexpr std::chrono::seconds read_wait{3};

constexpr std::chrono::milliseconds holder_retry{2000};

refusal holder_unavailable(run_verdict verdict)
{
    return {refusal_code::holder_unavailable,
            "the instance that keeps this job cannot be reached; ask again", verdict, holder_retry};
}

refusal job_unknown()
{
    return {refusal_code::job_unknown, "the team has no job with this id", run_verdict::not_run,
            std::nullopt};
}

} // namespace

job_calls::job_calls(node_parts& parts, local_query ask_local)
    : parts_(parts), ask_local_(std::move(ask_local))
{
}

job_calls::call* job_calls::find(request_id request)
{
    const auto found = calls_.find(request);
    return found == calls_.end() ? nullptr : &found->second;
}

job_calls::call* job_calls::find_query(std::uint64_t query)
{
    for (auto& [request, pending] : calls_) {
        if (pending.query == query || pending.open_queries.contains(query)) {
            return &pending;
        }
    }
    return nullptr;
}

bool job_calls::admit(call& pending, const std::optional<digest>& key, time_point now)
{
    if (const auto closed = parts_.check_open(now)) {
        parts_.refuse(pending.request, *closed);
        return false;
    }
    const auto [found, reason] = parts_.find_key(key);
    if (!found) {
        parts_.refuse(pending.request, reason);
        return false;
    }
    pending.team = found->team;
    pending.key = found->id;
    return true;
}

void job_calls::start(call pending, time_point now)
{
    const request_id request = pending.request;
    pending.partition = partition_of(pending.job, parts_.settings.batch_partitions);
    const auto [position, inserted] = calls_.insert_or_assign(request, std::move(pending));
    assert(inserted);
    ask(position->second, now);
}

void job_calls::on_begin(const upload_begin& begin, time_point now)
{
    call pending;
    pending.what = purpose::submit;
    pending.where = step::checking;
    pending.request = begin.request;
    if (!admit(pending, begin.key, now)) {
        return;
    }
    for (const auto& [id, candidate] : parts_.state.current().services) {
        if (candidate.kind == service_kind::engine && candidate.model == begin.model) {
            pending.service = id;
        }
    }
    if (pending.service.empty()) {
        parts_.refuse(begin.request, {refusal_code::unknown_route,
                                      "no service has the model \"" + begin.model.value() + "\"",
                                      run_verdict::not_run, std::nullopt});
        return;
    }
    pending.job = job_id_of(pending.team, begin.idempotency_key);
    pending.options = begin.options;
    const incarnation_id& self = parts_.settings.self;
    pending.upload = self.instance.value() + "-" + std::to_string(self.number) + "-" +
                     std::to_string(next_upload_++);
    pending.step_deadline = now + check_wait;
    pending.deadline = time_point::max();
    start(std::move(pending), now);
}

void job_calls::ask(call& pending, time_point now)
{
    if (pending.query == 0) {
        pending.query = next_query_++;
    }
    pending.asked_at = now;
    job_query query;
    query.query = pending.query;
    query.partition = pending.partition;
    query.applied = pending.applied;
    query.job = pending.job;
    query.first_result = pending.first_result;
    query.result_limit = pending.result_limit;
    ask_partition(pending.partition, query, now);
}

void job_calls::ask_partition(std::uint32_t partition, const job_query& query, time_point now)
{
    const std::optional<instance_id> holder = parts_.holder_of({shard_kind::batch, partition}, now);
    if (!holder) {
        return;
    }
    if (*holder == parts_.settings.self.instance) {
        ask_local_(query, now);
    }
    else {
        parts_.send(*holder, query);
    }
}

void job_calls::append(call& pending, batch_body body)
{
    std::vector<batch_body> bodies;
    bodies.push_back(std::move(body));
    pending.open_append = parts_.append_batch(pending.partition, std::move(bodies));
}

void job_calls::on_items(const upload_items& items, time_point)
{
    call* pending = find(items.request);
    if (pending == nullptr) {
        return;
    }
    const auto count = static_cast<std::uint32_t>(items.items.size());
    if (pending->exists) {
        pending->items += count;
        parts_.emit(upload_continue{items.request});
        return;
    }
    upload_chunk chunk;
    chunk.upload = pending->upload;
    chunk.first_index = pending->items;
    chunk.items = items.items;
    pending->items += count;
    append(*pending, std::move(chunk));
}

void job_calls::write_open(call& pending)
{
    job_open open;
    open.job = pending.job;
    open.team = pending.team;
    open.service = pending.service;
    open.upload = pending.upload;
    open.item_count = pending.items;
    open.content = pending.content;
    open.options = pending.options;
    pending.where = step::appending;
    append(pending, std::move(open));
}

void job_calls::on_end(const upload_end& end, time_point now)
{
    call* pending = find(end.request);
    if (pending == nullptr) {
        return;
    }
    pending->ended = true;
    pending->content = end.content;
    pending->deadline = now + parts_.settings.job_wait;
    if (pending->exists) {
        pending->where = step::asking;
        ask(*pending, now);
        return;
    }
    write_open(*pending);
}

void job_calls::on_request(const job_request& request, time_point now)
{
    call pending;
    pending.request = request.request;
    if (!admit(pending, request.key, now)) {
        return;
    }
    pending.job = request.job;
    pending.first_result = request.first_result;
    pending.result_limit = request.result_limit;
    pending.deadline = now + read_wait;
    switch (request.call) {
    case job_call::status:
        pending.what = purpose::status;
        break;
    case job_call::results:
        pending.what = purpose::results;
        break;
    case job_call::cancel:
        pending.what = purpose::cancel;
        pending.deadline = now + parts_.settings.job_wait;
        break;
    }
    start(std::move(pending), now);
}

void job_calls::on_operator_cancel(const operator_job_cancel& cancel, time_point now)
{
    call pending;
    pending.request = cancel.request;
    pending.what = purpose::cancel;
    pending.job = cancel.job;
    pending.deadline = now + parts_.settings.job_wait;
    start(std::move(pending), now);
}

void job_calls::on_operator_list(request_id request, time_point now)
{
    call pending;
    pending.request = request;
    pending.what = purpose::list;
    pending.where = step::listing;
    pending.asked_at = now;
    pending.deadline = now + read_wait;
    for (std::uint32_t partition = 0; partition < parts_.settings.batch_partitions; ++partition) {
        pending.open_queries.emplace(next_query_++, partition);
    }
    const auto queries = pending.open_queries;
    calls_.insert_or_assign(request, std::move(pending));
    for (const auto& [number, partition] : queries) {
        job_query query;
        query.query = number;
        query.partition = partition;
        query.list = true;
        ask_partition(partition, query, now);
    }
}

void job_calls::on_gone(request_id request)
{
    calls_.erase(request);
}

bool job_calls::on_append(const append_acknowledged& done, time_point now)
{
    for (auto& [request, pending] : calls_) {
        if (pending.open_append != done.append) {
            continue;
        }
        pending.open_append.reset();
        if (pending.where == step::uploading) {
            parts_.emit(upload_continue{request});
            return true;
        }
        pending.applied = done.offset;
        pending.where = step::asking;
        pending.query = 0;
        ask(pending, now);
        return true;
    }
    return false;
}

void job_calls::after_check(call& pending, const std::vector<job_status>& jobs, time_point)
{
    pending.exists = !jobs.empty();
    pending.where = step::uploading;
    pending.query = 0;
    parts_.emit(upload_continue{pending.request});
}

void job_calls::on_answer(const job_answer& answer, time_point now)
{
    call* found = find_query(answer.query);
    if (found == nullptr || !answer.holder) {
        return;
    }
    call& pending = *found;
    if (pending.where == step::listing) {
        on_list_answer(pending, answer);
        return;
    }
    if (pending.where == step::checking) {
        after_check(pending, answer.jobs, now);
        return;
    }
    if (pending.where != step::asking) {
        return;
    }
    const bool known = !answer.jobs.empty();
    const bool visible =
        known && (pending.team.empty() || answer.jobs.front().team == pending.team);
    if (!visible) {
        give_up(pending.request, job_unknown());
        return;
    }
    const job_status& status = answer.jobs.front();
    switch (pending.what) {
    case purpose::submit:
        on_submit_answer(pending, status);
        return;
    case purpose::status:
        finish(pending.request, job_reply{pending.request, status});
        return;
    case purpose::results:
        finish(pending.request,
               results_reply{pending.request, pending.partition, status, answer.results});
        return;
    case purpose::cancel:
        on_cancel_answer(pending, status, now);
        return;
    case purpose::list:
        return;
    }
}

void job_calls::on_submit_answer(call& pending, const job_status& status)
{
    if (status.content != pending.content) {
        give_up(pending.request, {refusal_code::idempotency_conflict,
                                  "the idempotency key was used for a job with other content",
                                  run_verdict::not_run, std::nullopt});
        return;
    }
    finish(pending.request, job_reply{pending.request, status});
}

void job_calls::on_cancel_answer(call& pending, const job_status& status, time_point)
{
    if (status.ended || (pending.cancel_written && status.cancelled)) {
        finish(pending.request, job_reply{pending.request, status});
        return;
    }
    if (pending.cancel_written) {
        return;
    }
    pending.cancel_written = true;
    pending.where = step::appending;
    append(pending, job_cancel{pending.job});
}

void job_calls::on_list_answer(call& pending, const job_answer& answer)
{
    if (pending.open_queries.erase(answer.query) == 0) {
        return;
    }
    pending.listed.insert(pending.listed.end(), answer.jobs.begin(), answer.jobs.end());
    if (pending.open_queries.empty()) {
        operator_reply reply;
        reply.request = pending.request;
        reply.jobs = pending.listed;
        finish(pending.request, std::move(reply));
    }
}

void job_calls::finish(request_id request, action reply)
{
    parts_.emit(std::move(reply));
    calls_.erase(request);
}

void job_calls::give_up(request_id request, refusal reason)
{
    parts_.refuse(request, std::move(reason));
    calls_.erase(request);
}

void job_calls::on_fleet_changed()
{
    const auto& keys = parts_.state.current().keys;
    std::vector<request_id> cut;
    for (const auto& [request, pending] : calls_) {
        const auto key = keys.find(pending.key);
        const bool valid = key != keys.end() && key->second.team == pending.team;
        if (!pending.team.empty() && !valid) {
            cut.push_back(request);
        }
    }
    for (const request_id request : cut) {
        const bool written = find(request)->where == step::appending || find(request)->applied;
        give_up(request,
                {refusal_code::key_withdrawn, "the key was withdrawn",
                 written ? run_verdict::may_have_run : run_verdict::not_run, std::nullopt});
    }
}

void job_calls::tick(time_point now)
{
    std::vector<request_id> late;
    for (auto& [request, pending] : calls_) {
        if (pending.where == step::checking && now >= pending.step_deadline) {
            after_check(pending, {}, now);
            continue;
        }
        if (now >= pending.deadline) {
            late.push_back(request);
            continue;
        }
        const bool asking = pending.where == step::asking || pending.where == step::checking;
        if (asking && now >= pending.asked_at + query_interval) {
            ask(pending, now);
        }
        if (pending.where == step::listing && now >= pending.asked_at + query_interval) {
            pending.asked_at = now;
            for (const auto& [number, partition] : pending.open_queries) {
                job_query query;
                query.query = number;
                query.partition = partition;
                query.list = true;
                ask_partition(partition, query, now);
            }
        }
    }
    for (const request_id request : late) {
        const call& pending = *find(request);
        const bool written = pending.ended || pending.cancel_written;
        const bool log_missing = pending.where == step::appending;
        refusal reason =
            holder_unavailable(written ? run_verdict::may_have_run : run_verdict::not_run);
        if (log_missing) {
            reason.code = refusal_code::log_unavailable;
            reason.text = "the log did not confirm the record in time; send the call again";
        }
        give_up(request, reason);
    }
}

} // namespace gooseberryfall::core
