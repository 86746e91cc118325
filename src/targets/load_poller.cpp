#include "targets/load_poller.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace gooseberryfall::targets {

namespace json = boost::json;

namespace {

constexpr std::size_t report_limit = 16U << 10U;
constexpr unsigned status_ok = 200;
constexpr std::int64_t count_limit = 1'000'000;

std::uint32_t count_of(const json::object& report, const char* name)
{
    const json::value* value = report.if_contains(name);
    if (value == nullptr || !value->is_int64()) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value->as_int64(), 0, count_limit));
}

} // namespace

load_poller::load_poller(http::event_loop& loop, http::client& client,
                         load_poller_settings settings, report_sink sink)
    : loop_(loop), client_(client), settings_(settings), sink_(std::move(sink))
{
    poll_all();
}

load_poller::~load_poller()
{
    *alive_ = false;
    if (timer_) {
        timer_->cancel();
    }
}

void load_poller::set_targets(const std::vector<core::target>& targets)
{
    std::map<core::target_id, poll_state> next;
    for (const core::target& target : targets) {
        const auto known = targets_.find(target.id);
        next[target.id] = {target, known != targets_.end() && known->second.open};
    }
    targets_ = std::move(next);
}

void load_poller::poll_all()
{
    for (auto& [id, state] : targets_) {
        if (!state.open) {
            poll(state);
        }
    }
    timer_ = loop_.post_after(settings_.interval, [this, alive = alive_] {
        if (*alive) {
            poll_all();
        }
    });
}

void load_poller::poll(poll_state& state)
{
    state.open = true;
    http::client_request request;
    request.address = state.target.address + ":" + std::to_string(state.target.port);
    request.target = "/v1/load";
    request.timeouts = {settings_.timeout, settings_.timeout, settings_.timeout, settings_.timeout};
    request.body_limit = report_limit;
    http::call_observer observer;
    observer.on_done = [this, alive = alive_,
                        id = state.target.id](const http::call_result& result) {
        if (*alive) {
            on_answer(id, result);
        }
    };
    client_.start(std::move(request), std::move(observer));
}

void load_poller::on_answer(const core::target_id& id, const http::call_result& result)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    found->second.open = false;
    if (result.outcome != http::call_outcome::completed) {
        sink_(core::load_report_failed{id});
        return;
    }
    boost::system::error_code error;
    const json::value parsed = json::parse(result.body, error);
    // Plain services may have no load report; that is no failure.
    if (error || result.head.status != status_ok || !parsed.is_object()) {
        return;
    }
    core::load_report report;
    report.target = id;
    report.running = count_of(parsed.as_object(), "running");
    report.waiting = count_of(parsed.as_object(), "waiting");
    const json::value* leaving = parsed.as_object().if_contains("leaving");
    report.leaving = leaving != nullptr && leaving->is_bool() && leaving->as_bool();
    sink_(report);
}

} // namespace gooseberryfall::targets
