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

/// A listening socket and the address that is published for it.
struct listener_settings {
    /// Port 0 lets the operating system choose a free port.
    ip_endpoint listen{"127.0.0.1", 0};
    /// Published address; `listen` if unset. Port 0 stands for the port of the socket.
    std::optional<ip_endpoint> advertise;
};

/// TLS for callers and operators: paths of PEM files. TLS is off if both paths are empty.
struct tls_settings {
    std::string certificate;
    std::string key;
};

/// Access to the platform's log service and instance list.
struct platform_settings {
    std::vector<ip_endpoint> addresses;
    /// Longest time that a read of the log waits for a new record (long poll).
    std::chrono::milliseconds read_wait{500};
    /// Timeout of a call, from its sending to its response.
    std::chrono::milliseconds call_timeout{2000};
    /// Interval between reads of the instance list.
    std::chrono::milliseconds list_interval{1000};
};

/// HTTP limits of the server for callers and of the client for targets. Sizes are in bytes.
struct http_settings {
    std::size_t header_limit = std::size_t{16} << 10U;
    std::size_t body_limit = std::size_t{4} << 20U;
    /// Bytes of a response that are buffered for a slow caller.
    std::size_t stream_buffer = std::size_t{256} << 10U;
    std::uint32_t caller_connections = 4096;
    std::uint32_t target_connections = 256;
    /// Time within which a caller must send a complete header, or the next part of a body.
    std::chrono::milliseconds caller_read_timeout{10000};
    /// Time within which a caller must accept the next part of a response.
    std::chrono::milliseconds caller_write_timeout{10000};
    /// Time after which a caller's idle connection is closed.
    std::chrono::milliseconds caller_idle_timeout{60000};
    /// Idle time after which a target connection is no longer used for requests that must not be
    /// repeated.
    std::chrono::milliseconds target_idle_timeout{5000};
    /// Time that sent bytes may stay unacknowledged before the connection is closed
    /// (TCP_USER_TIMEOUT).
    std::chrono::milliseconds tcp_user_timeout{10000};
};

/// Limits of batch submissions. Sizes are in bytes.
struct submission_settings {
    /// Largest number of items of one job.
    std::uint32_t job_items = 250'000;
    /// Size limit of an item or a result. Each is appended to the log as one record of at most
    /// 1 MiB, which also holds the framing.
    std::size_t item_limit = std::size_t{960} << 10U;
    /// Size of the cache of bodies and results that were read back from the log.
    std::size_t body_cache = std::size_t{4} << 20U;
};

/// Severity threshold: lines below it are not logged.
enum class log_level { debug, info, warning, error };

/// Settings of one instance of the daemon.
struct daemon_settings {
    std::string region;
    listener_settings callers;
    listener_settings peers;
    /// Peers from which the control state is requested at start while the log cannot be read.
    std::vector<ip_endpoint> peer_seeds;
    ip_endpoint operators{"127.0.0.1", 0};
    /// SHA-256 of the operators' bearer token.
    core::digest operator_token{};
    tls_settings tls;
    platform_settings platform;
    http_settings http;
    submission_settings submissions;
    /// Interval between requests for a target's load.
    std::chrono::milliseconds load_interval{200};
    log_level level = log_level::info;
    /// Complete except for the incarnation number and the addresses; see `make_node_settings`.
    core::node_settings node;
};

/// Time to wait after taking over a shard before acting on it: the sum of the currency bound, the
/// grant lifetime and the clock margin. Not a setting of its own, because a lower value would let
/// teams exceed their limits. Thread-safe.
core::duration takeover_wait(const daemon_settings& settings);

/// Published address, as `ip:port`, of a listener whose socket is bound to `port`. Thread-safe.
std::string advertised_address(const listener_settings& listener, std::uint16_t port);

/// Settings of the node, with its name and incarnation copied to all components that need them.
/// Thread-safe.
core::node_settings make_node_settings(const daemon_settings& settings, std::uint64_t incarnation,
                                       std::uint16_t caller_port, std::uint16_t peer_port);

} // namespace gooseberryfall::config
