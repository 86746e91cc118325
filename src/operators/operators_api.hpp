#pragma once

#include "core/core.hpp"
#include "http/http.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace gooseberryfall::operators {

/// Requests of operators have this bit set in their number, so that answers of the decisions find
/// their way.
constexpr core::request_id operator_request_bit = core::request_id{1} << 63U;

/// Settings of `operators_api`.
struct operators_settings {
    http::server_settings server;
    /// SHA-256 of the token that operators present.
    core::digest token{};
};

/// What the API needs of others. Must be thread-safe.
struct operators_callbacks {
    /// Takes an event to the decisions; false if they are overloaded.
    std::function<bool(core::event)> try_post;
};

/// The operators' HTTP API, see docs/protocols.md. Lives on an event loop; the methods that carry
/// out actions are thread-safe.
class operators_api {
public:
    /// Precondition: `loop` outlives the API.
    operators_api(http::event_loop& loop, operators_settings settings,
                  operators_callbacks callbacks);
    ~operators_api();
    operators_api(const operators_api&) = delete;
    operators_api& operator=(const operators_api&) = delete;
    operators_api(operators_api&&) = delete;
    operators_api& operator=(operators_api&&) = delete;

    /// Listens and returns the port, or the reason why not.
    tl::expected<std::uint16_t, std::string> start();

    // Actions of the decisions.
    void perform(const core::refuse& action);
    void perform(const core::apply_reply& action);
    void perform(const core::operator_reply& action);
    void perform(const core::job_reply& action);

private:
    struct pending_call {
        std::shared_ptr<http::responder> responder;
        /// What a query asks for.
        core::operator_view view = core::operator_view::status;
        /// Job to pick out of a list; empty for the whole list.
        core::job_id job;
    };

    void handle(const http::request& request, const std::shared_ptr<http::responder>& responder);
    bool authorized(const http::header_fields& headers) const;
    void handle_get(const std::string& path, const std::shared_ptr<http::responder>& responder);
    void handle_post(const std::string& path, const http::request& request,
                     const std::shared_ptr<http::responder>& responder);
    void handle_apply(const http::request& request,
                      const std::shared_ptr<http::responder>& responder);
    core::request_id open(const std::shared_ptr<http::responder>& responder,
                          core::operator_view view = core::operator_view::status,
                          const core::job_id& job = {});
    void post(core::request_id id, core::event what);
    pending_call take(core::request_id id);

    http::event_loop& loop_;
    operators_settings settings_;
    operators_callbacks callbacks_;
    std::mutex mutex_;
    std::uint64_t next_request_ = 1;
    std::map<core::request_id, pending_call> calls_;
    std::unique_ptr<http::server> server_;
};

} // namespace gooseberryfall::operators
