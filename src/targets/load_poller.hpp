#pragma once

#include "core/core.hpp"
#include "http/http.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace gooseberryfall::targets {

/// Settings of `load_poller`.
struct load_poller_settings {
    std::chrono::milliseconds interval{200};
    std::chrono::milliseconds timeout{1000};
};

/// Asks engines for their load at an interval and tells the decisions. Lives on an event loop: all
/// methods must be called on the loop's thread.
class load_poller {
public:
    /// Takes reports to the decisions; called on the loop's thread.
    using report_sink = std::function<void(core::event)>;

    /// Precondition: `loop` and `client` outlive the poller.
    load_poller(http::event_loop& loop, http::client& client, load_poller_settings settings,
                report_sink sink);

    ~load_poller();
    load_poller(const load_poller&) = delete;
    load_poller& operator=(const load_poller&) = delete;
    load_poller(load_poller&&) = delete;
    load_poller& operator=(load_poller&&) = delete;

    /// Polls exactly these targets from now on.
    void set_targets(const std::vector<core::target>& targets);

private:
    struct poll_state {
        core::target target;
        bool open = false;
    };

    void poll_all();
    void poll(poll_state& state);
    void on_answer(const core::target_id& id, const http::call_result& result);

    http::event_loop& loop_;
    http::client& client_;
    load_poller_settings settings_;
    report_sink sink_;
    std::map<core::target_id, poll_state> targets_;
    std::shared_ptr<http::scheduled_task> timer_;
    /// Answers that arrive after the destruction see that this is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::targets
