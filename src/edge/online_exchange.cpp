#include "edge/online_exchange.hpp"

#include "edge/call_verdict.hpp"
#include "edge/target_call.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A response that isn't an event stream is buffered up to this size, so that the request can be
/// sent to another target if the response is cut short. What exceeds it is streamed to the caller
/// if it is a success, else the attempt fails.
constexpr std::size_t buffered_body_max = 64U << 10U;

/// A request with less time left isn't sent to a target.
constexpr milliseconds min_send_time{20};

milliseconds elapsed_since(steady_clock::time_point begin)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
}

} // namespace

milliseconds response_time_limit(const serving::route& route, const caller_request& request)
{
    const bool unlimited_route = route.timeout.count() == 0;
    if (request.time_limit && (unlimited_route || *request.time_limit < route.timeout)) {
        return *request.time_limit;
    }
    return route.timeout;
}

online_exchange::online_exchange(edge_context& context, admitted_request request,
                                 std::shared_ptr<http::responder> caller,
                                 std::function<void(const exchange_result&)> on_end)
    : context_(context), admitted_(std::move(request)), caller_(std::move(caller)),
      on_end_(std::move(on_end)), started_at_(admitted_.received_at)
{
    const caller_request& incoming = admitted_.request;
    deadline_ = started_at_ + response_time_limit(*admitted_.route, incoming);
    last_event_ = incoming.last_event;
    fingerprint_ = core::stable_hash(incoming.received.body, core::stable_hash(incoming.path)) ^
                   core::stable_hash(admitted_.team.value());
}

milliseconds online_exchange::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(deadline_ - steady_clock::now());
}

milliseconds online_exchange::elapsed() const
{
    return elapsed_since(started_at_);
}

bool online_exchange::is_repeatable() const
{
    return admitted_.route->repeatable();
}

void online_exchange::start()
{
    caller_->when_ended([weak = weak_from_this()](bool complete) {
        const auto self = weak.lock();
        if (self && !complete) {
            self->on_caller_disconnected();
        }
    });
    deadline_timer_ =
        context_.loop.post_after(deadline_ - steady_clock::now(), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->on_deadline();
            }
        });
    start_admission();
}

core::service_id online_exchange::choose_service() const
{
    const serving::route* route = admitted_.route;
    if (context_.routes != admitted_.table) {
        const serving::route* current =
            context_.routes->find_route(admitted_.request.host, admitted_.request.path);
        const bool is_online = current != nullptr && current->kind != serving::request_kind::batch;
        // A request whose route has been removed was accepted with it, and is served by it.
        route = is_online ? current : route;
    }
    return serving::sends_to(*route, service_) ? service_
                                               : serving::choose_service(*route, fingerprint_);
}

void online_exchange::on_state_changed()
{
    if (stage_ == response_stage::ended || !awaiting_admission_ || choose_service() == service_) {
        return;
    }
    release_admission(serving::slot_outcome::cancelled);
    start_admission();
}

void online_exchange::start_admission()
{
    const serving::route& route = *admitted_.route;
    service_ = choose_service();
    serving::admission_request new_admission;
    new_admission.slot.service = service_;
    new_admission.slot.kind = serving::work_kind::online;
    new_admission.slot.data_centre = context_.data_centre;
    new_admission.slot.prefixes = admitted_.request.prefixes;
    new_admission.slot.tokens = admitted_.request.tokens;
    new_admission.slot.prompt_tokens = admitted_.request.prompt_tokens;
    new_admission.slot.time_to_objective = route.objective - elapsed();
    new_admission.slot.time_to_deadline = time_left();
    // A caller whose response was cut short has already waited; another rejection is no use to it.
    new_admission.slot.is_retry = admitted_.is_retry || attempts_ > 0;
    new_admission.slot.excluded = excluded_targets_;
    // A request counts once against the limit of its team, whatever the number of its attempts.
    new_admission.slot.team = admitted_.team;
    new_admission.charged = charged_;
    new_admission.traits = {fingerprint_, admitted_.request.prompt_parts};
    charged_ = true;
    awaiting_admission_ = true;
    admission_ = context_.admission.request_admission(
        std::move(new_admission),
        [self = shared_from_this()](const admission_decision& decision) {
            self->on_admission(decision);
        },
        [] {});
}

void online_exchange::on_admission(const admission_decision& decision)
{
    awaiting_admission_ = false;
    if (stage_ == response_stage::ended) {
        return;
    }
    if (const auto* rejected = std::get_if<serving::admission_rejected>(&decision.result)) {
        rejected_admission_ = std::exchange(admission_, 0);
        if (may_have_run_) {
            reject(rejection_reason::target_failed);
            return;
        }
        switch (rejected->reason) {
        case serving::admission_rejection_reason::overloaded:
            reject(rejection_reason::overloaded, rejected->retry_after);
            return;
        case serving::admission_rejection_reason::no_target:
            reject(rejection_reason::no_target, rejected->retry_after);
            return;
        case serving::admission_rejection_reason::over_limit:
            reject(rejection_reason::over_limit, rejected->retry_after);
            return;
        case serving::admission_rejection_reason::crashes_targets:
            reject(rejection_reason::crashes_targets, rejected->retry_after);
            return;
        }
        return;
    }
    const auto& granted = std::get<serving::admission_granted>(decision.result);
    target_ = granted.target;
    address_ = granted.address;
    context_.logger.write(kernel::log_level::info, "request_placed",
                          {{"id", admitted_.request.id},
                           {"target", target_.value()},
                           {"basis", to_text(decision.source)},
                           {"call", std::to_string(admission_)},
                           {"waited_ms", std::to_string(elapsed().count())}});
    if (time_left() < min_send_time) {
        release_admission(serving::slot_outcome::cancelled);
        reject(may_have_run_ ? rejection_reason::timed_out : rejection_reason::overloaded);
        return;
    }
    target_process_ = context_.fleet.identify_process(target_);
    if (context_.fleet.is_leaving(target_process_) || context_.fleet.is_evacuated(target_)) {
        // The leader does not know yet.
        release_admission(serving::slot_outcome::not_run);
        exclude_target();
        start_admission();
        return;
    }
    send_to_target();
}

void online_exchange::send_to_target()
{
    target_attempt attempt;
    attempt.target = target_;
    attempt.address = address_;
    attempt.team = admitted_.team;
    attempt.time_left = time_left();
    attempt.last_event = last_event_;
    http::client_request request =
        context_.translator.make_target_request(admitted_.request, attempt);
    set_time_limits(request, context_.timeouts, attempt.time_left);
    request.id = admitted_.request.id;
    request.use = is_repeatable() ? http::connection_use::any : http::connection_use::recent;

    ++attempts_;
    sent_at_ = steady_clock::now();
    last_received_at_ = sent_at_;
    target_first_byte_.reset();
    head_ = {0, {}};
    response_flags_ = {};
    continues_stream_ = stage_ == response_stage::streaming;
    streams_body_ = false;
    buffered_body_.clear();
    completeness_ = {};
    events_ = serving::event_splitter();

    const std::uint64_t generation = ++call_generation_;
    http::call_observer observer;
    const auto self = shared_from_this();
    observer.on_head = [self, generation](const http::response_head& head) {
        return generation == self->call_generation_ ? self->on_head(head) : http::flow::proceed;
    };
    observer.on_piece = [self, generation](std::string piece) {
        return generation == self->call_generation_ ? self->on_piece(std::move(piece))
                                                    : http::flow::proceed;
    };
    observer.on_done = [self, generation](const http::call_result& result) {
        if (generation == self->call_generation_) {
            self->on_done(result);
        }
    };
    call_ = context_.targets.start(std::move(request), std::move(observer));
    start_silence_timer();
}

void online_exchange::start_silence_timer()
{
    const bool hedges = is_repeatable() && attempts_ < admitted_.route->attempts_max;
    const milliseconds wait =
        hedges ? context_.timeouts.hedge : context_.timeouts.unresponsive_after;
    silence_timer_ = context_.loop.post_after(
        wait, [weak = weak_from_this(), generation = call_generation_, hedges] {
            const auto self = weak.lock();
            const bool still_silent = self && self->call_generation_ == generation &&
                                      self->call_ != nullptr && !self->target_first_byte_;
            if (!still_silent) {
                return;
            }
            if (!hedges) {
                self->context_.admission.set_unresponsive(self->admission_, true);
                return;
            }
            self->abandon_attempt(serving::slot_outcome::silent, "no first byte");
        });
}

void online_exchange::abandon_attempt(serving::slot_outcome outcome, const std::string& reason)
{
    const auto call = std::exchange(call_, nullptr);
    // From here on, the end of the call is ignored.
    ++call_generation_;
    call->cancel();
    on_attempt_failed(outcome, reason, true);
}

http::flow online_exchange::on_head(const http::response_head& head)
{
    head_ = head;
    response_flags_ = context_.translator.classify_response(head, admitted_.request.id);
    completeness_ = make_completeness_check(head, response_flags_);
    if (response_flags_.target_leaves) {
        context_.fleet.on_target_leaving(target_process_, admitted_.request.id);
    }
    if (!is_own_response(response_flags_, head.status)) {
        abandon_attempt(serving::slot_outcome::broken,
                        "the response is unsigned or belongs to another request");
        return http::flow::proceed;
    }
    context_.fleet.on_target_response(target_process_, response_flags_, sent_at_);
    return http::flow::proceed;
}

bool online_exchange::is_event_stream() const
{
    return response_flags_.is_event_stream && is_success(head_.status);
}

http::flow online_exchange::on_plain_piece(std::string piece)
{
    if (!streams_body_ && buffered_body_.size() + piece.size() <= buffered_body_max) {
        buffered_body_ += piece;
        return http::flow::proceed;
    }
    const bool may_stream = is_success(head_.status) && stage_ == response_stage::none;
    if (!streams_body_ && !may_stream) {
        abandon_attempt(serving::slot_outcome::broken, "the response exceeds its size limit");
        return http::flow::proceed;
    }
    if (!streams_body_) {
        streams_body_ = true;
        start_streaming();
        piece.insert(0, buffered_body_);
        buffered_body_ = std::string();
    }
    return forward(std::move(piece));
}

http::flow online_exchange::on_piece(std::string piece)
{
    last_received_at_ = steady_clock::now();
    if (!target_first_byte_) {
        target_first_byte_ = elapsed_since(sent_at_);
        context_.admission.set_unresponsive(admission_, false);
    }
    completeness_.feed(piece);
    if (!is_event_stream()) {
        return on_plain_piece(std::move(piece));
    }
    if (!is_repeatable()) {
        start_streaming();
        if (head_.ends_with_connection &&
            completeness_.incomplete_event_bytes() > serving::event_bytes_max) {
            abandon_attempt(serving::slot_outcome::broken, "an event exceeds its size limit");
            return http::flow::proceed;
        }
        return forward(std::move(piece));
    }
    // Only complete events are forwarded, because the events after them may come from another
    // target.
    std::string complete_events;
    for (serving::stream_event& event : events_.feed(piece)) {
        if (event.id) {
            last_event_ = event.id;
        }
        complete_events += event.bytes;
    }
    http::flow next = http::flow::proceed;
    if (!complete_events.empty()) {
        start_streaming();
        next = forward(std::move(complete_events));
    }
    if (events_.overflowed()) {
        abandon_attempt(serving::slot_outcome::broken, "an event exceeds its size limit");
    }
    return next;
}

void online_exchange::start_streaming()
{
    if (stage_ != response_stage::none) {
        return;
    }
    stage_ = response_stage::streaming;
    caller_first_byte_ = elapsed();
    caller_->start({head_.status, context_.translator.forwarded_headers(head_)});
}

http::flow online_exchange::forward(std::string bytes)
{
    if (!unsent_.empty()) {
        unsent_ += bytes;
        return http::flow::pause;
    }
    if (caller_->write(std::move(bytes)) == http::write_result::buffer_full) {
        // `write` doesn't move from bytes that it doesn't take.
        unsent_ = std::move(bytes); // NOLINT(bugprone-use-after-move)
        write_unsent();
        return http::flow::pause;
    }
    return http::flow::proceed;
}

void online_exchange::write_unsent()
{
    caller_->when_writable([self = shared_from_this()] {
        if (self->stage_ != response_stage::streaming || self->unsent_.empty()) {
            return;
        }
        if (self->caller_->write(std::move(self->unsent_)) == http::write_result::buffer_full) {
            self->write_unsent();
            return;
        }
        self->unsent_.clear();
        if (self->call_ != nullptr) {
            self->call_->resume();
        }
    });
}

void online_exchange::on_done(const http::call_result& result)
{
    call_ = nullptr;
    if (stage_ == response_stage::ended) {
        return;
    }
    if (result.outcome == http::call_outcome::completed) {
        on_complete_response(result.repeated);
        return;
    }
    // `sent` is false for a call that was not sent.
    on_attempt_failed(to_slot_outcome(result.outcome), result.reason, result.sent);
}

void online_exchange::on_complete_response(bool repeated)
{
    if (response_flags_.not_run) {
        // A target that has just crashed also rejects what it has lost with its connections.
        on_attempt_failed(repeated ? serving::slot_outcome::broken : serving::slot_outcome::not_run,
                          repeated ? "the connection was lost, then rejected by the target"
                                   : "rejected by the target",
                          repeated);
        return;
    }
    if (promises_not_run(head_.status)) {
        // The response lacks the target's statement that the request hasn't run, so it may have
        // run.
        on_attempt_failed(serving::slot_outcome::failed, "status " + std::to_string(head_.status),
                          true);
        return;
    }
    if (!completeness_.is_whole()) {
        context_.truncated_responses.add();
        on_attempt_failed(serving::slot_outcome::broken, "the response is truncated", true);
        return;
    }
    const bool streams = is_event_stream();
    const bool failed = head_.status >= 500;
    const bool retry_elsewhere =
        failed && is_repeatable() && attempts_ < admitted_.route->attempts_max;
    if (retry_elsewhere || (continues_stream_ && !streams)) {
        on_attempt_failed(serving::slot_outcome::failed, "status " + std::to_string(head_.status),
                          true);
        return;
    }
    release_admission(failed ? serving::slot_outcome::failed : serving::slot_outcome::completed);
    exchange_result summary;
    summary.status = head_.status;
    summary.complete = true;
    if (stage_ == response_stage::none && streams) {
        // The stream ended without an event.
        start_streaming();
    }
    if (stage_ == response_stage::streaming) {
        std::string rest = std::exchange(unsent_, {});
        if (!rest.empty() && caller_->write(std::move(rest)) != http::write_result::buffered) {
            summary.complete = false;
            caller_->abort();
        }
        else {
            caller_->finish();
        }
    }
    else {
        caller_first_byte_ = elapsed();
        caller_->send({head_.status, context_.translator.forwarded_headers(head_), buffered_body_});
    }
    finish(summary);
}

void online_exchange::release_admission(serving::slot_outcome outcome)
{
    if (admission_ != 0) {
        const serving::run_limits limits{deadline_, last_received_at_,
                                         context_.timeouts.unresponsive_after};
        context_.admission.release(std::exchange(admission_, 0),
                                   serving::judge_run_end(outcome, limits, steady_clock::now()),
                                   target_first_byte_, elapsed_since(sent_at_));
    }
}

void online_exchange::on_attempt_failed(serving::slot_outcome outcome, const std::string& reason,
                                        bool may_have_run)
{
    may_have_run_ = may_have_run_ || may_have_run;
    if (!may_have_run && attempts_ > 0) {
        --attempts_;
    }
    release_admission(outcome);
    context_.logger.write(kernel::log_level::info, "target_failed",
                          {{"id", admitted_.request.id},
                           {"target", target_.value()},
                           {"reason", reason},
                           {"may_have_run", may_have_run ? "yes" : "no"},
                           {"events_passed", last_event_ ? std::to_string(*last_event_) : "none"}});
    exclude_target();
    retry();
}

void online_exchange::exclude_target()
{
    if (std::find(excluded_targets_.begin(), excluded_targets_.end(), target_) ==
        excluded_targets_.end()) {
        excluded_targets_.push_back(target_);
    }
}

void online_exchange::retry()
{
    // A response that was forwarded without splitting it into events can't resume on another
    // target.
    const bool resumable = stage_ == response_stage::none || (is_repeatable() && !streams_body_);
    const bool allowed =
        !may_have_run_ || (is_repeatable() && attempts_ < admitted_.route->attempts_max);
    if (resumable && allowed && time_left() > min_send_time) {
        start_admission();
        return;
    }
    if (!may_have_run_) {
        reject(rejection_reason::overloaded, milliseconds(200));
        return;
    }
    reject(time_left() <= min_send_time ? rejection_reason::timed_out
                                        : rejection_reason::target_failed);
}

void online_exchange::on_caller_disconnected()
{
    if (stage_ == response_stage::ended) {
        return;
    }
    if (const auto call = std::exchange(call_, nullptr)) {
        ++call_generation_;
        call->cancel();
    }
    release_admission(serving::slot_outcome::cancelled);
    exchange_result summary;
    finish(summary);
}

void online_exchange::on_deadline()
{
    if (stage_ == response_stage::ended) {
        return;
    }
    const bool running = call_ != nullptr;
    if (const auto call = std::exchange(call_, nullptr)) {
        ++call_generation_;
        call->cancel();
    }
    may_have_run_ = may_have_run_ || running;
    const bool silent = running && !target_first_byte_;
    release_admission(silent ? serving::slot_outcome::silent : serving::slot_outcome::cancelled);
    reject(may_have_run_ ? rejection_reason::timed_out : rejection_reason::overloaded);
}

void online_exchange::reject(rejection_reason reason, std::optional<milliseconds> retry_after)
{
    if (stage_ == response_stage::streaming) {
        caller_->abort();
    }
    else {
        caller_->send(
            context_.translator.encode_rejection(reason, admitted_.request.id, retry_after));
    }
    exchange_result summary;
    summary.rejection = reason;
    context_.logger.write(
        kernel::log_level::info, "request_refused",
        {{"id", admitted_.request.id},
         {"reason", to_text(reason)},
         {"team", admitted_.team.value()},
         {"call", std::to_string(rejected_admission_)},
         {"target", target_.value()},
         {"state_version", std::to_string(admitted_.table->state().version)},
         {"retry_after_ms", retry_after ? std::to_string(retry_after->count()) : "none"},
         {"after_ms", std::to_string(elapsed().count())}});
    finish(summary);
}

void online_exchange::finish(const exchange_result& summary)
{
    stage_ = response_stage::ended;
    if (deadline_timer_ != nullptr) {
        deadline_timer_->cancel();
    }
    if (silence_timer_ != nullptr) {
        silence_timer_->cancel();
    }
    exchange_result result = summary;
    result.first_byte = caller_first_byte_;
    result.duration = elapsed();
    if (!result.rejection) {
        context_.logger.write(
            kernel::log_level::info, "request_ended",
            {{"id", admitted_.request.id},
             {"team", admitted_.team.value()},
             {"target", target_.value()},
             {"status", std::to_string(result.status)},
             {"whole", result.complete ? "yes" : "no"},
             {"first_byte_ms", caller_first_byte_ ? std::to_string(caller_first_byte_->count())
                                                  : std::string("none")},
             {"total_ms", std::to_string(result.duration.count())}});
    }
    on_end_(result);
}

} // namespace gooseberryfall::edge
