#pragma once

#include "targets/event_stream.hpp"
#include "targets/running_dispatch.hpp"

#include <memory>
#include <string>

namespace gooseberryfall::targets {

/// A caller's request at a target: passes the answer on as it comes, or at once if it is short.
class online_dispatch : public running_dispatch {
public:
    using running_dispatch::running_dispatch;

    void begin() override;

protected:
    http::flow on_answer(const http::response_head& head) override;
    http::flow on_piece(std::string piece) override;
    void on_done(const http::call_result& result, core::dispatch_finished& report) override;

private:
    /// Starts the caller's answer as a stream.
    void start();
    http::flow pass_on(std::string piece);
    void wait_for_room();
    void write_waiting();
    /// Ends the caller's answer and says how: completed, cancelled if the request was refused in
    /// the meantime, or lost.
    core::dispatch_outcome complete(unsigned status);

    std::shared_ptr<exchange> exchange_;
    http::response_head head_;
    bool events_ = false;
    bool collecting_ = false;
    bool started_ = false;
    bool first_piece_ = false;
    std::string collected_;
    /// A piece that the caller's buffer had no room for.
    std::string waiting_;
    event_stream stream_{false};
};

} // namespace gooseberryfall::targets
