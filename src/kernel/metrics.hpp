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

/// Names and values that tell the series of one metric apart.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// A number that only grows. Thread-safe.
class counter {
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A number that goes up and down. Thread-safe.
class gauge {
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0};
};

/// Counts of durations in fixed buckets from 50 us to 60 s. Thread-safe.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    latency_histogram(latency_histogram&&) = delete;
    latency_histogram& operator=(latency_histogram&&) = delete;

    /// Counts one duration.
    void record(std::chrono::steady_clock::duration value);

    /// Durations counted.
    std::uint64_t count() const;

    /// Sum of the durations.
    std::chrono::nanoseconds sum() const;

    /// Upper bound of each bucket in seconds, and the number of durations at or below it.
    std::vector<std::pair<double, std::uint64_t>> cumulative() const;

private:
    struct storage;

    std::unique_ptr<storage> storage_;
    std::atomic<std::int64_t> sum_ns_{0};
};

/// All metrics of a process and their text form. Thread-safe; the references returned stay valid as
/// long as the object exists.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// The series with this name and these labels, created at the first call. Preconditions: a name
    /// has one kind, and name and label names consist of letters, digits and underscores.
    counter& add_counter(const std::string& name, const std::string& help,
                         const metric_labels& labels = {});
    gauge& add_gauge(const std::string& name, const std::string& help,
                     const metric_labels& labels = {});
    latency_histogram& add_histogram(const std::string& name, const std::string& help,
                                     const metric_labels& labels = {});

    /// Text exposition format, version 0.0.4, as served at `/metrics`.
    std::string exposition() const;

    /// Content type that goes with `exposition`.
    static constexpr const char* content_type = "text/plain; version=0.0.4";

private:
    struct family;

    family& family_of(const std::string& name, const std::string& help, const char* type);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<family>> families_;
};

} // namespace gooseberryfall::kernel
