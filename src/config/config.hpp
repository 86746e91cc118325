#pragma once

#include "config/daemon_settings.hpp"
#include "config/description.hpp"
#include "config/digests.hpp"
#include "config/endpoint.hpp"
#include "config/file_text.hpp"
#include "config/file_watch.hpp"
#include "config/fleet_file.hpp"
#include "config/fleet_json.hpp"
#include "config/problem.hpp"
#include "config/settings_file.hpp"
#include "config/units.hpp"
#include "config/view_json.hpp"
