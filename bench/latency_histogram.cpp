#include "latency_histogram.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace {

constexpr unsigned bin_count = 1620;
constexpr double lowest_ms = 0.01;
constexpr double highest_ms = 100'000;

} // namespace

latency_histogram::latency_histogram() : bins_(std::tuple(axis(bin_count, lowest_ms, highest_ms)))
{
}

void latency_histogram::add(std::chrono::nanoseconds value)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(value).count();
    bins_(std::max(lowest_ms, milliseconds));
    ++count_;
}

void latency_histogram::merge(const latency_histogram& other)
{
    bins_ += other.bins_;
    count_ += other.count_;
}

double latency_histogram::quantile_ms(double part) const
{
    assert(part > 0 && part <= 1);
    if (count_ == 0) {
        return 0;
    }
    const auto rank = static_cast<std::uint64_t>(std::ceil(part * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (int bin = 0; bin < static_cast<int>(bin_count); ++bin) {
        seen += bins_.at(bin);
        if (seen >= rank) {
            return bins_.axis(0).bin(bin).center();
        }
    }
    return highest_ms;
}
