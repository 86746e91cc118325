#pragma once

#include "core/core.hpp"
#include "core/response_completeness.hpp"
#include "http/http.hpp"
#include "targets/dispatcher.hpp"
#include "targets/exchange_table.hpp"

#include <functional>
#include <memory>
#include <string>

namespace gooseberryfall::targets {

/// What a dispatch uses of its dispatcher, which outlives it while `alive` is true.
struct dispatch_context {
    http::event_loop& loop;
    http::client& client;
    exchange_table& exchanges;
    const dispatcher_settings& settings;
    const dispatcher_callbacks& callbacks;
    /// Takes the report of an ended dispatch.
    std::function<void(core::dispatch_finished)> finish;
    std::shared_ptr<bool> alive;
};

/// One dispatch: the call to the target and what is common to requests and items. Lives on the
/// dispatcher's loop; all methods must be called on its thread.
class running_dispatch : public std::enable_shared_from_this<running_dispatch> {
public:
    /// Precondition: `context` outlives the dispatch while `context.alive` is true.
    running_dispatch(const dispatch_context& context, core::dispatch order);
    virtual ~running_dispatch() = default;
    running_dispatch(const running_dispatch&) = delete;
    running_dispatch& operator=(const running_dispatch&) = delete;
    running_dispatch(running_dispatch&&) = delete;
    running_dispatch& operator=(running_dispatch&&) = delete;

    /// Begins the dispatch.
    virtual void begin() = 0;

    /// Ends the call at the target. The end is reported by `on_done`.
    void cancel();

protected:
    /// The answer's head came and it is neither a refusal nor another request's answer.
    virtual http::flow on_answer(const http::response_head& head) = 0;

    /// A piece of such an answer came.
    virtual http::flow on_piece(std::string piece) = 0;

    /// The call ended; completes the report. Its outcome is `completed` only if the answer is whole
    /// by its framing and its events.
    virtual void on_done(const http::call_result& result, core::dispatch_finished& report) = 0;

    /// Value of `X-Request-Id`, unique over instances and runs.
    std::string request_number() const;

    /// Sends the request. Precondition: called once.
    void send(http::client_request request);

    /// Reports an end without a call.
    void finish_unsent(core::dispatch_outcome outcome);

    const dispatch_context& context_;
    const core::dispatch order_;
    std::shared_ptr<http::ongoing_call> call_;
    bool cancelled_ = false;

private:
    http::flow take_head(const http::response_head& head);
    http::flow take_piece(std::string piece);
    void finish(const http::call_result& result);

    bool refused_ = false;
    bool mismatched_ = false;
    core::response_completeness completeness_;
};

} // namespace gooseberryfall::targets
