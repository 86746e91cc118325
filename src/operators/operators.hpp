#pragma once

/// Public header of the operators' API.

#include "operators/operators_api.hpp"
