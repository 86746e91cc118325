#pragma once

#include "edge/edge_settings.hpp"
#include "http/http.hpp"
#include "kernel/kernel.hpp"

#include <array>
#include <cstddef>
#include <memory>

namespace gooseberryfall::edge {

/// Bounds on what clients can make an instance keep, derived from the limits of its machine.
struct client_bounds {
    /// Unset: unbounded in sum.
    std::optional<std::size_t> request_bytes;
    std::size_t caller_connections = 0;
    std::size_t instance_connections = 0;
    /// Of the readiness check, and of the directory.
    std::size_t other_connections = 0;
};

/// Divides memory and descriptors of a machine. Thread-safe.
client_bounds derive_client_bounds(const machine_limits& machine);

/// Memory of all requests that an instance receives, with its metrics and log lines. To be used on
/// the event loop's thread only.
class client_memory {
public:
    client_memory(const machine_limits& machine, kernel::metrics& metrics, kernel::logger& logger);

    const client_bounds& bounds() const { return bounds_; }
    /// For `http::server_settings`; null if the machine's memory is unknown.
    const std::shared_ptr<http::upload_admission>& admission() const { return admission_; }

    /// Largest body limit up to `wanted` at which one request is always served while no other is
    /// open.
    std::size_t fit_body_limit(std::size_t wanted) const;

    /// Updates the metrics, and logs at most once a second what was paused, refused and closed.
    void tick(core::time_point now);

private:
    client_bounds bounds_;
    kernel::logger& logger_;
    std::shared_ptr<http::upload_admission> admission_;
    std::array<kernel::gauge*, http::memory_kind_count> bytes_{};
    kernel::counter& pauses_;
    kernel::counter& refusals_;
    kernel::counter& evictions_;
    http::upload_counts seen_;
    http::upload_counts logged_;
    core::time_point logged_at_{};
};

} // namespace gooseberryfall::edge
