#include "stand_ins/model_engine.hpp"

#include "platform/names.hpp"

#include <boost/json.hpp>

namespace gooseberryfall::stand_ins {

namespace {

namespace names = adapter::names;

std::string event_data(const std::string& path, std::uint64_t event)
{
    return path + '#' + std::to_string(event);
}

std::string event_text(const std::string& path, std::uint64_t event)
{
    return "id: " + std::to_string(event) + "\ndata: " + event_data(path, event) + "\n\n";
}

} // namespace

struct model_engine::stream {
    std::shared_ptr<http::responder> caller;
    std::string path;
    std::size_t run_index = 0;
    std::uint64_t next_event = 0;
    std::uint32_t sent_count = 0;
    run_pace pace{};
    bool ended = false;
};

namespace {

/// Engines accept whatever the instances forward, because the instances enforce the size limits.
http::server_settings make_server_settings()
{
    http::server_settings settings;
    settings.header_limit = 1U << 20U;
    settings.body_limit = 64U << 20U;
    return settings;
}

} // namespace

model_engine::model_engine(engine_options options) : options_(std::move(options))
{
    server_ = std::make_unique<http::server>(
        loop_, make_server_settings(),
        http::server_handlers{
            [this](const http::request& received, const std::shared_ptr<http::responder>& caller) {
                handle(received, caller);
            },
            {}});
    port_ = server_->start().value();
}

model_engine::~model_engine()
{
    loop_.run_and_wait([this] { *alive_ = false; });
}

std::string model_engine::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void model_engine::handle(const http::request& received,
                          const std::shared_ptr<http::responder>& caller)
{
    const std::string run_id = received.headers.get(names::request_id);
    if (received.headers.get(names::expected_target) != options_.id) {
        caller->send({421, {{names::target_id, options_.id}}, {}});
        return;
    }
    std::unique_lock lock(mutex_);
    const bool down = std::chrono::steady_clock::now() < down_until_;
    if (rejects_requests_ || down || running_count_ >= options_.slots) {
        http::header_fields refusal{{names::not_run, "1"}, {names::request_id, run_id}};
        add_announcements(refusal);
        caller->send({503, refusal, {}});
        return;
    }
    engine_run run;
    run.run_id = run_id;
    run.path = received.target;
    run.team = received.headers.get(names::team);
    run.had_key = received.headers.find("Authorization") != nullptr;
    run.arrived_at = std::chrono::steady_clock::now();
    run.caller_address = received.client;
    run.process_started_at = process_started_at_;
    run.said_leaving = leaving_;
    const std::string resume_after = received.headers.get(names::last_event_id);
    if (!resume_after.empty()) {
        run.resumed_after = std::stoull(resume_after);
    }
    runs_.push_back(run);
    if (is_crashing(received)) {
        runs_.back().crashed = true;
        runs_.back().ended_at = run.arrived_at;
        down_until_ = std::chrono::steady_clock::now() + down_time_;
        lock.unlock();
        caller->abort();
        crash();
        return;
    }
    if (unresponsive_) {
        unanswered_calls_.push_back(caller);
        const std::size_t run_index = runs_.size() - 1;
        lock.unlock();
        caller->when_ended([this, alive = alive_, run_index](bool) {
            if (*alive) {
                const std::lock_guard end_lock(mutex_);
                runs_[run_index].ended_at = std::chrono::steady_clock::now();
            }
        });
        return;
    }
    const std::string response_request_id = mismatches_request_ids_ ? "another" : run_id;
    http::header_fields headers{{names::request_id, response_request_id},
                                {names::signature, "s-" + run_id}};
    add_announcements(headers);
    if (forced_status_ != 0) {
        runs_.back().ended_at = run.arrived_at;
        caller->send({forced_status_, headers, "failed"});
        return;
    }
    ++running_count_;
    const auto started = std::make_shared<stream>();
    started->caller = caller;
    started->path = received.target;
    started->run_index = runs_.size() - 1;
    started->pace =
        options_.pace ? options_.pace(run_id) : run_pace{.event_interval = options_.event_interval};
    started->next_event = run.resumed_after ? *run.resumed_after + 1 : 0;
    std::erase_if(streams_, [](const auto& each) { return each.expired(); });
    streams_.push_back(started);
    lock.unlock();
    headers.set("Content-Type", "text/event-stream");
    caller->when_ended([this, alive = alive_, started](bool) {
        if (*alive) {
            end_stream(started);
        }
    });
    if (started->pace.prefill.count() == 0) {
        start_response(started, headers);
        return;
    }
    loop_.post_after(started->pace.prefill, [this, alive = alive_, started, headers] {
        if (*alive && !started->ended) {
            start_response(started, headers);
        }
    });
}

void model_engine::start_response(const std::shared_ptr<stream>& active,
                                  const http::header_fields& headers)
{
    active->caller->start({200, headers});
    send_next_event(active);
}

void model_engine::add_announcements(http::header_fields& headers) const
{
    if (leaving_) {
        headers.set(names::leaving, "1");
    }
    if (rate_limit_) {
        headers.set(names::rate_limit, *rate_limit_);
    }
    const auto cold_left = std::chrono::ceil<std::chrono::milliseconds>(
        cold_until_ - std::chrono::steady_clock::now());
    if (cold_left.count() > 0) {
        headers.set(names::cold_time, std::to_string(cold_left.count()));
    }
}

void model_engine::name_rate_limit(std::optional<double> rate)
{
    const std::lock_guard lock(mutex_);
    rate_limit_ = rate ? std::optional(std::to_string(*rate)) : std::nullopt;
}

void model_engine::name_rate_limit_as(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    rate_limit_ = text;
}

void model_engine::become_cold(std::chrono::milliseconds time)
{
    const std::lock_guard lock(mutex_);
    cold_until_ = std::chrono::steady_clock::now() + time;
}

void model_engine::set_leaving(bool leaving)
{
    const std::lock_guard lock(mutex_);
    leaving_ = leaving;
}

std::int64_t model_engine::replace_process()
{
    const std::lock_guard lock(mutex_);
    leaving_ = false;
    return ++process_started_at_;
}

void model_engine::crash_on_part(const std::string& part, std::chrono::milliseconds down_time)
{
    const std::lock_guard lock(mutex_);
    crashing_part_ = part;
    down_time_ = down_time;
}

bool model_engine::is_crashing(const http::request& received) const
{
    const std::string prompt = received.headers.get(names::prompt_prefixes);
    return !crashing_part_.empty() &&
           ("," + prompt).find("," + crashing_part_ + ":") != prompt.npos;
}

void model_engine::crash()
{
    std::vector<std::weak_ptr<stream>> cut;
    {
        const std::lock_guard lock(mutex_);
        cut.swap(streams_);
    }
    for (const std::weak_ptr<stream>& each : cut) {
        const auto active = each.lock();
        if (active && !active->ended) {
            end_stream(active);
            active->caller->abort();
        }
    }
}

void model_engine::send_next_event(const std::shared_ptr<stream>& active)
{
    if (active->ended) {
        return;
    }
    if (active->next_event >= options_.events) {
        {
            const std::lock_guard lock(mutex_);
            runs_[active->run_index].finished = true;
        }
        end_stream(active);
        active->caller->finish();
        return;
    }
    const std::uint32_t event_limit = truncate_after_;
    if (event_limit > 0 && active->sent_count >= event_limit) {
        // Aborts in the middle of an event.
        active->caller->write("id: ");
        end_stream(active);
        active->caller->abort();
        return;
    }
    std::string event = event_text(active->path, active->next_event);
    if (active->pace.truncated_after && active->sent_count >= *active->pace.truncated_after) {
        active->caller->write(event.substr(0, event.size() / 2));
        end_stream(active);
        active->caller->finish();
        return;
    }
    active->caller->write(std::move(event));
    ++active->next_event;
    ++active->sent_count;
    loop_.post_after(time_to_next_event(*active), [this, alive = alive_, active] {
        if (*alive) {
            send_next_event(active);
        }
    });
}

std::chrono::milliseconds model_engine::time_to_next_event(const stream& active) const
{
    const bool pauses = active.next_event == options_.events / 2;
    return active.pace.event_interval + (pauses ? active.pace.pause : std::chrono::milliseconds(0));
}

void model_engine::end_stream(const std::shared_ptr<stream>& active)
{
    const std::lock_guard lock(mutex_);
    if (!active->ended) {
        active->ended = true;
        --running_count_;
        runs_[active->run_index].ended_at = std::chrono::steady_clock::now();
        runs_[active->run_index].interrupted = !runs_[active->run_index].finished;
    }
}

std::vector<engine_run> model_engine::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::size_t model_engine::running_count() const
{
    const std::lock_guard lock(mutex_);
    return running_count_;
}

std::string model_engine::target_entry(bool draining, const std::string& advertised_address,
                                       std::int64_t started_at) const
{
    const boost::json::object fields{
        {"service", "lm"},
        {"address", advertised_address.empty() ? address() : advertised_address},
        {"zone", options_.data_centre},
        {"slots", options_.slots},
        {"state", draining ? "draining" : "ready"},
        {"sequence", 1},
        {"born", started_at}};
    return boost::json::serialize(fields);
}

std::string model_engine::complete_stream(const std::string& path, std::uint32_t events)
{
    std::string text;
    for (std::uint32_t event = 0; event < events; ++event) {
        text += event_text(path, event);
    }
    return text;
}

std::string model_engine::complete_text(const std::string& path, std::uint32_t events)
{
    std::string text;
    for (std::uint32_t event = 0; event < events; ++event) {
        text += (event == 0 ? "" : "\n") + event_data(path, event);
    }
    return text;
}

} // namespace gooseberryfall::stand_ins
