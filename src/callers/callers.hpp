#pragma once

/// Public header of the callers' API.

#include "callers/callers_api.hpp"
