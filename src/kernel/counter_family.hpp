#pragma once

#include "kernel/metrics.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace gooseberryfall::kernel {

/// Counter metric with one label and one series per label value. A series is created when it is
/// first incremented. Precondition: the label takes few distinct values. Not thread-safe. The
/// `metrics` object must outlive the family.
class counter_family {
public:
    counter_family(metrics& all_metrics, std::string name, std::string help, std::string label);

    /// Adds 1 to the series with this label value.
    void increment(const std::string& label_value) { add(label_value, 1); }

    /// Adds an amount to the series with this label value.
    void add(const std::string& label_value, std::uint64_t amount);

private:
    metrics& metrics_;
    std::string name_;
    std::string help_;
    std::string label_;
    std::map<std::string, counter*> series_;
};

} // namespace gooseberryfall::kernel
