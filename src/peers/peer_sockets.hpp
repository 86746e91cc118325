#pragma once

#include <kj/async-io.h>

#include <chrono>

namespace gooseberryfall::peers {

// Private to this library.

/// Has a connection's small messages sent at once, and unacknowledged bytes end it.
void set_socket_options(kj::AsyncIoStream& stream, std::chrono::milliseconds silence_timeout);

} // namespace gooseberryfall::peers
