#pragma once

#include "platform/http_platform.hpp"
#include "platform/log_wire.hpp"
#include "platform/platform_client.hpp"
