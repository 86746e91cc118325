#include "http/upload_reader.hpp"

#include "http/server_session.hpp"

#include <utility>

namespace gooseberryfall::http {

upload_reader::upload_reader(boost::asio::io_context& context,
                             std::weak_ptr<server_session> session)
    : executor_(context), session_(std::move(session))
{
}

void upload_reader::read(std::function<void(body_piece)> callback)
{
    auto task = [self = shared_from_this(), callback] { self->forward(callback); };
    if (!executor_.post(std::move(task))) {
        callback(body_piece{{}, false, true});
    }
}

void upload_reader::close()
{
    executor_.close();
}

void upload_reader::forward(std::function<void(body_piece)> callback)
{
    const std::shared_ptr<server_session> session = session_.lock();
    if (executor_.is_open() && session != nullptr) {
        session->read_upload(std::move(callback));
        return;
    }
    callback(body_piece{{}, false, true});
}

} // namespace gooseberryfall::http
