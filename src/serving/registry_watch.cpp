#include "serving/registry_watch.hpp"

namespace gooseberryfall::serving {

void read_gap_detector::on_read(core::time_point at)
{
    if (last_ && at <= *last_) {
        return;
    }
    if (last_ && at - *last_ >= outage_min_) {
        ended_ = at;
    }
    last_ = at;
}

bool read_gap_detector::is_recent(core::time_point now, std::chrono::milliseconds grace) const
{
    const bool under_way = last_ && now - *last_ >= outage_min_;
    return under_way || (ended_ && now - *ended_ < grace);
}

bool registry_watch::may_have_lapsed(core::time_point now) const
{
    const auto recent = [&](const read_gap_detector& reads) {
        return reads.is_recent(now, settings_.return_grace);
    };
    // A store that answers others, but not this instance, has made no entry lapse. One that answers
    // this instance about everything but the targets may have.
    return recent(fleet_) || (recent(list_) && !recent(own_));
}

} // namespace gooseberryfall::serving
