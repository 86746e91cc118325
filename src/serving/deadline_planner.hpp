#pragma once

#include "core/types.hpp"

#include <cstddef>
#include <vector>

namespace gooseberryfall::serving {

/// A task with a due time.
struct deadline_task {
    /// Slot time that it still needs.
    core::duration remaining{0};
    core::time_point due_at;
};

/// Selects the tasks that can meet their due times when the slots do not suffice for all of them.
///
/// Load pattern: a backlog after an outage, with a varying number of slots. Under overload, running
/// in order of due times makes all tasks late, and running the shortest first lets old tasks wait
/// behind new ones. The planner goes through the tasks in order of due times and drops the largest
/// selected one whenever the selection would be late: the Moore-Hodgson algorithm for one machine,
/// with all slots taken as one fast machine. Stateless; thread-safe.
class deadline_planner {
public:
    /// Returns for each task whether it is selected; the other tasks should wait until these are
    /// done. `slots` is the average number of slots that the tasks will have.
    static std::vector<bool> select_feasible(const std::vector<deadline_task>& tasks, double slots,
                                             core::time_point now);
};

} // namespace gooseberryfall::serving
