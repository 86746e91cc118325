#include "kernel/counter_family.hpp"

#include <utility>

namespace gooseberryfall::kernel {

counter_family::counter_family(metrics& all_metrics, std::string name, std::string help,
                               std::string label)
    : metrics_(all_metrics), name_(std::move(name)), help_(std::move(help)),
      label_(std::move(label))
{
}

void counter_family::add(const std::string& label_value, std::uint64_t amount)
{
    counter*& series = series_[label_value];
    if (series == nullptr) {
        series = &metrics_.add_counter(name_, help_, {{label_, label_value}});
    }
    series->add(amount);
}

} // namespace gooseberryfall::kernel
