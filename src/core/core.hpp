#pragma once

/// Public header of the decision core.

#include "core/actions.hpp"
#include "core/events.hpp"
#include "core/fleet.hpp"
#include "core/messages.hpp"
#include "core/node.hpp"
#include "core/records.hpp"
#include "core/types.hpp"
#include "core/verdict.hpp"
