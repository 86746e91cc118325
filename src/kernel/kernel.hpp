#pragma once

#include "kernel/bounded_ring.hpp"
#include "kernel/counter_family.hpp"
#include "kernel/logger.hpp"
#include "kernel/metrics.hpp"
#include "kernel/process_memory.hpp"
#include "kernel/service_registry.hpp"
#include "kernel/worker_thread.hpp"
