#pragma once

#include "kernel/metrics.hpp"

#include <map>
#include <string>

namespace gooseberryfall::kernel {

/// Counters of one name whose series differ in one label. Series appear with their first count.
/// Precondition: the label has few values. Not thread-safe; the metrics must outlive it.
class counter_family {
public:
    counter_family(metrics& all, std::string name, std::string help, std::string label);

    /// Counts one for a value of the label.
    void count(const std::string& value);

private:
    metrics& metrics_;
    std::string name_;
    std::string help_;
    std::string label_;
    std::map<std::string, counter*> series_;
};

} // namespace gooseberryfall::kernel
