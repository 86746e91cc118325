#pragma once

/// Public header of the dispatch to targets.

#include "targets/dispatcher.hpp"
#include "targets/exchange_table.hpp"
#include "targets/load_poller.hpp"
