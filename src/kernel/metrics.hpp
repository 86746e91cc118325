#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryfall::kernel {

/// Label names and values that identify a series of a metric.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Monotonically increasing number. Thread-safe.
class counter {
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// Number that can increase and decrease. Thread-safe.
class gauge {
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0};
};

/// Histogram of durations with fixed bucket bounds from 50 us to 60 s. Thread-safe.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    latency_histogram(latency_histogram&&) = delete;
    latency_histogram& operator=(latency_histogram&&) = delete;

    /// Adds a duration to its bucket and to the sum.
    void record(std::chrono::steady_clock::duration value);

    /// Number of recorded durations.
    std::uint64_t count() const;

    /// Sum of the recorded durations.
    std::chrono::nanoseconds sum() const;

    /// Upper bound of each bucket in seconds, the last of which is infinite, with the number of
    /// recorded durations at or below that bound.
    std::vector<std::pair<double, std::uint64_t>> cumulative_counts() const;

private:
    struct storage;

    std::unique_ptr<storage> storage_;
    std::atomic<std::int64_t> sum_ns_{0};
};

/// Registry of all metrics of a process, with their text exposition. Thread-safe. References to
/// series stay valid for the lifetime of this object.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// Returns the series with this name and these labels, and creates it on the first call; the
    /// first help text of a name is kept. Preconditions: each name is used for one type of metric
    /// only, and metric and label names consist of letters, digits and underscores.
    counter& add_counter(const std::string& name, const std::string& help,
                         const metric_labels& labels = {});
    gauge& add_gauge(const std::string& name, const std::string& help,
                     const metric_labels& labels = {});
    latency_histogram& add_histogram(const std::string& name, const std::string& help,
                                     const metric_labels& labels = {});

    /// All series in the Prometheus text exposition format, version 0.0.4, as served at `/metrics`.
    std::string exposition() const;

    /// Content type of the text that `exposition` returns.
    static constexpr const char* content_type = "text/plain; version=0.0.4";

private:
    struct family;

    family& find_or_add_family(const std::string& name, const std::string& help, const char* type);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<family>> families_;
};

} // namespace gooseberryfall::kernel
