#pragma once

#include "core/events.hpp"
#include "core/types.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <string>
#include <vector>

namespace gooseberryfall::platform {

/// A record of a stream.
struct log_record {
    core::log_offset offset = 0;
    core::wall_time appended_at;
    std::string bytes;
};

/// What one read of a followed stream gave.
struct stream_read {
    /// When the question was sent.
    core::time_point asked_at;
    /// Offset that was asked for, or the earliest one if records before it have expired.
    core::log_offset from = 0;
    /// Next offset that the log will give. Records up to it may follow in the next read.
    core::log_offset head = 0;
    /// Earliest offset that the log still has.
    core::log_offset earliest = 0;
    /// Records from `from` on, without gaps; empty if there are none.
    std::vector<log_record> records;
};

/// Why a single record could not be read.
enum class record_error {
    /// It is older than the log's retention.
    expired,
    /// It has not been appended.
    absent,
    /// The log did not answer in several tries.
    unavailable,
};

/// What the platform is asked to do.
enum class platform_operation { append, follow, read_record, list };

/// Text form, for example `read_record`. Thread-safe.
const char* to_text(platform_operation operation);

/// A try that failed. The client tries again by itself, except for `read_record`, which gives up
/// after several tries.
struct platform_failure {
    platform_operation operation = platform_operation::append;
    /// Empty for the list.
    std::string stream;
    /// For people.
    std::string reason;
    /// Failed tries in a row, this one included.
    unsigned tries = 0;
};

/// Callbacks that are not tied to one call, on the client's thread. All may be unset.
struct platform_observer {
    std::function<void(core::instance_list)> on_instances;
    std::function<void(const platform_failure&)> on_failure;
};

/// The platform's log service and instance list. All methods are thread-safe and return at once;
/// callbacks are called on the client's thread and not after its destruction.
class platform_client {
public:
    virtual ~platform_client() = default;

    /// Appends a record and tries until it is acknowledged. Records of one stream are appended in
    /// the order of the calls, one at a time. A record may be appended more than once.
    virtual void append(const std::string& stream, std::string bytes,
                        std::function<void(core::log_offset)> acknowledged) = 0;

    /// Reads a stream from an offset on, again and again, until `stop_following`; an idle stream
    /// confirms its head at least once a second. Replaces an earlier call for the stream.
    virtual void follow(const std::string& stream, core::log_offset from,
                        std::function<void(stream_read)> callback) = 0;

    /// Ends the reading of a stream. If called on the client's thread, no callback follows.
    virtual void stop_following(const std::string& stream) = 0;

    /// Reads one record.
    virtual void
    read_record(const std::string& stream, core::log_offset offset,
                std::function<void(tl::expected<log_record, record_error>)> callback) = 0;
};

} // namespace gooseberryfall::platform
