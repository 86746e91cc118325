#pragma once

#include "edge/admission_client.hpp"
#include "edge/protocol.hpp"
#include "http/http.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <chrono>
#include <memory>

namespace gooseberryfall::edge {

/// Time limits towards targets.
struct target_timeouts {
    /// A target in the same region answers a connection in a few ms.
    std::chrono::milliseconds connect{300};
    std::chrono::milliseconds write{2000};
    /// A target without a first byte for so long is reported as silent.
    std::chrono::milliseconds silence{700};
    /// A request that may be repeated is taken to another target after so long without a first
    /// byte.
    std::chrono::milliseconds hedge{500};
    /// A batch item's run without an event for so long is taken elsewhere.
    std::chrono::milliseconds stall{1200};
};

/// What the parts of an instance share. For the loop's thread.
struct edge_context {
    http::event_loop& loop;
    kernel::logger& logger;
    kernel::metrics& metrics;
    const protocol& translator;
    http::client& targets;
    admission_client& admission;
    fleet_service& fleet;
    target_timeouts timeouts;
    core::data_centre_id data_centre;
    /// Desired state in force; null until one is known.
    std::shared_ptr<const serving::route_table> routes;
};

} // namespace gooseberryfall::edge
