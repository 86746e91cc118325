#pragma once

#include "callers/job_upload.hpp"
#include "core/core.hpp"
#include "http/http.hpp"
#include "targets/exchange_table.hpp"

#include <tl/expected.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gooseberryfall::callers {

/// Settings of `callers_api`.
struct callers_settings {
    http::server_settings server;
    upload_limits uploads;
    /// Bytes of bodies in one page of results.
    std::size_t page_bytes = 4U << 20U;
    /// Results in one page, unless the caller asks for fewer.
    std::uint32_t page_results = 1000;
};

/// State of the instance, for health checks.
struct health_state {
    bool current = false;
    bool leaving = false;
};

/// What the API needs of others. All must be thread-safe.
struct callers_callbacks {
    /// Takes an event to the decisions; false if they are overloaded.
    std::function<bool(core::event)> try_post;
    /// Reads the body of a result; calls back on any thread.
    std::function<void(std::uint32_t partition, const core::body_position&,
                       std::function<void(tl::expected<std::string, std::string>)>)>
        read_body;
    std::function<std::string()> metrics;
    std::function<health_state()> health;
};

/// The callers' HTTP API. Lives on an event loop; the methods that carry out actions are
/// thread-safe.
class callers_api {
public:
    /// Precondition: `loop` and `exchanges` outlive the API.
    callers_api(http::event_loop& loop, targets::exchange_table& exchanges,
                callers_settings settings, callers_callbacks callbacks);
    ~callers_api();
    callers_api(const callers_api&) = delete;
    callers_api& operator=(const callers_api&) = delete;
    callers_api(callers_api&&) = delete;
    callers_api& operator=(callers_api&&) = delete;

    /// Listens and returns the port, or the reason why not.
    tl::expected<std::uint16_t, std::string> start();

    /// Answers say from now on that the connection closes, so that callers go elsewhere.
    void announce_closing();

    /// Stops listening and calls back once no connection is left.
    void drain(std::function<void()> drained);

    // Actions of the decisions.
    void perform(const core::refuse& action);
    void perform(const core::finish_answer& action);
    void perform(const core::upload_continue& action);
    void perform(const core::job_reply& action);
    void perform(const core::results_reply& action);
    void perform(const core::directory_reply& action);

private:
    struct result_page;

    void handle(http::request request, const std::shared_ptr<http::responder>& responder);
    void handle_local(const std::string& path, const std::shared_ptr<http::responder>& responder);
    void handle_online(const std::shared_ptr<targets::exchange>& exchange, const std::string& path);
    void handle_job(const std::shared_ptr<targets::exchange>& exchange,
                    const http::target_parts& parts);
    void handle_upload(const std::shared_ptr<targets::exchange>& exchange,
                       const http::target_parts& parts);
    void handle_directory(const std::shared_ptr<targets::exchange>& exchange,
                          const http::target_parts& parts);
    std::shared_ptr<targets::exchange> open(http::request request,
                                            std::shared_ptr<http::responder> responder);
    void post(const std::shared_ptr<targets::exchange>& exchange, core::event what);
    void refuse(const std::shared_ptr<targets::exchange>& exchange, core::refusal_code code,
                const std::string& text);
    void send_json(core::request_id id, const std::string& body);
    void fill_page(const std::shared_ptr<result_page>& page);
    void send_page(const std::shared_ptr<result_page>& page);

    http::event_loop& loop_;
    targets::exchange_table& exchanges_;
    callers_settings settings_;
    callers_callbacks callbacks_;
    std::atomic<core::request_id> next_request_{1};
    /// Used on the loop's thread only.
    std::map<core::request_id, std::shared_ptr<job_upload>> uploads_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<http::server> server_;
};

} // namespace gooseberryfall::callers
