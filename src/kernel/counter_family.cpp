#include "kernel/counter_family.hpp"

#include <utility>

namespace gooseberryfall::kernel {

counter_family::counter_family(metrics& all, std::string name, std::string help, std::string label)
    : metrics_(all), name_(std::move(name)), help_(std::move(help)), label_(std::move(label))
{
}

void counter_family::count(const std::string& value)
{
    counter*& series = series_[value];
    if (series == nullptr) {
        series = &metrics_.add_counter(name_, help_, {{label_, value}});
    }
    series->add();
}

} // namespace gooseberryfall::kernel
