#include "kernel/metrics.hpp"

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/count.hpp>

#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <limits>
#include <string_view>

namespace gooseberryfall::kernel {

namespace {

namespace hist = boost::histogram;

constexpr std::array bucket_bounds_seconds{0.00005, 0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005,
                                           0.01,    0.025,  0.05,    0.1,    0.25,  0.5,    1.0,
                                           2.5,     5.0,    10.0,    30.0,   60.0};

/// Has no underflow bin, because the first bin starts at minus infinity. The overflow bin counts
/// the values above the last bound.
using bucket_axis = hist::axis::variable<double, hist::use_default, hist::axis::option::overflow_t>;
using bucket_count = hist::accumulators::count<std::uint64_t, true>;
using bucket_storage = hist::dense_storage<bucket_count>;
using bucket_histogram = hist::histogram<std::tuple<bucket_axis>, bucket_storage>;

bucket_histogram make_buckets()
{
    std::vector<double> edges{-std::numeric_limits<double>::infinity()};
    edges.insert(edges.end(), bucket_bounds_seconds.begin(), bucket_bounds_seconds.end());
    return hist::make_histogram_with(bucket_storage(), bucket_axis(edges));
}

std::string format_number(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 512> text{}; // Large enough for the largest double.
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    return {text.data(), end.ptr};
}

std::string escape(std::string_view value, bool escape_quotes)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || (escape_quotes && c == '"')) {
            text += '\\';
            text += c;
        }
        else if (c == '\n') {
            text += "\\n";
        }
        else {
            text += c;
        }
    }
    return text;
}

/// Formats labels as `name="value",...`, without the enclosing braces.
std::string format_labels(const metric_labels& labels)
{
    std::string text;
    for (const auto& [name, value] : labels) {
        text += text.empty() ? "" : ",";
        text += name + "=\"" + escape(value, true) + '"';
    }
    return text;
}

void append_line(std::string& text, const std::string& name, const std::string& labels,
                 const std::string& value)
{
    text += name;
    if (!labels.empty()) {
        text += '{' + labels + '}';
    }
    text += ' ' + value + '\n';
}

void append_series(std::string& text, const std::string& name, const std::string& labels,
                   const counter& series)
{
    append_line(text, name, labels, std::to_string(series.value()));
}

void append_series(std::string& text, const std::string& name, const std::string& labels,
                   const gauge& series)
{
    append_line(text, name, labels, format_number(series.value()));
}

void append_series(std::string& text, const std::string& name, const std::string& labels,
                   const latency_histogram& series)
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    std::uint64_t total = 0;
    for (const auto& [bound, count] : series.cumulative_counts()) {
        append_line(text, name + "_bucket", prefix + "le=\"" + format_number(bound) + '"',
                    std::to_string(count));
        total = count;
    }
    const double sum = std::chrono::duration<double>(series.sum()).count();
    append_line(text, name + "_sum", labels, format_number(sum));
    append_line(text, name + "_count", labels, std::to_string(total));
}

/// Returns the series with these labels, and creates it on the first call.
template <class T>
T& find_or_add_series(std::map<std::string, std::unique_ptr<T>>& series_by_labels,
                      const metric_labels& labels)
{
    std::unique_ptr<T>& entry = series_by_labels[format_labels(labels)];
    if (entry == nullptr) {
        entry = std::make_unique<T>();
    }
    return *entry;
}

template <class T>
void append_all(std::string& text, const std::string& name,
                const std::map<std::string, std::unique_ptr<T>>& series_by_labels)
{
    for (const auto& [labels, series] : series_by_labels) {
        append_series(text, name, labels, *series);
    }
}

} // namespace

struct latency_histogram::storage {
    bucket_histogram buckets = make_buckets();
};

latency_histogram::latency_histogram() : storage_(std::make_unique<storage>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::chrono::steady_clock::duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    // Boost.Histogram bins exclude their upper edge, but buckets of the exposition include it; so a
    // value on an edge is moved to the next lower double.
    storage_->buckets(std::nextafter(seconds, -1.0));
    const auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(value);
    sum_ns_.fetch_add(nanoseconds.count(), std::memory_order_relaxed);
}

std::uint64_t latency_histogram::count() const
{
    return cumulative_counts().back().second;
}

std::chrono::nanoseconds latency_histogram::sum() const
{
    return std::chrono::nanoseconds(sum_ns_.load(std::memory_order_relaxed));
}

std::vector<std::pair<double, std::uint64_t>> latency_histogram::cumulative_counts() const
{
    std::vector<std::pair<double, std::uint64_t>> result;
    std::uint64_t total = 0;
    for (std::size_t bin_index = 0; bin_index <= bucket_bounds_seconds.size(); ++bin_index) {
        total += storage_->buckets.at(static_cast<int>(bin_index)).value();
        const bool is_overflow = bin_index == bucket_bounds_seconds.size();
        const double bound = is_overflow ? std::numeric_limits<double>::infinity()
                                         : bucket_bounds_seconds.at(bin_index);
        result.emplace_back(bound, total);
    }
    return result;
}

struct metrics::family {
    std::string help;
    std::string type;
    std::map<std::string, std::unique_ptr<counter>> counters;
    std::map<std::string, std::unique_ptr<gauge>> gauges;
    std::map<std::string, std::unique_ptr<latency_histogram>> histograms;
};

metrics::metrics() = default;

metrics::~metrics() = default;

metrics::family& metrics::find_or_add_family(const std::string& name, const std::string& help,
                                             const char* type)
{
    std::unique_ptr<family>& entry = families_[name];
    if (entry == nullptr) {
        entry = std::make_unique<family>();
        entry->help = help;
        entry->type = type;
    }
    assert(entry->type == type);
    return *entry;
}

counter& metrics::add_counter(const std::string& name, const std::string& help,
                              const metric_labels& labels)
{
    const std::lock_guard lock(mutex_);
    return find_or_add_series(find_or_add_family(name, help, "counter").counters, labels);
}

gauge& metrics::add_gauge(const std::string& name, const std::string& help,
                          const metric_labels& labels)
{
    const std::lock_guard lock(mutex_);
    return find_or_add_series(find_or_add_family(name, help, "gauge").gauges, labels);
}

latency_histogram& metrics::add_histogram(const std::string& name, const std::string& help,
                                          const metric_labels& labels)
{
    const std::lock_guard lock(mutex_);
    return find_or_add_series(find_or_add_family(name, help, "histogram").histograms, labels);
}

std::string metrics::exposition() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [name, metric_family] : families_) {
        text += "# HELP " + name + ' ' + escape(metric_family->help, false) + '\n';
        text += "# TYPE " + name + ' ' + metric_family->type + '\n';
        append_all(text, name, metric_family->counters);
        append_all(text, name, metric_family->gauges);
        append_all(text, name, metric_family->histograms);
    }
    return text;
}

} // namespace gooseberryfall::kernel
