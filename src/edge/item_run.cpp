#include "edge/item_run.hpp"

#include "edge/target_call.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Status by which a target says that an item can never be done.
constexpr unsigned status_impossible = 422;

/// Longest output of an item; longer ones cannot be kept by the store.
constexpr std::size_t output_max = 8U << 20U;

milliseconds between(steady_clock::time_point begin, steady_clock::time_point end)
{
    return std::chrono::duration_cast<milliseconds>(end - begin);
}

} // namespace

item_run::item_run(edge_context& context, item_order order,
                   std::function<void(const item_end&)> on_end)
    : context_(context), order_(std::move(order)), on_end_(std::move(on_end))
{
    has_text_ = order_.progress.last_event.has_value();
}

void item_run::start()
{
    const auto now = steady_clock::now();
    serving::slot_call call;
    call.question.service = order_.service;
    call.question.kind = serving::work_kind::batch;
    call.question.data_centre = context_.data_centre;
    call.question.prefixes = context_.translator.prefixes_of(order_.item);
    call.question.tokens = order_.tokens_left;
    call.question.until_end = between(now, order_.due_at);
    call.fingerprint = core::stable_hash(order_.item.body, core::stable_hash(order_.item.path));
    slot_ = context_.admission.request_admission(
        std::move(call),
        [weak = weak_from_this()](const admission_decision& answer) {
            if (const auto self = weak.lock()) {
                self->on_slot(answer);
            }
        },
        [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->yield();
            }
        });
}

void item_run::on_slot(const admission_decision& answer)
{
    const auto* granted = std::get_if<serving::slot_granted>(&answer.result);
    if (granted == nullptr) {
        slot_ = 0;
        finish(item_outcome::interrupted, "no_slot");
        return;
    }
    target_ = granted->target;
    address_ = granted->address;
    send();
}

void item_run::send()
{
    sent_at_ = steady_clock::now();
    heard_at_ = sent_at_;
    target_send sending;
    sending.target = target_;
    sending.address = address_;
    sending.team = order_.team;
    sending.time_left = between(sent_at_, order_.end_at);
    sending.last_event = order_.progress.last_event;
    http::client_request request =
        context_.translator.item_to_target(order_.item, order_.host, sending);
    set_time_limits(request, context_.timeouts, sending.time_left);
    request.use = http::connection_use::any;

    http::call_observer observer;
    const auto self = shared_from_this();
    observer.on_head = [self](const http::response_head& head) { return self->on_head(head); };
    observer.on_piece = [self](const std::string& piece) { return self->on_piece(piece); };
    observer.on_done = [self](const http::call_result& result) { self->on_done(result); };
    call_ = context_.targets.start(std::move(request), std::move(observer));
    context_.logger.write(
        kernel::log_level::info, "item_sent",
        {{"id", order_.item.id},
         {"job", order_.key.job},
         {"target", target_.value()},
         {"after_event", sending.last_event ? std::to_string(*sending.last_event) : "none"}});
    watch_stall();
}

void item_run::watch_stall()
{
    stall_watch_ = context_.loop.post_after(context_.timeouts.stall, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->done_ || self->call_ == nullptr) {
            return;
        }
        if (steady_clock::now() - self->heard_at_ < self->context_.timeouts.stall) {
            self->watch_stall();
            return;
        }
        self->done_ = true;
        self->cancel_call();
        self->end_slot(serving::slot_outcome::silent);
        self->finish(item_outcome::interrupted, "target_silent");
    });
}

http::flow item_run::on_head(const http::response_head& head)
{
    head_ = head;
    facts_ = context_.translator.read_answer(head, order_.item.id);
    return http::flow::go_on;
}

http::flow item_run::on_piece(const std::string& piece)
{
    const auto now = steady_clock::now();
    heard_at_ = now;
    const bool usable = !done_ && facts_.ours && facts_.authentic && head_.status == 200;
    if (!usable) {
        return http::flow::go_on;
    }
    if (!first_event_) {
        first_event_ = between(sent_at_, now);
    }
    if (!facts_.events) {
        plain_body_ += plain_body_.size() < output_max ? piece : std::string();
        return http::flow::go_on;
    }
    for (const serving::stream_event& event : events_.feed(piece)) {
        if (event.id) {
            order_.progress.last_event = event.id;
        }
        if (event.id || !event.data.empty()) {
            order_.progress.text += has_text_ ? "\n" : "";
            order_.progress.text += event.data;
            has_text_ = true;
        }
    }
    return http::flow::go_on;
}

void item_run::on_done(const http::call_result& result)
{
    call_ = nullptr;
    if (done_) {
        return;
    }
    if (result.outcome == http::call_outcome::completed) {
        on_whole_answer();
        return;
    }
    end_slot(failure_of(result.outcome));
    finish(item_outcome::interrupted, http::to_text(result.outcome));
}

void item_run::on_whole_answer()
{
    if (!facts_.ours) {
        end_slot(serving::slot_outcome::broken);
        finish(item_outcome::interrupted, "foreign_answer");
        return;
    }
    if (facts_.not_run) {
        end_slot(serving::slot_outcome::not_run);
        finish(item_outcome::interrupted, "refused_by_target");
        return;
    }
    if (head_.status == 200 && facts_.authentic && events_.rest().empty()) {
        if (!facts_.events) {
            order_.progress.text = plain_body_;
        }
        end_slot(serving::slot_outcome::completed);
        finish(item_outcome::completed, "completed");
        return;
    }
    if (head_.status == status_impossible) {
        end_slot(serving::slot_outcome::completed);
        finish(item_outcome::impossible, "impossible");
        return;
    }
    const bool failed = head_.status == 500;
    end_slot(head_.status == 200 ? serving::slot_outcome::broken : serving::slot_outcome::failed);
    finish(failed ? item_outcome::failed : item_outcome::interrupted, "target_failed");
}

void item_run::yield()
{
    if (done_) {
        return;
    }
    // The end of the call is ignored from now on.
    done_ = true;
    cancel_call();
    end_slot(serving::slot_outcome::cancelled);
    finish(item_outcome::interrupted, "yielded");
}

void item_run::cancel_call()
{
    if (const auto call = std::exchange(call_, nullptr)) {
        call->cancel();
    }
}

void item_run::end_slot(serving::slot_outcome outcome)
{
    if (slot_ != 0) {
        const milliseconds duration =
            target_.empty() ? milliseconds(0) : between(sent_at_, steady_clock::now());
        context_.admission.release(std::exchange(slot_, 0), outcome, first_event_, duration);
    }
}

void item_run::stop()
{
    done_ = true;
    cancel_call();
    end_slot(serving::slot_outcome::cancelled);
}

void item_run::finish(item_outcome outcome, const char* reason)
{
    done_ = true;
    if (!target_.empty()) {
        const auto& last = order_.progress.last_event;
        context_.logger.write(kernel::log_level::info, "item_run_ended",
                              {{"id", order_.item.id},
                               {"job", order_.key.job},
                               {"target", target_.value()},
                               {"reason", reason},
                               {"last_event", last ? std::to_string(*last) : "none"}});
    }
    if (stall_watch_ != nullptr) {
        stall_watch_->cancel();
    }
    item_end end;
    end.outcome = outcome;
    end.progress = order_.progress;
    end.advanced = first_event_.has_value();
    if (end.advanced) {
        end.run_time = between(sent_at_ + *first_event_, steady_clock::now());
    }
    on_end_(end);
}

} // namespace gooseberryfall::edge
