#include "serving/evacuated_data_centres.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberryfall::serving {

const char* to_text(evacuation_event_kind kind)
{
    switch (kind) {
    case evacuation_event_kind::begun:
        return "evacuation_begun";
    case evacuation_event_kind::ended:
        return "evacuation_ended";
    case evacuation_event_kind::unknown_data_centre:
        return "evacuation_unknown";
    case evacuation_event_kind::rejected:
        return "evacuation_rejected";
    }
    return "unknown";
}

bool evacuated_data_centres::is_valid(const core::data_centre_id& data_centre) const
{
    return !data_centre.empty() && data_centre.value().size() <= settings_.name_bytes_max;
}

bool evacuated_data_centres::insert(const core::data_centre_id& data_centre)
{
    std::set<core::data_centre_id>& records = knowledge_.data_centres;
    if (records.contains(data_centre)) {
        return false;
    }
    if (is_valid(data_centre) && records.size() < settings_.capacity) {
        records.insert(data_centre);
        return true;
    }
    if (rejections_.size() < settings_.capacity) {
        rejections_.push_back(
            {evacuation_event_kind::rejected,
             core::data_centre_id(data_centre.value().substr(0, settings_.name_bytes_max))});
    }
    return false;
}

bool evacuated_data_centres::apply_snapshot(std::uint64_t offset,
                                            const std::set<core::data_centre_id>& data_centres)
{
    if (offset < knowledge_.offset) {
        return false;
    }
    const std::set<core::data_centre_id> before = std::exchange(knowledge_.data_centres, {});
    knowledge_.offset = offset;
    for (const core::data_centre_id& data_centre : data_centres) {
        insert(data_centre);
    }
    return knowledge_.data_centres != before;
}

bool evacuated_data_centres::apply_record(std::uint64_t offset,
                                          const core::data_centre_id& data_centre, bool evacuated)
{
    // At an equal offset the records are applied again: of a page, only the first one raises it.
    if (offset < knowledge_.offset) {
        return false;
    }
    knowledge_.offset = offset;
    return evacuated ? insert(data_centre) : knowledge_.data_centres.erase(data_centre) > 0;
}

void evacuated_data_centres::advance(std::uint64_t offset)
{
    knowledge_.offset = std::max(knowledge_.offset, offset);
}

bool evacuated_data_centres::merge(const evacuation_knowledge& other)
{
    if (other.offset <= knowledge_.offset) {
        return false;
    }
    return apply_snapshot(other.offset, other.data_centres);
}

void evacuated_data_centres::learn_data_centres(const std::vector<target_entry>& listed)
{
    for (const target_entry& entry : listed) {
        known_.insert(entry.data_centre);
    }
}

std::vector<target_entry>
evacuated_data_centres::remove_from(const std::vector<target_entry>& entries) const
{
    std::vector<target_entry> result;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(result),
                 [this](const target_entry& entry) { return !contains(entry.data_centre); });
    return result;
}

std::vector<evacuation_event> evacuated_data_centres::take_events(bool list_complete)
{
    std::vector<evacuation_event> events = std::exchange(rejections_, {});
    const std::set<core::data_centre_id>& records = knowledge_.data_centres;
    std::erase_if(told_unknown_, [&](const auto& each) {
        return !records.contains(each) || known_.contains(each);
    });
    std::erase_if(told_, [&](const core::data_centre_id& each) {
        if (records.contains(each)) {
            return false;
        }
        events.push_back({evacuation_event_kind::ended, each});
        return true;
    });
    for (const core::data_centre_id& each : records) {
        if (known_.contains(each)) {
            if (told_.insert(each).second) {
                events.push_back({evacuation_event_kind::begun, each});
            }
        }
        else if (list_complete && !known_.empty() && told_unknown_.insert(each).second) {
            events.push_back({evacuation_event_kind::unknown_data_centre, each});
        }
    }
    return events;
}

} // namespace gooseberryfall::serving
