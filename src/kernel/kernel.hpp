#pragma once

#include "kernel/bounded_ring.hpp"
#include "kernel/duty_thread.hpp"
#include "kernel/logger.hpp"
#include "kernel/metrics.hpp"
#include "kernel/service_registry.hpp"
