#pragma once

#include "edge/admission_client.hpp"
#include "edge/protocol.hpp"
#include "http/http.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <chrono>
#include <memory>

namespace gooseberryfall::edge {

/// Timeouts for calls to targets.
struct target_timeouts {
    /// A target in the same region accepts a connection within a few ms.
    std::chrono::milliseconds connect{300};
    std::chrono::milliseconds write{2000};
    /// A target that sends no first byte within this time is reported as unresponsive.
    std::chrono::milliseconds unresponsive_after{700};
    /// A request that may be repeated is sent to another target after this time without a first
    /// byte.
    std::chrono::milliseconds hedge{500};
    /// A batch item is moved to another target after this time without an event.
    std::chrono::milliseconds stall{1200};
};

/// State and services shared by the parts of an instance. To be used on the event loop's thread
/// only.
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
    /// Responses of targets whose framing ended a body that wasn't whole.
    kernel::counter& truncated_responses;
    /// Desired state in force; null until one is known.
    std::shared_ptr<const serving::route_table> routes;
};

} // namespace gooseberryfall::edge
