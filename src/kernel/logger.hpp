#pragma once

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberryfall::kernel {

/// Severity of a log line.
enum class log_level { debug, info, warning, error };

/// Names and values of the fields of a log line, in output order.
using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Formats an event as `time=... level=... event=... key="value"`, where `time` is in UTC. Values
/// are quoted and escaped, so that an event is always exactly one line. Thread-safe.
std::string format_log_line(std::string_view time, log_level level, std::string_view event,
                            const log_fields& fields);

/// Settings of `logger`.
struct logger_settings {
    /// Minimum level; lines below it are dropped.
    log_level level = log_level::info;
    /// Output stream, standard error if null. Must outlive the logger.
    std::ostream* out = nullptr;
    /// Maximum number of lines of the levels debug and info per second; 0 means no limit. Further
    /// lines are dropped and counted, and the count is written as a separate line.
    std::uint32_t lines_per_second = 0;
};

/// Writes one line per event on a separate thread, so that a slow reader of standard error never
/// blocks the caller. Drops lines while 4096 lines are pending. Thread-safe.
class logger {
public:
    explicit logger(const logger_settings& settings = {});
    /// Flushes the pending lines.
    ~logger();
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;
    logger(logger&&) = delete;
    logger& operator=(logger&&) = delete;

    /// Logs an event, for example `lease_held`. Returns without waiting for the output.
    void write(log_level level, std::string_view event, const log_fields& fields = {});

private:
    struct sink;
    class line_rate_limiter;

    void push(log_level level, std::string_view event, const log_fields& fields);

    log_level level_;
    std::unique_ptr<line_rate_limiter> rate_limiter_;
    std::unique_ptr<sink> sink_;
};

} // namespace gooseberryfall::kernel
