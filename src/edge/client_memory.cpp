#include "edge/client_memory.hpp"

#include <algorithm>
#include <string>

namespace gooseberryfall::edge {

namespace {

/// Parts of the machine's memory for requests and for connections. The rest is for the idle process
/// (12 MiB measured), its jobs and its calls to targets; see docs/CAPACITY.md.
constexpr double request_share = 0.4;
constexpr double caller_connection_share = 1.0 / 6;
constexpr double instance_connection_share = 1.0 / 12;

/// Memory of one connection with its buffers and its coroutines: 32 KiB measured in
/// process_client_crowds_test with 100 refused uploads.
constexpr std::size_t connection_bytes = 32U << 10U;

/// Connections of the readiness check and of the directory, which answer at once.
constexpr std::size_t other_connections_max = 64;

/// Connections of a listener without known limits of the machine.
constexpr std::size_t default_connections_max = 4096;

/// Descriptors that are kept for the process itself and for its calls to targets and to the store.
constexpr std::size_t own_descriptors = 128;

constexpr std::chrono::seconds log_interval{1};

/// Head that counts for a request beside its body: the largest one that is accepted.
constexpr std::size_t head_allowance = 64U << 10U;

std::size_t connections_in(double bytes)
{
    return static_cast<std::size_t>(bytes) / connection_bytes;
}

} // namespace

client_bounds derive_client_bounds(const machine_limits& machine)
{
    client_bounds bounds;
    bounds.caller_connections = default_connections_max;
    bounds.instance_connections = default_connections_max;
    bounds.other_connections = default_connections_max;
    if (machine.memory_bytes) {
        const auto memory = static_cast<double>(*machine.memory_bytes);
        bounds.request_bytes = static_cast<std::size_t>(memory * request_share);
        bounds.caller_connections = connections_in(memory * caller_connection_share);
        bounds.instance_connections = connections_in(memory * instance_connection_share);
        bounds.other_connections = other_connections_max;
    }
    if (machine.descriptors) {
        const std::size_t available = *machine.descriptors - own_descriptors;
        bounds.caller_connections = std::min(bounds.caller_connections, available / 2);
        bounds.instance_connections = std::min(bounds.instance_connections, available / 4);
        bounds.other_connections = std::min(bounds.other_connections, available / 8);
    }
    return bounds;
}

client_memory::client_memory(const machine_limits& machine, kernel::metrics& metrics,
                             kernel::logger& logger)
    : bounds_(derive_client_bounds(machine)), logger_(logger),
      pauses_(metrics.add_counter("client_memory_pauses",
                                  "Requests whose reading was paused for lack of memory")),
      refusals_(metrics.add_counter("client_memory_refusals",
                                    "Requests refused for lack of memory, including closed ones")),
      evictions_(
          metrics.add_counter("client_memory_closes", "Uploads closed in favour of other requests"))
{
    for (std::size_t kind = 0; kind < bytes_.size(); ++kind) {
        bytes_.at(kind) =
            &metrics.add_gauge("client_memory_bytes", "Bytes reserved for clients by kind",
                               {{"kind", http::to_text(static_cast<http::memory_kind>(kind))}});
    }
    if (bounds_.request_bytes) {
        http::upload_settings settings;
        settings.capacity_bytes = *bounds_.request_bytes;
        admission_ = std::make_shared<http::upload_admission>(settings);
    }
}

std::size_t client_memory::fit_body_limit(std::size_t wanted) const
{
    if (admission_ == nullptr) {
        return wanted;
    }
    return std::min(wanted, admission_->request_bytes_max() - head_allowance);
}

void client_memory::tick(core::time_point now)
{
    if (admission_ == nullptr) {
        return;
    }
    for (std::size_t kind = 0; kind < bytes_.size(); ++kind) {
        bytes_.at(kind)->set(
            static_cast<double>(admission_->account()->used(static_cast<http::memory_kind>(kind))));
    }
    const http::upload_counts& counts = admission_->counts();
    pauses_.add(counts.pauses - seen_.pauses);
    refusals_.add(counts.refusals - seen_.refusals);
    evictions_.add(counts.evictions - seen_.evictions);
    seen_ = counts;
    const bool changed = counts.pauses != logged_.pauses || counts.refusals != logged_.refusals ||
                         counts.evictions != logged_.evictions;
    if (changed && now - logged_at_ >= log_interval) {
        logger_.write(kernel::log_level::warning, "client_memory_short",
                      {{"used", std::to_string(admission_->account()->used())},
                       {"capacity", std::to_string(admission_->account()->capacity())},
                       {"paused", std::to_string(counts.pauses - logged_.pauses)},
                       {"refused", std::to_string(counts.refusals - logged_.refusals)},
                       {"closed", std::to_string(counts.evictions - logged_.evictions)}});
        logged_ = counts;
        logged_at_ = now;
    }
}

} // namespace gooseberryfall::edge
