#pragma once

#include "http/loop_gate.hpp"
#include "http/message.hpp"

#include <functional>
#include <memory>

namespace gooseberryfall::http {

class server_session;

/// Lets any thread read the body of one request in pieces, as long as the session answers it.
class upload_reader : public body_reader, public std::enable_shared_from_this<upload_reader> {
public:
    upload_reader(boost::asio::io_context& context, std::weak_ptr<server_session> session);

    void read(std::function<void(body_piece)> callback) override;

    /// The request is over: later reads fail. Called by the session on the loop's thread.
    void close();

private:
    /// Runs on the loop's thread.
    void forward(std::function<void(body_piece)> callback);

    loop_gate gate_;
    std::weak_ptr<server_session> session_;
};

} // namespace gooseberryfall::http
