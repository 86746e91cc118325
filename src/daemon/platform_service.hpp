#pragma once

#include "core/core.hpp"
#include "daemon/body_cache.hpp"
#include "kernel/kernel.hpp"
#include "platform/platform.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace gooseberryfall::daemon {

class decision_service;

/// The platform's log and instance list as a service: turns records into events and appends into
/// records.
class platform_service : public kernel::service {
public:
    static constexpr const char* name = "platform";

    /// Gets a body, or why it cannot be read.
    using body_callback = std::function<void(tl::expected<std::string, std::string>)>;

    /// Precondition: `log` and `numbers` outlive the service.
    platform_service(platform::http_platform_settings settings, std::size_t cache_bytes,
                     kernel::logger& log, kernel::metrics& numbers);
    ~platform_service() override;
    platform_service(const platform_service&) = delete;
    platform_service& operator=(const platform_service&) = delete;
    platform_service(platform_service&&) = delete;
    platform_service& operator=(platform_service&&) = delete;

    tl::expected<void, std::string> start(kernel::service_registry& registry) override;
    void stop() override;

    /// Appends a group; the decisions are told when it is acknowledged. Thread-safe.
    void append(const core::append_control& order);
    void append(const core::append_batch& order);

    /// Reads a batch stream from its start, until `close`. Thread-safe.
    void open(std::uint32_t partition);
    void close(std::uint32_t partition);

    /// Reads a body of a batch stream; calls back on any thread. Thread-safe.
    void read_body(std::uint32_t partition, const core::body_position& position,
                   body_callback callback);

    /// Reads a body for the decisions. Thread-safe.
    void carry_body(const core::read_body& order);

private:
    void append_bytes(const std::string& stream, std::uint64_t number, std::string bytes);
    void on_control(const platform::stream_read& read);
    void on_batch(std::uint32_t partition, const platform::stream_read& read);
    void on_failure(const platform::platform_failure& failure);
    void on_bad_record(const std::string& stream, core::log_offset offset,
                       const std::string& reason);

    platform::http_platform_settings settings_;
    kernel::logger& log_;
    kernel::counter& bad_records_;
    kernel::counter& appends_;
    kernel::counter& append_bytes_;
    body_cache cache_;
    decision_service* decisions_ = nullptr;
    std::unique_ptr<platform::platform_client> client_;
};

} // namespace gooseberryfall::daemon
