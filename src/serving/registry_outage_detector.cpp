#include "serving/registry_outage_detector.hpp"

namespace gooseberryfall::serving {

void read_gap_detector::on_read(core::time_point at)
{
    if (last_read_at_ && at <= *last_read_at_) {
        return;
    }
    if (last_read_at_ && at - *last_read_at_ >= outage_min_) {
        outage_end_ = at;
    }
    last_read_at_ = at;
}

bool read_gap_detector::has_recent_outage(core::time_point now,
                                          std::chrono::milliseconds grace) const
{
    const bool in_progress = last_read_at_ && now - *last_read_at_ >= outage_min_;
    return in_progress || (outage_end_ && now - *outage_end_ < grace);
}

bool registry_outage_detector::may_have_expired(core::time_point now) const
{
    const auto has_outage = [&](const read_gap_detector& reads) {
        return reads.has_recent_outage(now, settings_.recovery_grace);
    };
    // If the store responds to other instances, but not to this one, no entry has expired. Entries
    // may have expired if it responds to this instance's reads of everything except the targets.
    return has_outage(fleet_reads_) ||
           (has_outage(target_list_reads_) && !has_outage(local_reads_));
}

} // namespace gooseberryfall::serving
