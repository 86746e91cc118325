#pragma once

#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace gooseberryfall::edge {

/// The evacuated data centres as this instance knows them, from the store and from other instances,
/// with their log lines and gauge. To be used on the event loop's thread only.
class evacuation_service {
public:
    /// `on_change`: the set of evacuated data centres has changed.
    evacuation_service(kernel::logger& logger, kernel::metrics& metrics,
                       std::function<void()> on_change);

    /// As in `serving::evacuated_data_centres`, for what has been read from the store.
    void apply_snapshot(std::uint64_t offset, const std::set<core::data_centre_id>& data_centres);
    void apply_record(std::uint64_t offset, const core::data_centre_id& data_centre,
                      bool evacuated);
    void advance(std::uint64_t offset) { state_.advance(offset); }

    /// Takes over what another instance knows.
    void merge(const serving::evacuation_knowledge& other);

    /// For other instances.
    const serving::evacuation_knowledge& knowledge() const { return state_.knowledge(); }

    /// Whether the targets of the data centre get no new work.
    bool contains(const core::data_centre_id& data_centre) const
    {
        return state_.contains(data_centre);
    }

    /// Learns the data centres of the listed targets, and returns the targets that may get work.
    std::vector<serving::target_entry> filter(const std::vector<serving::target_entry>& listed);

    /// Writes the log lines that are due. `list_complete`: this instance has the list of all
    /// targets, so that it can tell which data centres don't exist.
    void log_events(bool list_complete);

private:
    void on_applied(bool changed);

    kernel::logger& logger_;
    std::function<void()> on_change_;
    serving::evacuated_data_centres state_;
    kernel::gauge& evacuated_gauge_;
};

} // namespace gooseberryfall::edge
