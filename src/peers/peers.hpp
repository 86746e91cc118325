#pragma once

#include "peers/peer_transport.hpp"
