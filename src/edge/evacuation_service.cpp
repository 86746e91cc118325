#include "edge/evacuation_service.hpp"

#include <utility>

namespace gooseberryfall::edge {

namespace {

kernel::log_level level_of(serving::evacuation_event_kind kind)
{
    switch (kind) {
    case serving::evacuation_event_kind::begun:
    case serving::evacuation_event_kind::ended:
        return kernel::log_level::info;
    case serving::evacuation_event_kind::unknown_data_centre:
    case serving::evacuation_event_kind::rejected:
        return kernel::log_level::error;
    }
    return kernel::log_level::error;
}

} // namespace

evacuation_service::evacuation_service(kernel::logger& logger, kernel::metrics& metrics,
                                       std::function<void()> on_change)
    : logger_(logger), on_change_(std::move(on_change)),
      evacuated_gauge_(metrics.add_gauge("fleet_evacuated_data_centres",
                                         "Data centres whose targets get no new work"))
{
}

void evacuation_service::apply_snapshot(std::uint64_t offset,
                                        const std::set<core::data_centre_id>& data_centres)
{
    on_applied(state_.apply_snapshot(offset, data_centres));
}

void evacuation_service::apply_record(std::uint64_t offset, const core::data_centre_id& data_centre,
                                      bool evacuated)
{
    on_applied(state_.apply_record(offset, data_centre, evacuated));
}

void evacuation_service::merge(const serving::evacuation_knowledge& other)
{
    on_applied(state_.merge(other));
}

void evacuation_service::on_applied(bool changed)
{
    if (changed) {
        on_change_();
    }
}

std::vector<serving::target_entry>
evacuation_service::filter(const std::vector<serving::target_entry>& listed)
{
    state_.learn_data_centres(listed);
    return state_.remove_from(listed);
}

void evacuation_service::log_events(bool list_complete)
{
    for (const serving::evacuation_event& event : state_.take_events(list_complete)) {
        logger_.write(level_of(event.kind), serving::to_text(event.kind),
                      {{"data_centre", event.data_centre.value()},
                       {"offset", std::to_string(state_.knowledge().offset)}});
    }
    evacuated_gauge_.set(static_cast<double>(state_.effective_count()));
}

} // namespace gooseberryfall::edge
