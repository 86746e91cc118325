#pragma once

#include "latency_histogram.hpp"

#include <cstdint>
#include <string>

/// Time to the first token of requests sent one after another.
class added_latency {
public:
    /// Sends `count` requests to each of the two addresses in turn. Returns false if one failed.
    bool measure(const std::string& instance, const std::string& engine, const std::string& key,
                 std::uint32_t count);

    const latency_histogram& through() const { return through_; }
    const latency_histogram& direct() const { return direct_; }

private:
    latency_histogram through_;
    latency_histogram direct_;
};
