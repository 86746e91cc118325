#pragma once

/// Public header of the operators' command.

#include "cli/exit_code.hpp"
#include "cli/program.hpp"
