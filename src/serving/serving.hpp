#pragma once

#include "serving/desired_state.hpp"
#include "serving/event_splitter.hpp"
#include "serving/fleet_placement.hpp"
#include "serving/job_ledger.hpp"
#include "serving/leadership.hpp"
#include "serving/peer_messages.hpp"
#include "serving/return_planner.hpp"
#include "serving/slot_scheduler.hpp"
#include "serving/spend_window.hpp"
#include "serving/target_directory.hpp"
#include "serving/target_health.hpp"
#include "serving/team_limits.hpp"
