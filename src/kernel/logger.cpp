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

constexpr std::size_t waiting_lines_max = 4096;

using backend = log::sinks::text_ostream_backend;
using frontend = log::sinks::asynchronous_sink<
    backend, log::sinks::bounded_fifo_queue<waiting_lines_max, log::sinks::drop_on_overflow>>;

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

/// Names are not quoted, therefore other characters than these are replaced.
void append_name(std::string& line, std::string_view name)
{
    for (const char c : name) {
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                           (c >= '0' && c <= '9') || c == '_' || c == '.' || c == '-';
        line += plain ? c : '_';
    }
}

std::string time_text()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now - seconds);
    const std::time_t whole = std::chrono::system_clock::to_time_t(seconds);
    std::tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, 24> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%s.%06dZ", date.data(),
                  static_cast<int>(micros.count()));
    return text.data();
}

/// Each logger has a number, by which its sink selects its own records out of those of the process.
std::uint64_t next_number()
{
    static std::atomic<std::uint64_t> number{0};
    return ++number;
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

/// Counts the lines of the running second. Thread-safe.
class logger::line_budget {
public:
    explicit line_budget(std::uint32_t limit) : limit_(limit) {}

    /// Whether one more line may be written. `suppressed` is set to the lines that were cut in the
    /// second that has just ended.
    bool take(std::uint64_t& suppressed)
    {
        suppressed = 0;
        if (limit_ == 0) {
            return true;
        }
        const auto second = std::chrono::floor<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        const std::lock_guard lock(mutex_);
        if (second != second_) {
            second_ = second;
            written_ = 0;
            suppressed = std::exchange(suppressed_, 0);
        }
        if (written_ < limit_) {
            ++written_;
            return true;
        }
        ++suppressed_;
        return false;
    }

private:
    const std::uint32_t limit_;
    std::mutex mutex_;
    std::chrono::seconds second_{0};
    std::uint32_t written_ = 0;
    std::uint64_t suppressed_ = 0;
};

struct logger::sink {
    log::sources::logger_mt source;
    boost::shared_ptr<frontend> front;
};

logger::logger(const logger_settings& settings)
    : level_(settings.level), budget_(std::make_unique<line_budget>(settings.lines_per_second)),
      sink_(std::make_unique<sink>())
{
    std::ostream* out = settings.out == nullptr ? &std::cerr : settings.out;
    auto back = boost::make_shared<backend>();
    back->add_stream(boost::shared_ptr<std::ostream>(out, boost::null_deleter()));
    back->auto_flush(true);

    const std::uint64_t number = next_number();
    sink_->source.add_attribute("logger", log::attributes::constant<std::uint64_t>(number));
    sink_->front = boost::make_shared<frontend>(back);
    sink_->front->set_filter(log::expressions::attr<std::uint64_t>("logger") == number);
    sink_->front->set_formatter(log::expressions::stream << log::expressions::smessage);
    log::core::get()->add_sink(sink_->front);
}

logger::~logger()
{
    log::core::get()->remove_sink(sink_->front);
    sink_->front->stop();
    sink_->front->flush();
}

void logger::write(log_level level, std::string_view event, const log_fields& fields)
{
    if (level < level_) {
        return;
    }
    if (level <= log_level::info) {
        std::uint64_t suppressed = 0;
        const bool allowed = budget_->take(suppressed);
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
    stream << format_log_line(time_text(), level, event, fields);
    stream.flush();
    sink_->source.push_record(std::move(record));
}

} // namespace gooseberryfall::kernel
