#pragma once

#include "http/closable_executor.hpp"
#include "http/message.hpp"

#include <functional>
#include <memory>

namespace gooseberryfall::http {

class server_session;

/// Lets any thread read the body of one request in pieces until the session has completed its
/// response. Thread-safe.
class upload_reader : public body_reader, public std::enable_shared_from_this<upload_reader> {
public:
    upload_reader(boost::asio::io_context& context, std::weak_ptr<server_session> session);

    void read(std::function<void(body_piece)> callback) override;

    /// Makes later reads fail, because the request has ended. Called by the session on the loop's
    /// thread.
    void close();

private:
    /// Passes a read to the session. Runs on the loop's thread.
    void forward(std::function<void(body_piece)> callback);

    closable_executor executor_;
    std::weak_ptr<server_session> session_;
};

} // namespace gooseberryfall::http
