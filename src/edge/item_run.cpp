#include "edge/item_run.hpp"

#include "edge/target_call.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Status by which a target reports that an item can never be processed.
constexpr unsigned status_unprocessable = 422;

/// Maximum output of an item; the store can't hold more.
constexpr std::size_t output_bytes_max = 8U << 20U;

/// Maximum size of a response to an item, which contains the output and the framing of its events.
constexpr std::size_t response_bytes_max = 4 * output_bytes_max;

/// Maximum size of a response whose body isn't used.
constexpr std::size_t unused_body_bytes_max = 64U << 10U;

milliseconds duration_between(steady_clock::time_point begin, steady_clock::time_point end)
{
    return std::chrono::duration_cast<milliseconds>(end - begin);
}

} // namespace

item_run::item_run(edge_context& context, item_run_input input,
                   std::function<void(const item_run_result&)> on_end)
    : context_(context), input_(std::move(input)), on_end_(std::move(on_end))
{
    has_text_ = input_.progress.last_event.has_value();
}

void item_run::start()
{
    const auto now = steady_clock::now();
    serving::admission_request new_admission;
    new_admission.slot.service = input_.service;
    new_admission.slot.team = input_.team;
    new_admission.slot.kind = serving::work_kind::batch;
    new_admission.slot.data_centre = context_.data_centre;
    new_admission.slot.prefixes = context_.translator.item_prompt_prefixes(input_.item);
    new_admission.slot.tokens = input_.remaining_tokens;
    // The target also holds the output so far, from which it continues.
    const std::uint32_t all = context_.translator.expected_item_tokens(input_.item);
    const std::uint32_t generated = all - std::min(all, input_.remaining_tokens);
    new_admission.slot.prompt_tokens =
        context_.translator.item_prompt_tokens(input_.item) + generated;
    new_admission.slot.time_to_deadline = duration_between(now, input_.due_at);
    new_admission.slot.time_to_expiry = duration_between(now, input_.expires_at);
    new_admission.traits.parts = context_.translator.item_prompt_parts(input_.item);
    admission_ = context_.admission.request_admission(
        std::move(new_admission),
        [weak = weak_from_this()](const admission_decision& decision) {
            if (const auto self = weak.lock()) {
                self->on_admission(decision);
            }
        },
        [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->preempt();
            }
        });
}

void item_run::on_admission(const admission_decision& decision)
{
    const auto* granted = std::get_if<serving::admission_granted>(&decision.result);
    if (granted == nullptr) {
        admission_ = 0;
        finish(item_run_outcome::interrupted, "no_slot");
        return;
    }
    target_ = granted->target;
    address_ = granted->address;
    target_process_ = context_.fleet.identify_process(target_);
    if (context_.fleet.is_leaving(target_process_)) {
        // The leader does not know yet.
        release_admission(serving::slot_outcome::not_run);
        finish(item_run_outcome::interrupted, "target_leaving");
        return;
    }
    if (context_.fleet.is_evacuated(target_)) {
        release_admission(serving::slot_outcome::not_run);
        finish(item_run_outcome::interrupted, "data_centre_evacuated");
        return;
    }
    send_to_target();
}

void item_run::send_to_target()
{
    sent_at_ = steady_clock::now();
    last_received_at_ = sent_at_;
    target_attempt attempt;
    attempt.target = target_;
    attempt.address = address_;
    attempt.team = input_.team;
    attempt.time_left = duration_between(sent_at_, input_.expires_at);
    attempt.last_event = input_.progress.last_event;
    http::client_request request =
        context_.translator.make_item_request(input_.item, input_.host, attempt);
    set_time_limits(request, context_.timeouts, attempt.time_left);
    request.id = input_.item.id;
    request.use = http::connection_use::any;

    http::call_observer observer;
    const auto self = shared_from_this();
    observer.on_head = [self](const http::response_head& head) { return self->on_head(head); };
    observer.on_piece = [self](const std::string& piece) { return self->on_piece(piece); };
    observer.on_done = [self](const http::call_result& result) { self->on_done(result); };
    call_ = context_.targets.start(std::move(request), std::move(observer));
    context_.logger.write(
        kernel::log_level::info, "item_sent",
        {{"id", input_.item.id},
         {"job", input_.key.job},
         {"target", target_.value()},
         {"after_event", attempt.last_event ? std::to_string(*attempt.last_event) : "none"}});
    start_stall_timer();
}

void item_run::start_stall_timer()
{
    stall_timer_ = context_.loop.post_after(context_.timeouts.stall, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->done_ || self->call_ == nullptr) {
            return;
        }
        if (steady_clock::now() - self->last_received_at_ < self->context_.timeouts.stall) {
            self->start_stall_timer();
            return;
        }
        self->abandon(serving::slot_outcome::silent, "target_silent");
    });
}

http::flow item_run::on_head(const http::response_head& head)
{
    head_ = head;
    response_flags_ = context_.translator.classify_response(head, input_.item.id);
    completeness_ = make_completeness_check(head, response_flags_);
    if (response_flags_.target_leaves) {
        context_.fleet.on_target_leaving(target_process_, input_.item.id);
    }
    if (done_) {
        return http::flow::proceed;
    }
    if (!is_own_response(response_flags_, head.status)) {
        abandon(serving::slot_outcome::broken, "foreign_answer");
        return http::flow::proceed;
    }
    context_.fleet.on_target_response(target_process_, response_flags_, sent_at_);
    return http::flow::proceed;
}

bool item_run::has_usable_body() const
{
    return response_flags_.signed_by_target && head_.status == 200;
}

http::flow item_run::on_piece(const std::string& piece)
{
    if (done_) {
        return http::flow::proceed;
    }
    const auto now = steady_clock::now();
    last_received_at_ = now;
    received_bytes_ += piece.size();
    completeness_.feed(piece);
    const std::size_t bytes_max = has_usable_body() ? response_bytes_max : unused_body_bytes_max;
    if (received_bytes_ > bytes_max) {
        abandon_oversized_response();
        return http::flow::proceed;
    }
    if (!has_usable_body()) {
        return http::flow::proceed;
    }
    if (!target_first_byte_) {
        target_first_byte_ = duration_between(sent_at_, now);
    }
    if (response_flags_.is_event_stream) {
        take_events(piece);
    }
    else {
        plain_body_ += piece;
    }
    const bool too_large = plain_body_.size() > output_bytes_max ||
                           input_.progress.text.size() > output_bytes_max || events_.overflowed();
    if (too_large) {
        abandon_oversized_response();
    }
    return http::flow::proceed;
}

void item_run::take_events(const std::string& piece)
{
    for (const serving::stream_event& event : events_.feed(piece)) {
        if (event.id) {
            input_.progress.last_event = event.id;
        }
        if (event.id || !event.data.empty()) {
            input_.progress.text += has_text_ ? "\n" : "";
            input_.progress.text += event.data;
            has_text_ = true;
        }
    }
}

void item_run::abandon_oversized_response()
{
    release_admission(serving::slot_outcome::broken);
    if (input_.progress.text.size() > output_bytes_max) {
        // Going on from here would exceed the limit again.
        input_.progress = {};
        target_first_byte_.reset();
    }
    abandon(serving::slot_outcome::broken, "answer_too_large");
}

void item_run::abandon(serving::slot_outcome outcome, const char* reason)
{
    // From here on, the end of the call is ignored.
    done_ = true;
    cancel_call();
    release_admission(outcome);
    finish(item_run_outcome::interrupted, reason);
}

void item_run::on_done(const http::call_result& result)
{
    call_ = nullptr;
    if (done_) {
        return;
    }
    if (result.outcome == http::call_outcome::completed) {
        on_complete_response(result.repeated);
        return;
    }
    release_admission(to_slot_outcome(result.outcome));
    finish(item_run_outcome::interrupted, http::to_text(result.outcome));
}

void item_run::on_complete_response(bool repeated)
{
    if (response_flags_.not_run) {
        release_admission(repeated ? serving::slot_outcome::broken
                                   : serving::slot_outcome::not_run);
        finish(item_run_outcome::interrupted, "refused_by_target");
        return;
    }
    if (!completeness_.is_whole()) {
        context_.truncated_responses.add();
        release_admission(serving::slot_outcome::broken);
        finish(item_run_outcome::interrupted, "answer_truncated");
        return;
    }
    if (has_usable_body()) {
        if (!response_flags_.is_event_stream) {
            input_.progress.text = plain_body_;
        }
        release_admission(serving::slot_outcome::completed);
        finish(item_run_outcome::completed, "completed");
        return;
    }
    if (head_.status == status_unprocessable) {
        release_admission(serving::slot_outcome::completed);
        finish(item_run_outcome::unprocessable, "impossible");
        return;
    }
    const bool failed = head_.status == 500;
    release_admission(serving::slot_outcome::failed);
    finish(failed ? item_run_outcome::target_failed : item_run_outcome::interrupted,
           "target_failed");
}

void item_run::preempt()
{
    if (done_) {
        return;
    }
    abandon(serving::slot_outcome::cancelled, "yielded");
}

void item_run::cancel_call()
{
    if (const auto call = std::exchange(call_, nullptr)) {
        call->cancel();
    }
}

void item_run::release_admission(serving::slot_outcome outcome)
{
    if (admission_ != 0) {
        const milliseconds duration =
            target_.empty() ? milliseconds(0) : duration_between(sent_at_, steady_clock::now());
        const serving::run_limits limits{input_.expires_at, last_received_at_,
                                         context_.timeouts.stall};
        const serving::slot_outcome judged =
            target_.empty() ? outcome
                            : serving::judge_run_end(outcome, limits, steady_clock::now());
        context_.admission.release(std::exchange(admission_, 0), judged, target_first_byte_,
                                   duration);
    }
}

void item_run::stop()
{
    done_ = true;
    cancel_call();
    release_admission(serving::slot_outcome::cancelled);
}

void item_run::finish(item_run_outcome outcome, const char* reason)
{
    done_ = true;
    if (!target_.empty()) {
        const auto& last = input_.progress.last_event;
        context_.logger.write(kernel::log_level::info, "item_run_ended",
                              {{"id", input_.item.id},
                               {"job", input_.key.job},
                               {"target", target_.value()},
                               {"reason", reason},
                               {"last_event", last ? std::to_string(*last) : "none"}});
    }
    if (stall_timer_ != nullptr) {
        stall_timer_->cancel();
    }
    item_run_result run_result;
    run_result.outcome = outcome;
    run_result.progress = input_.progress;
    run_result.made_progress = target_first_byte_.has_value();
    if (run_result.made_progress) {
        run_result.run_time = duration_between(sent_at_ + *target_first_byte_, steady_clock::now());
    }
    on_end_(run_result);
}

} // namespace gooseberryfall::edge
