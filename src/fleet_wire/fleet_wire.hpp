#pragma once

#include "fleet_wire/datagram_codec.hpp"
#include "fleet_wire/job_codec.hpp"
#include "fleet_wire/job_key_index.hpp"
