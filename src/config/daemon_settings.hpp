#pragma once

#include "config/endpoint.hpp"

#include "core/node.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::config {

/// A listening socket and the address that others are told.
struct listener_settings {
    /// Port 0 lets the system choose one.
    ip_endpoint listen{"127.0.0.1", 0};
    /// The listening address if unset. Port 0 stands for the listening port.
    std::optional<ip_endpoint> advertise;
};

/// TLS for callers and operators; off if both paths are empty.
struct tls_settings {
    std::string certificate;
    std::string key;
};

/// The platform's log service and instance list.
struct platform_settings {
    std::vector<ip_endpoint> addresses;
    /// Time that a read of the log waits for a new record.
    std::chrono::milliseconds read_wait{500};
    /// Time after which a call without an answer is given up.
    std::chrono::milliseconds call_timeout{2000};
    std::chrono::milliseconds list_interval{1000};
};

/// Limits of HTTP on both sides.
struct http_settings {
    std::size_t header_limit = std::size_t{16} << 10U;
    std::size_t body_limit = std::size_t{4} << 20U;
    /// Bytes of an answer that wait for a slow caller.
    std::size_t stream_buffer = std::size_t{256} << 10U;
    std::uint32_t caller_connections = 4096;
    std::uint32_t target_connections = 256;
    /// Time in which a caller has to send a whole header, or the next part of a body.
    std::chrono::milliseconds caller_read{10000};
    /// Time that a caller may take to accept the next part of an answer.
    std::chrono::milliseconds caller_write{10000};
    /// Time that a caller's connection may rest between requests.
    std::chrono::milliseconds caller_idle{60000};
    /// Time after which a resting target connection is not used for requests that may not be
    /// repeated.
    std::chrono::milliseconds target_idle{5000};
    /// Time that sent bytes may stay unacknowledged before the connection is closed.
    std::chrono::milliseconds user_timeout{10000};
};

/// Limits of submissions.
struct submission_settings {
    std::uint32_t job_items = 250'000;
    /// An item and its result are appended to the log as one record of at most 1 MiB, which also
    /// holds the framing.
    std::size_t item_limit = std::size_t{960} << 10U;
    /// Bodies and results read back from the log that are kept in memory.
    std::size_t body_cache = std::size_t{4} << 20U;
};

/// Lowest level that is logged.
enum class log_level { debug, info, warning, error };

/// Settings of one daemon.
struct daemon_settings {
    std::string region;
    listener_settings callers;
    listener_settings peers;
    /// Peers that are asked for the control state at start while the log cannot be read.
    std::vector<ip_endpoint> peer_seeds;
    ip_endpoint operators{"127.0.0.1", 0};
    /// SHA-256 of the operators' token.
    core::digest operator_token{};
    tls_settings tls;
    platform_settings platform;
    http_settings http;
    submission_settings submissions;
    /// Time between two questions for a target's load.
    std::chrono::milliseconds load_interval{200};
    log_level level = log_level::info;
    /// Complete but for the incarnation number and the addresses; see `make_node_settings`.
    core::node_settings node;
};

/// Wait before a shard that was taken over is acted on: currency bound, grant lifetime and clock
/// margin. Not a setting of its own, because a lower value would break the limits. Thread-safe.
core::duration takeover_wait(const daemon_settings& settings);

/// `ip:port` that others are told for a listener whose socket got `port`. Thread-safe.
std::string advertised_address(const listener_settings& listener, std::uint16_t port);

/// Settings of the node, with its name and incarnation in all parts that need them. Thread-safe.
core::node_settings make_node_settings(const daemon_settings& settings, std::uint64_t incarnation,
                                       std::uint16_t caller_port, std::uint16_t peer_port);

} // namespace gooseberryfall::config
