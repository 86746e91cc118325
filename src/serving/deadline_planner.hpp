#pragma once

#include "core/types.hpp"

#include <cstddef>
#include <vector>

namespace gooseberryfall::serving {

/// Work with a due time.
struct deadline_task {
    /// Time that it needs on a slot.
    core::duration remaining{0};
    core::time_point due_at;
};

/// Chooses the work that can be done in time when there is more than that.
///
/// Load pattern: a backlog after an outage, while slots for it come and go. In order of due times
/// all of it would be late once it is too much; in order of size, old work waits behind new. The
/// planner goes through the work by due times and whenever what was chosen so far would be late
/// leaves out the largest of it (Moore and Hodgson's rule for one machine, here for slots that are
/// taken as one fast machine). Stateless; thread-safe.
class deadline_planner {
public:
    /// `slots`: slots that the work will have on average. Returns for each entry whether it can be
    /// done in time; the others had better wait until the rest is done.
    static std::vector<bool> select_feasible(const std::vector<deadline_task>& work, double slots,
                                             core::time_point now);
};

} // namespace gooseberryfall::serving
