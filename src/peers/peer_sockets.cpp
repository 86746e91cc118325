#include "peers/peer_sockets.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gooseberryfall::peers {

void set_socket_options(kj::AsyncIoStream& stream, std::chrono::milliseconds silence_timeout)
{
    const int on = 1;
    // Longer than the transport's own check, which tells a silent peer from a slow network.
    const auto user_timeout_ms = static_cast<unsigned>(5 * silence_timeout.count());
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    stream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
}

} // namespace gooseberryfall::peers
