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
    std::size_t run = 0;
    std::uint64_t next = 0;
    std::uint32_t sent = 0;
    bool ended = false;
};

namespace {

/// Engines take what the instances hand on; limits are theirs to keep.
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
    const std::string request = received.headers.get(names::request_id);
    if (received.headers.get(names::expected_target) != options_.id) {
        caller->send({421, {{names::target_id, options_.id}}, {}});
        return;
    }
    std::unique_lock lock(mutex_);
    if (refuses_ || running_ >= options_.slots) {
        caller->send({503, {{names::not_run, "1"}, {names::request_id, request}}, {}});
        return;
    }
    engine_run run;
    run.request = request;
    run.path = received.target;
    run.team = received.headers.get(names::team);
    run.had_key = received.headers.find("Authorization") != nullptr;
    const std::string after = received.headers.get(names::last_event_id);
    if (!after.empty()) {
        run.after = std::stoull(after);
    }
    runs_.push_back(run);
    if (silent_) {
        unanswered_.push_back(caller);
        return;
    }
    const std::string echoed = others_ ? "another" : request;
    http::header_fields headers{{names::request_id, echoed}, {names::signature, "s-" + request}};
    if (status_ != 0) {
        caller->send({status_, headers, "failed"});
        return;
    }
    ++running_;
    const auto begun = std::make_shared<stream>();
    begun->caller = caller;
    begun->path = received.target;
    begun->run = runs_.size() - 1;
    begun->next = run.after ? *run.after + 1 : 0;
    lock.unlock();
    headers.set("Content-Type", "text/event-stream");
    caller->when_ended([this, alive = alive_, begun](bool) {
        if (*alive) {
            end(begun);
        }
    });
    caller->start({200, headers});
    step(begun);
}

void model_engine::step(const std::shared_ptr<stream>& of)
{
    if (of->ended) {
        return;
    }
    if (of->next >= options_.events) {
        {
            const std::lock_guard lock(mutex_);
            runs_[of->run].finished = true;
        }
        end(of);
        of->caller->finish();
        return;
    }
    const std::uint32_t cut = cut_after_;
    if (cut > 0 && of->sent >= cut) {
        // In the middle of an event.
        of->caller->write("id: ");
        end(of);
        of->caller->abort();
        return;
    }
    of->caller->write(event_text(of->path, of->next));
    ++of->next;
    ++of->sent;
    loop_.post_after(options_.event_gap, [this, alive = alive_, of] {
        if (*alive) {
            step(of);
        }
    });
}

void model_engine::end(const std::shared_ptr<stream>& of)
{
    const std::lock_guard lock(mutex_);
    if (!of->ended) {
        of->ended = true;
        --running_;
        runs_[of->run].caller_left = !runs_[of->run].finished;
    }
}

std::vector<engine_run> model_engine::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::size_t model_engine::running() const
{
    const std::lock_guard lock(mutex_);
    return running_;
}

std::string model_engine::entry(bool draining, const std::string& reached_at) const
{
    const boost::json::object entry{{"service", "lm"},
                                    {"address", reached_at.empty() ? address() : reached_at},
                                    {"zone", "a"},
                                    {"slots", options_.slots},
                                    {"state", draining ? "draining" : "ready"},
                                    {"sequence", 1},
                                    {"born", 1000}};
    return boost::json::serialize(entry);
}

std::string model_engine::whole_stream(const std::string& path, std::uint32_t events)
{
    std::string text;
    for (std::uint32_t event = 0; event < events; ++event) {
        text += event_text(path, event);
    }
    return text;
}

std::string model_engine::whole_text(const std::string& path, std::uint32_t events)
{
    std::string text;
    for (std::uint32_t event = 0; event < events; ++event) {
        text += (event == 0 ? "" : "\n") + event_data(path, event);
    }
    return text;
}

} // namespace gooseberryfall::stand_ins
