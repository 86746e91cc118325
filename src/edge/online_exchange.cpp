#include "edge/online_exchange.hpp"

#include "edge/target_call.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// An answer that is no stream is collected up to this size, so that it can be had elsewhere if it
/// is cut short.
constexpr std::size_t collect_max = 4U << 20U;

/// Least time left in which it makes sense to send a request to a target.
constexpr milliseconds least_time_to_send{20};

milliseconds since(steady_clock::time_point begin)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

/// Statuses by which a target would promise that the request has not run.
bool is_promise(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

online_exchange::online_exchange(edge_context& context, admitted_request request,
                                 std::shared_ptr<http::responder> caller,
                                 std::function<void(const exchange_end&)> on_end)
    : context_(context), admitted_(std::move(request)), caller_(std::move(caller)),
      on_end_(std::move(on_end)), begun_at_(admitted_.received_at)
{
    const caller_request& asked = admitted_.request;
    milliseconds limit = admitted_.route->timeout;
    if (asked.time_limit && (limit.count() == 0 || *asked.time_limit < limit)) {
        limit = *asked.time_limit;
    }
    end_at_ = begun_at_ + limit;
    last_event_ = asked.last_event;
    fingerprint_ = core::stable_hash(asked.received.body, core::stable_hash(asked.path)) ^
                   core::stable_hash(admitted_.team.value());
}

milliseconds online_exchange::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(end_at_ - steady_clock::now());
}

milliseconds online_exchange::age() const
{
    return since(begun_at_);
}

bool online_exchange::may_repeat() const
{
    return admitted_.route->repeatable();
}

void online_exchange::start()
{
    caller_->when_ended([weak = weak_from_this()](bool whole) {
        const auto self = weak.lock();
        if (self && !whole) {
            self->on_caller_gone();
        }
    });
    expiry_ = context_.loop.post_after(end_at_ - steady_clock::now(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_expired();
        }
    });
    ask_for_slot();
}

void online_exchange::ask_for_slot()
{
    const serving::route& route = *admitted_.route;
    serving::slot_call call;
    call.question.service = serving::choose_service(route, fingerprint_);
    call.question.kind = serving::work_kind::online;
    call.question.data_centre = context_.data_centre;
    call.question.prefixes = admitted_.request.prefixes;
    call.question.tokens = admitted_.request.tokens;
    call.question.until_objective = route.objective - age();
    call.question.until_end = time_left();
    // Who has waited for an answer that was cut short has no use for another refusal.
    call.question.returning = admitted_.returning || sent_ > 0;
    call.question.excluded = excluded_;
    // A request is charged once, however many targets it is sent to.
    call.team = charged_ ? core::team_id() : admitted_.team;
    call.fingerprint = fingerprint_;
    charged_ = true;
    asking_ = true;
    slot_ = context_.admission.request_admission(
        std::move(call),
        [self = shared_from_this()](const admission_decision& answer) { self->on_slot(answer); },
        [] {});
}

void online_exchange::on_slot(const admission_decision& answer)
{
    asking_ = false;
    if (stage_ == answer_stage::ended) {
        return;
    }
    if (const auto* denied = std::get_if<serving::slot_denied>(&answer.result)) {
        denied_call_ = std::exchange(slot_, 0);
        if (may_have_run_) {
            refuse(refusal_reason::target_failed);
            return;
        }
        switch (denied->reason) {
        case serving::call_refusal::overloaded:
            refuse(refusal_reason::overloaded, denied->retry_after);
            return;
        case serving::call_refusal::no_target:
            refuse(refusal_reason::no_target, denied->retry_after);
            return;
        case serving::call_refusal::over_limit:
            refuse(refusal_reason::over_limit, denied->retry_after);
            return;
        case serving::call_refusal::crashes_targets:
            refuse(refusal_reason::crashes_targets, denied->retry_after);
            return;
        }
        return;
    }
    const auto& granted = std::get<serving::slot_granted>(answer.result);
    target_ = granted.target;
    address_ = granted.address;
    context_.logger.write(kernel::log_level::info, "request_placed",
                          {{"id", admitted_.request.id},
                           {"target", target_.value()},
                           {"basis", to_text(answer.source)},
                           {"call", std::to_string(slot_)},
                           {"waited_ms", std::to_string(age().count())}});
    if (time_left() < least_time_to_send) {
        end_run(serving::slot_outcome::cancelled);
        refuse(may_have_run_ ? refusal_reason::timed_out : refusal_reason::overloaded);
        return;
    }
    send();
}

void online_exchange::send()
{
    target_send sending;
    sending.target = target_;
    sending.address = address_;
    sending.team = admitted_.team;
    sending.time_left = time_left();
    sending.last_event = last_event_;
    http::client_request request = context_.translator.to_target(admitted_.request, sending);
    set_time_limits(request, context_.timeouts, sending.time_left);
    request.use = may_repeat() ? http::connection_use::any : http::connection_use::recent;
    request.body_limit = collect_max;

    ++sent_;
    sent_at_ = steady_clock::now();
    first_event_.reset();
    head_ = {0, {}};
    facts_ = {};
    head_rejected_ = false;
    collected_.clear();
    events_ = serving::event_splitter();

    const std::uint64_t number = ++call_number_;
    http::call_observer observer;
    const auto self = shared_from_this();
    observer.on_head = [self, number](const http::response_head& head) {
        return number == self->call_number_ ? self->on_head(head) : http::flow::go_on;
    };
    observer.on_piece = [self, number](std::string piece) {
        return number == self->call_number_ ? self->on_piece(std::move(piece)) : http::flow::go_on;
    };
    observer.on_done = [self, number](const http::call_result& result) {
        if (number == self->call_number_) {
            self->on_done(result);
        }
    };
    call_ = context_.targets.start(std::move(request), std::move(observer));
    watch_silence();
}

void online_exchange::watch_silence()
{
    const bool hedges = may_repeat() && sent_ < admitted_.route->attempts;
    const milliseconds wait = hedges ? context_.timeouts.hedge : context_.timeouts.silence;
    silence_watch_ =
        context_.loop.post_after(wait, [weak = weak_from_this(), number = call_number_, hedges] {
            const auto self = weak.lock();
            const bool waits = self && self->call_number_ == number && self->call_ != nullptr &&
                               !self->first_event_;
            if (!waits) {
                return;
            }
            if (!hedges) {
                self->context_.admission.set_unresponsive(self->slot_, true);
                return;
            }
            const auto call = std::exchange(self->call_, nullptr);
            ++self->call_number_;
            call->cancel();
            self->on_failure(serving::slot_outcome::silent, "no first byte", true);
        });
}

http::flow online_exchange::on_head(const http::response_head& head)
{
    head_ = head;
    facts_ = context_.translator.read_answer(head, admitted_.request.id);
    head_rejected_ = !facts_.ours || (is_success(head.status) && !facts_.authentic);
    return http::flow::go_on;
}

http::flow online_exchange::on_piece(std::string piece)
{
    if (head_rejected_) {
        return http::flow::go_on;
    }
    if (!first_event_) {
        first_event_ = since(sent_at_);
        context_.admission.set_unresponsive(slot_, false);
    }
    const bool streams = facts_.events && is_success(head_.status);
    if (!streams) {
        collected_ += piece;
        return http::flow::go_on;
    }
    start_streaming();
    if (!may_repeat()) {
        return pass_on(std::move(piece));
    }
    // Whole events only: what follows may come from another target.
    std::string whole;
    for (serving::stream_event& event : events_.feed(piece)) {
        if (event.id) {
            last_event_ = event.id;
        }
        whole += event.bytes;
    }
    return whole.empty() ? http::flow::go_on : pass_on(std::move(whole));
}

void online_exchange::start_streaming()
{
    if (stage_ != answer_stage::none) {
        return;
    }
    stage_ = answer_stage::streaming;
    first_byte_ = age();
    caller_->start({head_.status, context_.translator.to_caller(head_)});
}

http::flow online_exchange::pass_on(std::string bytes)
{
    if (!held_.empty()) {
        held_ += bytes;
        return http::flow::pause;
    }
    if (caller_->write(std::move(bytes)) == http::write_result::full) {
        // A piece that is not taken has not been moved from.
        held_ = std::move(bytes); // NOLINT(bugprone-use-after-move)
        write_held();
        return http::flow::pause;
    }
    return http::flow::go_on;
}

void online_exchange::write_held()
{
    caller_->when_room([self = shared_from_this()] {
        if (self->stage_ != answer_stage::streaming || self->held_.empty()) {
            return;
        }
        if (self->caller_->write(std::move(self->held_)) == http::write_result::full) {
            self->write_held();
            return;
        }
        self->held_.clear();
        if (self->call_ != nullptr) {
            self->call_->resume();
        }
    });
}

void online_exchange::on_done(const http::call_result& result)
{
    call_ = nullptr;
    if (stage_ == answer_stage::ended) {
        return;
    }
    if (result.outcome == http::call_outcome::completed) {
        on_whole_answer();
        return;
    }
    // A call that was not sent has `sent` unset.
    on_failure(failure_of(result.outcome), result.reason, result.sent);
}

void online_exchange::on_whole_answer()
{
    if (!facts_.ours || (is_success(head_.status) && !facts_.authentic)) {
        on_failure(serving::slot_outcome::broken, "the answer is not this request's", true);
        return;
    }
    if (facts_.not_run) {
        on_failure(serving::slot_outcome::not_run, "refused by the target", false);
        return;
    }
    if (is_promise(head_.status)) {
        // The target does not say that the request has not run, so neither can we.
        on_failure(serving::slot_outcome::failed, "status " + std::to_string(head_.status), true);
        return;
    }
    const bool failed = head_.status >= 500;
    const bool goes_on = facts_.events && is_success(head_.status);
    const bool other_target = failed && may_repeat() && sent_ < admitted_.route->attempts;
    if (other_target || (stage_ == answer_stage::streaming && !goes_on)) {
        on_failure(serving::slot_outcome::failed, "status " + std::to_string(head_.status), true);
        return;
    }
    end_run(failed ? serving::slot_outcome::failed : serving::slot_outcome::completed);
    exchange_end end;
    end.status = head_.status;
    end.whole = true;
    if (stage_ == answer_stage::none && facts_.events && is_success(head_.status)) {
        // A stream without any event.
        start_streaming();
    }
    if (stage_ == answer_stage::streaming) {
        std::string rest = held_ + (may_repeat() ? events_.rest() : std::string());
        held_.clear();
        if (!rest.empty() && caller_->write(std::move(rest)) != http::write_result::taken) {
            end.whole = false;
            caller_->abort();
        }
        else {
            caller_->finish();
        }
    }
    else {
        first_byte_ = age();
        caller_->send({head_.status, context_.translator.to_caller(head_), collected_});
    }
    finish(end);
}

void online_exchange::end_run(serving::slot_outcome outcome)
{
    if (slot_ != 0) {
        context_.admission.release(std::exchange(slot_, 0), outcome, first_event_, since(sent_at_));
    }
}

void online_exchange::on_failure(serving::slot_outcome outcome, const std::string& reason,
                                 bool may_have_run)
{
    may_have_run_ = may_have_run_ || may_have_run;
    if (!may_have_run && sent_ > 0) {
        --sent_;
    }
    end_run(outcome);
    context_.logger.write(kernel::log_level::info, "target_failed",
                          {{"id", admitted_.request.id},
                           {"target", target_.value()},
                           {"reason", reason},
                           {"may_have_run", may_have_run ? "yes" : "no"},
                           {"events_passed", last_event_ ? std::to_string(*last_event_) : "none"}});
    if (std::find(excluded_.begin(), excluded_.end(), target_) == excluded_.end()) {
        excluded_.push_back(target_);
    }
    retry();
}

void online_exchange::retry()
{
    // A stream that was passed on raw cannot go on elsewhere.
    const bool open = stage_ == answer_stage::none || may_repeat();
    const bool allowed = !may_have_run_ || (may_repeat() && sent_ < admitted_.route->attempts);
    if (open && allowed && time_left() > least_time_to_send) {
        ask_for_slot();
        return;
    }
    if (!may_have_run_) {
        refuse(refusal_reason::overloaded, milliseconds(200));
        return;
    }
    refuse(time_left() <= least_time_to_send ? refusal_reason::timed_out
                                             : refusal_reason::target_failed);
}

void online_exchange::on_caller_gone()
{
    if (stage_ == answer_stage::ended) {
        return;
    }
    if (const auto call = std::exchange(call_, nullptr)) {
        ++call_number_;
        call->cancel();
    }
    end_run(serving::slot_outcome::cancelled);
    exchange_end end;
    finish(end);
}

void online_exchange::on_expired()
{
    if (stage_ == answer_stage::ended) {
        return;
    }
    const bool running = call_ != nullptr;
    if (const auto call = std::exchange(call_, nullptr)) {
        ++call_number_;
        call->cancel();
    }
    may_have_run_ = may_have_run_ || running;
    const bool silent = running && !first_event_;
    end_run(silent ? serving::slot_outcome::silent : serving::slot_outcome::cancelled);
    refuse(may_have_run_ ? refusal_reason::timed_out : refusal_reason::overloaded);
}

void online_exchange::refuse(refusal_reason reason, std::optional<milliseconds> retry_after)
{
    if (stage_ == answer_stage::streaming) {
        caller_->abort();
    }
    else {
        caller_->send(
            context_.translator.encode_refusal(reason, admitted_.request.id, retry_after));
    }
    exchange_end end;
    end.refused = reason;
    context_.logger.write(
        kernel::log_level::info, "request_refused",
        {{"id", admitted_.request.id},
         {"reason", to_text(reason)},
         {"team", admitted_.team.value()},
         {"call", std::to_string(denied_call_)},
         {"target", target_.value()},
         {"state_version", std::to_string(admitted_.table->state().version)},
         {"retry_after_ms", retry_after ? std::to_string(retry_after->count()) : "none"},
         {"after_ms", std::to_string(age().count())}});
    finish(end);
}

void online_exchange::finish(const exchange_end& end)
{
    stage_ = answer_stage::ended;
    if (expiry_ != nullptr) {
        expiry_->cancel();
    }
    if (silence_watch_ != nullptr) {
        silence_watch_->cancel();
    }
    exchange_end result = end;
    result.first_byte = first_byte_;
    result.duration = age();
    if (!result.refused) {
        context_.logger.write(kernel::log_level::info, "request_ended",
                              {{"id", admitted_.request.id},
                               {"team", admitted_.team.value()},
                               {"target", target_.value()},
                               {"status", std::to_string(result.status)},
                               {"whole", result.whole ? "yes" : "no"},
                               {"first_byte_ms", first_byte_ ? std::to_string(first_byte_->count())
                                                             : std::string("none")},
                               {"total_ms", std::to_string(result.duration.count())}});
    }
    on_end_(result);
}

} // namespace gooseberryfall::edge
