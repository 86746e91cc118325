#pragma once

/// Public header of the messages between instances.

#include "peers/peer_network.hpp"
