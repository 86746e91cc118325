#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace gooseberryfall::core {

/// Monotonic time of one process. Values of different processes are never compared.
using time_point = std::chrono::steady_clock::time_point;

/// Length of time on the monotonic clock.
using duration = std::chrono::steady_clock::duration;

/// Wall-clock time, used for audit entries and retention only.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// SHA-256 digest.
using digest = std::array<std::uint8_t, 32>;

/// Position of an append in a log stream. Offsets of one stream are dense and start at 0.
using log_offset = std::uint64_t;

/// Version of a configuration: offset of the record that made it plus one; 0 is the empty fleet.
using config_version = std::uint64_t;

/// Fencing number of a lease. 0 means that nobody has held the lease.
using lease_epoch = std::uint64_t;

/// A name that cannot be mixed up with names of another kind.
template <class Tag>
class basic_id {
public:
    basic_id() = default;
    explicit basic_id(std::string value) : value_(std::move(value)) {}

    /// The name as text.
    const std::string& value() const { return value_; }

    /// Whether no name is set.
    bool empty() const { return value_.empty(); }

    bool operator==(const basic_id&) const = default;

    // Not defaulted: clang-tidy 14 takes the 0 in a defaulted three-way comparison for a null
    // pointer.
    std::strong_ordering operator<=>(const basic_id& other) const
    {
        return value_ <=> other.value_;
    }

private:
    std::string value_;
};

using instance_id = basic_id<struct instance_tag>;
using data_centre_id = basic_id<struct data_centre_tag>;
using team_id = basic_id<struct team_tag>;
using key_id = basic_id<struct key_tag>;
using model_id = basic_id<struct model_tag>;
using service_id = basic_id<struct service_tag>;
using target_id = basic_id<struct target_tag>;

/// Hash of team and idempotency key, as 32 hexadecimal digits.
using job_id = basic_id<struct job_tag>;

/// Number of a caller's request, unique within one run of one instance.
using request_id = std::uint64_t;

/// Number of one sending of a request or an item to a target, unique within one run of an instance.
using dispatch_id = std::uint64_t;

/// One run of an instance. A restarted instance has a higher number (wall-clock milliseconds at
/// its start).
struct incarnation_id {
    instance_id instance;
    std::uint64_t number = 0;

    auto operator<=>(const incarnation_id&) const = default;
};

/// Stable 64-bit hash of text (FNV-1a with a final mix), the same on every instance and build.
/// Thread-safe.
std::uint64_t stable_hash(const std::string& text, std::uint64_t seed = 0);

} // namespace gooseberryfall::core

template <class Tag>
struct std::hash<gooseberryfall::core::basic_id<Tag>> {
    std::size_t operator()(const gooseberryfall::core::basic_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};
