#pragma once

#include "cli/cli.hpp"
#include "config/config.hpp"
#include "core/core.hpp"
#include "http/http.hpp"

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace cli = gooseberryfall::cli;
namespace config = gooseberryfall::config;
namespace core = gooseberryfall::core;
namespace http = gooseberryfall::http;

/// How the stub instance handles POSTs to `/v1/apply`.
enum class apply_behaviour {
    respond,
    /// The change is recorded, but the connection closes before the response.
    record_and_drop_response,
    /// The connection closes before the response, and nothing is recorded.
    drop_response,
    /// Another author's change is recorded instead; the connection closes before the response.
    overtake_and_drop_response,
    /// Another author's change is recorded, the connection closes before the response, and the
    /// rejection of the change sent is recorded only after the audit trail has been read twice.
    overtake_and_reject_late,
    /// A change of other content that looks the same in the audit trail is recorded instead; the
    /// connection closes before the response.
    imitate_and_drop_response,
    /// The change is recorded as rejected; the connection closes before the response.
    reject_and_drop_response,
    /// Rejected with 503 and `not_run`.
    not_current,
    /// Rejected with 503 and `may_have_run`.
    log_unavailable,
};

/// State of the system, shared by all stub instances of a test.
struct stub_system {
    std::mutex mutex;
    core::fleet fleet;
    std::vector<core::audit_entry> audit;
    /// Offset of the next record.
    core::log_offset next_offset = 1;
    core::job_status job{core::job_id("j1"), core::team_id("namur"), 3, 1, 0, false, false, {}};
    /// Changes by another author, recorded just before the next POST to `/v1/apply`.
    std::vector<core::fleet_entry> concurrent_upserts;
    /// A change that is recorded after `reads_until_recorded` reads of the audit trail.
    std::optional<core::operator_apply> late_change;
    int reads_until_recorded = 0;

    /// Records `late_change` if it is due.
    void on_audit_read()
    {
        if (late_change && --reads_until_recorded < 0) {
            record(*std::exchange(late_change, std::nullopt));
        }
    }

    /// Records a change, or its rejection, as the control stream does.
    core::apply_reply record(const core::operator_apply& request)
    {
        core::audit_entry entry{next_offset++,
                                core::wall_time(),
                                request.author,
                                request.comment,
                                request.base,
                                0,
                                "",
                                {}};
        for (const auto& upsert : request.change.upserts) {
            entry.entries.push_back(core::to_text(core::key_of(upsert)));
        }
        for (const auto& removal : request.change.removals) {
            entry.entries.push_back("-" + core::to_text(removal));
        }
        core::fleet changed = fleet;
        for (const auto& removal : request.change.removals) {
            changed.remove(removal);
        }
        for (const auto& upsert : request.change.upserts) {
            changed.upsert(upsert);
        }
        if (request.base != fleet.version) {
            entry.refused = "based on another version";
        }
        else if (const auto error = changed.find_error()) {
            entry.refused = *error;
        }
        if (entry.refused.empty()) {
            fleet = changed;
            fleet.version = entry.version = next_offset;
        }
        audit.push_back(entry);
        return {0, fleet.version, entry.refused, 2, 2};
    }

    void record_by(const std::string& author, const core::fleet_entry& upsert)
    {
        record({0, author, "", fleet.version, {{upsert}, {}}});
    }
};

/// Operators' API of one instance, backed by a system that it shares with other stub instances.
class stub_instance {
public:
    explicit stub_instance(stub_system& system) : system_(system), loop_("stub")
    {
        http::server_handlers handlers;
        handlers.handle = [this](const http::request& request,
                                 const std::shared_ptr<http::responder>& responder) {
            handle(request, responder);
        };
        server_ = std::make_unique<http::server>(loop_, http::server_settings{}, handlers);
        address_ = "127.0.0.1:" + std::to_string(server_->start().value());
    }

    const std::string& address() const { return address_; }

    int requests(const std::string& call)
    {
        const std::lock_guard lock(system_.mutex);
        return requests_[call];
    }

    // Set these before the program runs.
    apply_behaviour behaviour = apply_behaviour::respond;
    bool current = true;
    bool drop_other_responses = false;
    /// Number of status requests during which the second member has applied nothing.
    int lagging_status_calls = 0;
    std::string token = "operators-token";

private:
    static void send(const std::shared_ptr<http::responder>& to, const boost::json::value& value,
                     unsigned status = 200)
    {
        to->send({status, {}, boost::json::serialize(value)});
    }

    static void drop_response(const std::shared_ptr<http::responder>& to)
    {
        to->start({200, {}});
        to->abort();
    }

    core::status_view status()
    {
        core::status_view view;
        view.self = {core::instance_id("one"), 1};
        view.current = current;
        view.version = system_.fleet.version;
        view.applied_next = system_.next_offset;
        const bool behind = lagging_status_calls > 0 && lagging_status_calls-- > 0;
        view.members.resize(2);
        view.members[0].info.incarnation.instance = core::instance_id("one");
        view.members[0].applied_next = system_.next_offset;
        view.members[1].info.incarnation.instance = core::instance_id("two");
        view.members[1].applied_next = behind ? 0 : system_.next_offset;
        return view;
    }

    void handle(const http::request& request, const std::shared_ptr<http::responder>& to)
    {
        const std::lock_guard lock(system_.mutex);
        ++requests_[request.method + " " + request.target];
        if (request.headers.get("Authorization") != "Bearer " + token) {
            to->send(http::error_response({401, "key_unknown", "wrong token", "not_run", {}}));
            return;
        }
        if (request.target == "/v1/apply") {
            apply(config::apply_from_json(*config::parse_json(request.body)).value(), to);
        }
        else if (request.method == "POST") {
            system_.job.cancelled = true;
            drop_other_responses ? drop_response(to) : send(to, config::to_json(system_.job));
        }
        else if (request.target == "/v1/status") {
            send(to, config::to_json(status()));
        }
        else if (request.target == "/v1/fleet") {
            send(to, config::to_json(system_.fleet));
        }
        else if (request.target == "/v1/audit") {
            system_.on_audit_read();
            send(to, config::to_json(system_.audit));
        }
        else if (request.target == "/v1/jobs/j1") {
            send(to, config::to_json(system_.job));
        }
        else {
            to->send(http::error_response({404, "job_unknown", "no such job", "not_run", {}}));
        }
    }

    void apply(core::operator_apply request, const std::shared_ptr<http::responder>& to)
    {
        for (const auto& upsert : system_.concurrent_upserts) {
            system_.record_by("maria", upsert);
        }
        system_.concurrent_upserts.clear();
        switch (behaviour) {
        case apply_behaviour::respond: {
            const auto reply = system_.record(request);
            send(to, config::to_json(reply), reply.refused.empty() ? 200 : 409);
            return;
        }
        case apply_behaviour::record_and_drop_response:
            system_.record(request);
            break;
        case apply_behaviour::drop_response:
            break;
        case apply_behaviour::overtake_and_drop_response:
            system_.record_by("maria", core::model{core::model_id("proofing"), 9});
            break;
        case apply_behaviour::overtake_and_reject_late:
            system_.record_by("maria", core::model{core::model_id("proofing"), 9});
            system_.late_change = request;
            system_.reads_until_recorded = 2;
            break;
        case apply_behaviour::imitate_and_drop_response:
            std::get<core::team>(request.change.upserts.at(0)).rate = 77;
            system_.record(request);
            break;
        case apply_behaviour::reject_and_drop_response:
            request.change.upserts.emplace_back(
                core::api_key{core::key_id("k"), core::team_id("nobody"), {}});
            system_.record(request);
            system_.audit.back().entries.pop_back();
            break;
        case apply_behaviour::not_current:
            to->send(http::error_response({503, "not_current", "not current", "not_run", {}}));
            return;
        case apply_behaviour::log_unavailable:
            to->send(http::error_response({503, "log_unavailable", "late", "may_have_run", {}}));
            return;
        }
        drop_response(to);
    }

    stub_system& system_;
    std::map<std::string, int> requests_;
    std::string address_;
    http::event_loop loop_;
    std::unique_ptr<http::server> server_;
};

/// Exit status and output of a run of the program.
struct program_result {
    int code = -1;
    std::string out;
    std::string err;

    bool error_contains(const std::string& text) const
    {
        return err.find(text) != std::string::npos;
    }
};

inline program_result run_program(const std::vector<std::string>& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const cli::environment variables{{"GOOSEBERRYFALL_TOKEN", "operators-token"}, {"USER", "jan"}};
    program_result result;
    result.code = cli::run(arguments, variables, out, err);
    result.out = out.str();
    result.err = err.str();
    return result;
}
