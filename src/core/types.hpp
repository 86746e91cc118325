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

/// Monotonic time of one process. Time points of different processes must not be compared.
using time_point = std::chrono::steady_clock::time_point;

/// Interval on the monotonic clock.
using duration = std::chrono::steady_clock::duration;

/// Wall-clock time, used for audit entries and retention only.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// SHA-256 digest.
using digest = std::array<std::uint8_t, 32>;

/// Position of an appended entry in a log stream. The offsets of a stream start at 0 and have no
/// gaps.
using log_offset = std::uint64_t;

/// Version of a configuration: the offset of the record that created it plus one. Version 0 is the
/// empty fleet.
using config_version = std::uint64_t;

/// Fencing token of a lease. 0 means that the lease has never been held.
using lease_epoch = std::uint64_t;

/// Strongly typed string identifier: identifiers with different tags do not convert to each other.
template <class Tag>
class basic_id {
public:
    basic_id() = default;
    explicit basic_id(std::string value) : value_(std::move(value)) {}

    /// The identifier as text.
    const std::string& value() const { return value_; }

    /// Whether the identifier is unset.
    bool empty() const { return value_.empty(); }

    bool operator==(const basic_id&) const = default;

    // Not defaulted, since clang-tidy 14 mistakes the 0 in a defaulted three-way comparison for a
    // null pointer.
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

/// Hash of the team and the idempotency key, as 32 hexadecimal digits.
using job_id = basic_id<struct job_tag>;

/// Number of a caller's request, unique within one incarnation of an instance.
using request_id = std::uint64_t;

/// Number of one attempt to send a request or an item to a target, unique within one incarnation of
/// an instance.
using dispatch_id = std::uint64_t;

/// One process lifetime of an instance. Each restart has a higher number (wall-clock milliseconds
/// at its start).
struct incarnation_id {
    instance_id instance;
    std::uint64_t number = 0;

    auto operator<=>(const incarnation_id&) const = default;
};

/// 64-bit hash of text (FNV-1a with a finalizer) that is the same on every instance and build.
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
