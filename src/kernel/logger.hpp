#pragma once

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberryfall::kernel {

/// Weight of a log line.
enum class log_level { debug, info, warning, error };

/// Names and values of a log line, in order.
using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Formats one event as `time=... level=... event=... key="value"`. The time is UTC, values are
/// quoted and escaped, so that one event is always one line. Thread-safe.
std::string format_log_line(std::string_view time, log_level level, std::string_view event,
                            const log_fields& fields);

/// Settings of `logger`.
struct logger_settings {
    /// Lines below it are dropped.
    log_level level = log_level::info;
    /// Stream that lines go to; standard error if null. Must outlive the logger.
    std::ostream* out = nullptr;
    /// Lines of the levels debug and info in one second; those beyond are counted, and the count is
    /// written in a line of its own. 0 means no limit.
    std::uint32_t lines_per_second = 0;
};

/// Writes one line per event on a thread of its own, so that a slow reader of standard error never
/// delays the writer; lines beyond 4096 waiting ones are dropped. Thread-safe.
class logger {
public:
    explicit logger(const logger_settings& settings = {});
    /// Writes the waiting lines.
    ~logger();
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;
    logger(logger&&) = delete;
    logger& operator=(logger&&) = delete;

    /// Writes an event, for example `lease_held`.
    void write(log_level level, std::string_view event, const log_fields& fields = {});

private:
    struct sink;
    class line_budget;

    void push(log_level level, std::string_view event, const log_fields& fields);

    log_level level_;
    std::unique_ptr<line_budget> budget_;
    std::unique_ptr<sink> sink_;
};

} // namespace gooseberryfall::kernel
