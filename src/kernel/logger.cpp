#include "kernel/logger.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <mutex>
#include <utility>

namespace gooseberryfall::kernel {

namespace {

namespace log = boost::log;

constexpr std::size_t pending_lines_max = 4096;

using backend = log::sinks::text_ostream_backend;
using frontend = log::sinks::asynchronous_sink<
    backend, log::sinks::bounded_fifo_queue<pending_lines_max, log::sinks::drop_on_overflow>>;

const char* to_text(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

void append_escaped(std::string& line, char c)
{
    if (c == '"' || c == '\\') {
        line += '\\';
        line += c;
    }
    else if (c == '\n') {
        line += "\\n";
    }
    else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7F) {
        std::array<char, 8> text{};
        std::snprintf(text.data(), text.size(), "\\u%04x", static_cast<unsigned>(c));
        line += text.data();
    }
    else {
        line += c;
    }
}

void append_quoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        append_escaped(line, c);
    }
    line += '"';
}

/// Appends a name with `_` in place of all characters but letters, digits, `_`, `.` and `-`, since
/// names are not quoted.
void append_name(std::string& line, std::string_view name)
{
    for (const char c : name) {
        const bool is_name_char = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '_' || c == '.' || c == '-';
        line += is_name_char ? c : '_';
    }
}

std::string format_utc_now()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now - seconds);
    const std::time_t unix_time = std::chrono::system_clock::to_time_t(seconds);
    std::tm utc{};
    gmtime_r(&unix_time, &utc);
    std::array<char, 24> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%s.%06dZ", date.data(),
                  static_cast<int>(micros.count()));
    return text.data();
}

/// Process-wide unique id. Boost.Log passes the records of all loggers to each sink; a sink filters
/// by the id of its own logger.
std::uint64_t next_logger_id()
{
    static std::atomic<std::uint64_t> last_id{0};
    return ++last_id;
}

} // namespace

std::string format_log_line(std::string_view time, log_level level, std::string_view event,
                            const log_fields& fields)
{
    std::string line = "time=";
    line += time;
    line += " level=";
    line += to_text(level);
    line += " event=";
    append_name(line, event);
    for (const auto& [name, value] : fields) {
        line += ' ';
        append_name(line, name);
        line += '=';
        append_quoted(line, value);
    }
    return line;
}

/// Limits the number of lines in each second of the steady clock. Thread-safe.
class logger::line_rate_limiter {
public:
    explicit line_rate_limiter(std::uint32_t limit) : lines_per_second_max_(limit) {}

    /// Whether another line may be written. On the first call in a new second, `suppressed` is set
    /// to the number of lines rejected since it was last reported; otherwise to 0.
    bool try_acquire(std::uint64_t& suppressed)
    {
        suppressed = 0;
        if (lines_per_second_max_ == 0) {
            return true;
        }
        const auto second = std::chrono::floor<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        const std::lock_guard lock(mutex_);
        if (second != current_second_) {
            current_second_ = second;
            written_count_ = 0;
            suppressed = std::exchange(suppressed_count_, 0);
        }
        if (written_count_ < lines_per_second_max_) {
            ++written_count_;
            return true;
        }
        ++suppressed_count_;
        return false;
    }

private:
    const std::uint32_t lines_per_second_max_;
    std::mutex mutex_;
    std::chrono::seconds current_second_{0};
    std::uint32_t written_count_ = 0;
    std::uint64_t suppressed_count_ = 0;
};

struct logger::sink {
    log::sources::logger_mt source;
    boost::shared_ptr<frontend> sink_frontend;
};

logger::logger(const logger_settings& settings)
    : level_(settings.level),
      rate_limiter_(std::make_unique<line_rate_limiter>(settings.lines_per_second)),
      sink_(std::make_unique<sink>())
{
    std::ostream* out = settings.out == nullptr ? &std::cerr : settings.out;
    auto sink_backend = boost::make_shared<backend>();
    sink_backend->add_stream(boost::shared_ptr<std::ostream>(out, boost::null_deleter()));
    sink_backend->auto_flush(true);

    const std::uint64_t logger_id = next_logger_id();
    sink_->source.add_attribute("logger", log::attributes::constant<std::uint64_t>(logger_id));
    sink_->sink_frontend = boost::make_shared<frontend>(sink_backend);
    sink_->sink_frontend->set_filter(log::expressions::attr<std::uint64_t>("logger") == logger_id);
    sink_->sink_frontend->set_formatter(log::expressions::stream << log::expressions::smessage);
    log::core::get()->add_sink(sink_->sink_frontend);
}

logger::~logger()
{
    log::core::get()->remove_sink(sink_->sink_frontend);
    sink_->sink_frontend->stop();
    sink_->sink_frontend->flush();
}

void logger::write(log_level level, std::string_view event, const log_fields& fields)
{
    if (level < level_) {
        return;
    }
    if (level <= log_level::info) {
        std::uint64_t suppressed = 0;
        const bool allowed = rate_limiter_->try_acquire(suppressed);
        if (suppressed > 0) {
            push(log_level::warning, "lines_suppressed", {{"lines", std::to_string(suppressed)}});
        }
        if (!allowed) {
            return;
        }
    }
    push(level, event, fields);
}

void logger::push(log_level level, std::string_view event, const log_fields& fields)
{
    log::record record = sink_->source.open_record();
    if (!record) {
        return;
    }
    log::record_ostream stream(record);
    stream << format_log_line(format_utc_now(), level, event, fields);
    stream.flush();
    sink_->source.push_record(std::move(record));
}

} // namespace gooseberryfall::kernel
