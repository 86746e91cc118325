#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <cstdint>

/// Times in logarithmic bins of about 1%, from 10 us to 100 s. Not thread-safe.
class latency_histogram {
public:
    latency_histogram();

    void add(std::chrono::nanoseconds value);
    void merge(const latency_histogram& other);
    std::uint64_t count() const { return count_; }

    /// Middle of the bin in which the quantile lies, in milliseconds; 0 if there are no values.
    /// Precondition: 0 < part <= 1.
    double quantile_ms(double part) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;
    boost::histogram::histogram<std::tuple<axis>, storage> bins_;
    std::uint64_t count_ = 0;
};
