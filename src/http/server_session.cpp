#include "http/server_session.hpp"

#include "http/wire_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <exception>
#include <stdexcept>
#include <utility>

namespace gooseberryfall::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr std::size_t read_size = 8U << 10U;
constexpr std::size_t piece_size = 16U << 10U;
/// Bytes of later requests, or of a body that nobody reads, that are taken off the socket.
constexpr std::size_t read_ahead_limit = 64U << 10U;
/// Slice of an answer that has `write_timeout` for itself.
constexpr std::size_t write_slice = 256U << 10U;
/// Time for a client to read a refusal before its unread bytes reset the connection.
constexpr std::chrono::seconds linger_time{1};
/// An idle connection of a draining server stays open for this long, for a request that is on its
/// way.
constexpr std::chrono::seconds drain_idle_time{1};

std::string client_text(const tcp::socket& socket)
{
    error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? std::string() : endpoint_text(endpoint);
}

} // namespace

server_session::server_session(std::shared_ptr<server_core> core, std::unique_ptr<transport> stream,
                               bool rejects)
    : core_(std::move(core)), stream_(std::move(stream)), rejects_(rejects),
      client_(client_text(stream_->socket())), data_(executor()), room_(executor()),
      answer_signal_(executor()), read_deadline_(executor(),
                                                 [this] {
                                                     read_expired_ = true;
                                                     data_.notify();
                                                 }),
      write_deadline_(executor(), [this] { stream_->close(); })
{
}

void server_session::run()
{
    asio::co_spawn(
        executor(), [self = shared_from_this()] { return self->serve(); }, asio::detached);
}

void server_session::drain()
{
    if (idle_) {
        read_deadline_.set(drain_idle_time);
    }
}

void server_session::stop()
{
    close_upload();
    if (channel_ != nullptr) {
        channel_->detach();
    }
    stream_->close();
    set_gone();
}

awaitable<void> server_session::serve()
{
    try {
        write_deadline_.set(core_->settings.read_timeout);
        const error_code error = co_await stream_->handshake();
        write_deadline_.clear();
        if (!error) {
            asio::co_spawn(
                executor(), [self = shared_from_this()] { return self->read_ahead(); },
                asio::detached);
            bool more = true;
            while (more) {
                more = co_await serve_request();
            }
        }
    }
    catch (const std::exception&) {
        // For example out of memory: this connection ends, the others go on.
        ++core_->bad_requests;
    }
    if (channel_ != nullptr) {
        finish_answer(false);
    }
    stream_->close();
    set_gone();
    core_->remove(*this);
}

awaitable<void> server_session::read_ahead()
{
    // Read apart from the buffer, because the parser may move the buffer's content meanwhile.
    std::array<char, read_size> bytes{};
    const std::size_t limit = std::max(read_ahead_limit, core_->settings.header_limit);
    while (!gone_) {
        if (buffer_.size() >= limit) {
            co_await room_.wait();
            continue;
        }
        const io_result result = co_await stream_->read_some(asio::buffer(bytes));
        if (result.error) {
            set_gone();
            break;
        }
        if (!lingering_) {
            const auto copied =
                asio::buffer_copy(buffer_.prepare(result.bytes), asio::buffer(bytes, result.bytes));
            buffer_.commit(copied);
        }
        data_.notify();
    }
}

awaitable<bool> server_session::serve_request()
{
    if (rejects_) {
        // Not a temporary: g++ 12 copies those of a co_await expression bit by bit.
        fault too_many{503, "overloaded", "Too many connections."};
        co_await refuse(std::move(too_many));
        co_return false;
    }
    if (!co_await wait_for_request()) {
        co_return false;
    }
    head_parser head;
    read_deadline_.set(core_->settings.read_timeout);
    std::optional<fault> failure = co_await read_head(head);
    if (!failure && !gone_) {
        failure = check_head(head);
    }
    if (failure) {
        co_await refuse(std::move(*failure));
        co_return false;
    }
    if (gone_) {
        co_return false;
    }

    request wanted;
    wanted.method = std::string(head.get().method_string());
    wanted.target = std::string(head.get().target());
    wanted.headers = copy_fields(head.get());
    wanted.client = client_;
    keep_alive_ = head.keep_alive();
    parser_.emplace(std::move(head));
    const bool is_head = wanted.method == "HEAD";
    const bool streams = core_->handlers.streams_body && core_->handlers.streams_body(wanted);
    if (!parser_->is_done() && same_name(wanted.headers.get("Expect"), "100-continue")) {
        std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await write_all(std::move(go_on));
    }
    if (!streams) {
        failure = co_await read_whole_body(wanted.body);
    }
    read_deadline_.clear();
    if (failure) {
        co_await refuse(std::move(*failure));
        co_return false;
    }
    if (gone_ || core_->stopped) {
        co_return false;
    }
    ++core_->requests;
    call_handler(std::move(wanted), streams);
    co_return co_await answer(is_head);
}

awaitable<bool> server_session::wait_for_request()
{
    idle_ = true;
    read_expired_ = false;
    if (core_->draining) {
        read_deadline_.set(drain_idle_time);
    }
    else {
        read_deadline_.set(core_->settings.idle_timeout);
    }
    while (buffer_.size() == 0 && !gone_ && !read_expired_) {
        co_await data_.wait();
    }
    idle_ = false;
    read_expired_ = false;
    co_return buffer_.size() > 0;
}

awaitable<std::optional<server_session::fault>> server_session::read_head(head_parser& parser)
{
    parser.eager(false);
    parser.header_limit(static_cast<std::uint32_t>(core_->settings.header_limit));
    parser.body_limit(boost::none);
    while (true) {
        if (buffer_.size() > 0) {
            error_code error;
            try {
                buffer_.consume(parser.put(buffer_.data(), error));
            }
            catch (const std::length_error&) {
                // Beast keeps no field of more than 64 KiB, whatever the limit of the whole.
                error = beast::http::error::header_limit;
            }
            room_.notify();
            if (parser.is_header_done()) {
                co_return std::nullopt;
            }
            if (error == beast::http::error::header_limit) {
                co_return fault{431, "bad_request", "The request header is too large."};
            }
            if (error && error != beast::http::error::need_more) {
                co_return fault{400, "bad_request", "Malformed request: " + error.message() + '.'};
            }
        }
        if (gone_) {
            co_return std::nullopt;
        }
        if (read_expired_) {
            co_return fault{408, "bad_request", "The request did not arrive in time."};
        }
        co_await data_.wait();
    }
}

std::optional<server_session::fault> server_session::check_head(const head_parser& parser) const
{
    const auto& head = parser.get();
    if (head.version() != 11) {
        return fault{505, "bad_request", "Only HTTP/1.1 is served."};
    }
    if (head.target().empty() || head.target().front() != '/') {
        return fault{400, "bad_request", "The request target must be a path."};
    }
    // Beast takes a request with another encoding for one without a body; the body would then be
    // read as the next request.
    const auto encodings = head.equal_range(beast::http::field::transfer_encoding);
    if (encodings.first != encodings.second &&
        (std::next(encodings.first) != encodings.second ||
         !beast::iequals(encodings.first->value(), "chunked"))) {
        return fault{501, "bad_request", "Only the chunked transfer encoding is served."};
    }
    return std::nullopt;
}

awaitable<std::optional<server_session::fault>> server_session::read_whole_body(std::string& body)
{
    const fault too_large{413, "body_too_large", "The request body is too large."};
    const std::size_t limit = core_->settings.body_limit;
    if (parser_->content_length().value_or(0) > limit) {
        co_return too_large;
    }
    while (!parser_->is_done() && !gone_) {
        piece_result piece = co_await next_piece();
        if (piece.failure) {
            co_return piece.failure;
        }
        if (body.size() + piece.bytes.size() > limit) {
            co_return too_large;
        }
        body += piece.bytes;
    }
    // The end of the client counts only if it cut the body short.
    co_return std::nullopt;
}

awaitable<server_session::piece_result> server_session::next_piece()
{
    piece_result result;
    while (!parser_->is_done()) {
        std::size_t consumed = 0;
        result.failure = parse_piece(result.bytes, consumed);
        if (result.failure || !result.bytes.empty()) {
            break;
        }
        if (consumed > 0 || parser_->is_done()) {
            continue;
        }
        if (gone_) {
            break;
        }
        if (read_expired_) {
            result.failure = fault{408, "bad_request", "The request did not arrive in time."};
            break;
        }
        co_await data_.wait();
    }
    co_return result;
}

std::optional<server_session::fault> server_session::parse_piece(std::string& piece,
                                                                 std::size_t& consumed)
{
    if (buffer_.size() == 0) {
        return std::nullopt;
    }
    std::array<char, piece_size> bytes{};
    auto& body = parser_->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    body.more = true;
    error_code error;
    consumed = parser_->put(buffer_.data(), error);
    buffer_.consume(consumed);
    room_.notify();
    piece.assign(bytes.data(), bytes.size() - body.size);
    if (error && error != beast::http::error::need_more &&
        error != beast::http::error::need_buffer) {
        return fault{400, "bad_request", "Malformed request body: " + error.message() + '.'};
    }
    return std::nullopt;
}

void server_session::read_upload(std::function<void(body_piece)> callback)
{
    asio::co_spawn(
        executor(),
        [self = shared_from_this(), callback = std::move(callback)]() mutable {
            return self->pump_upload(std::move(callback));
        },
        asio::detached);
}

awaitable<void> server_session::pump_upload(std::function<void(body_piece)> callback)
{
    assert(!reading_upload_);
    body_piece piece;
    if (channel_ == nullptr || gone_) {
        piece.failed = true;
    }
    else if (parser_->is_done()) {
        piece.end = true;
    }
    else {
        reading_upload_ = true;
        read_expired_ = false;
        read_deadline_.set(core_->settings.read_timeout);
        piece_result result = co_await next_piece();
        read_deadline_.clear();
        reading_upload_ = false;
        piece.bytes = std::move(result.bytes);
        piece.end = piece.bytes.empty() && !result.failure && parser_->is_done();
        piece.failed = piece.bytes.empty() && !piece.end;
    }
    if (!core_->stopped) {
        callback(std::move(piece));
    }
}

void server_session::call_handler(request wanted, bool streams)
{
    channel_ = std::make_shared<answer_channel>(core_->settings.answer_buffer, make_waker());
    std::shared_ptr<responder> handle = make_responder(channel_);
    if (streams) {
        upload_ = std::make_shared<upload_reader>(core_->context, weak_from_this());
        wanted.reader = upload_;
    }
    try {
        core_->handlers.handle(std::move(wanted), std::move(handle));
    }
    catch (const std::exception&) {
        channel_->abandon();
    }
}

std::function<void()> server_session::make_waker()
{
    return [&context = core_->context, weak = weak_from_this()] {
        asio::post(context, [weak] {
            if (const auto session = weak.lock()) {
                session->answer_signal_.notify();
            }
        });
    };
}

awaitable<bool> server_session::answer(bool is_head)
{
    bool more = true;
    while (more && !gone_) {
        answer_work work = channel_->take();
        if (work.empty()) {
            co_await answer_signal_.wait();
            continue;
        }
        const bool last = work.whole || work.finish;
        const bool aborted = work.abort;
        const bool written = co_await write_work(std::move(work), is_head);
        more = written && !last && !aborted;
        if (written && last) {
            const bool keeps = answer_keeps_alive_;
            finish_answer(true);
            if (!keeps) {
                co_await linger();
            }
            co_return keeps;
        }
    }
    finish_answer(false);
    if (!gone_) {
        co_await linger();
    }
    co_return false;
}

awaitable<bool> server_session::write_work(answer_work work, bool is_head)
{
    std::string text;
    if (work.head || work.whole) {
        answer_keeps_alive_ = keeps_alive();
    }
    if (work.whole) {
        const bool bodyless = is_bodyless(work.whole->status);
        text = response_head_text({work.whole->status, std::move(work.whole->headers)},
                                  {work.whole->body.size(), bodyless}, answer_keeps_alive_);
        if (!is_head && !bodyless) {
            text += work.whole->body;
        }
        co_return co_await write_all(std::move(text));
    }
    if (work.head) {
        text = response_head_text(*work.head, {}, answer_keeps_alive_);
    }
    if (!work.bytes.empty() && !is_head) {
        append_chunk(text, work.bytes);
    }
    if (work.finish && !is_head) {
        append_last_chunk(text);
    }
    const std::size_t pieces = work.bytes.size();
    const bool written = text.empty() || co_await write_all(std::move(text));
    if (written) {
        channel_->written(pieces);
    }
    co_return written;
}

awaitable<void> server_session::refuse(fault reason)
{
    ++core_->bad_requests;
    response answer = error_response({reason.status, reason.code, reason.message, "not_run", {}});
    if (core_->settings.make_request_id && !core_->stopped) {
        answer.headers.set("Request-Id", core_->settings.make_request_id());
    }
    std::string text =
        response_head_text({answer.status, answer.headers}, {answer.body.size()}, false);
    text += answer.body;
    if (co_await write_all(std::move(text))) {
        co_await linger();
    }
}

awaitable<bool> server_session::write_all(std::string bytes)
{
    for (std::size_t begin = 0; begin < bytes.size(); begin += write_slice) {
        const std::size_t size = std::min(write_slice, bytes.size() - begin);
        write_deadline_.set(core_->settings.write_timeout);
        const io_result result = co_await stream_->write(asio::buffer(bytes.data() + begin, size));
        write_deadline_.clear();
        if (result.error) {
            set_gone();
            co_return false;
        }
    }
    co_return true;
}

awaitable<void> server_session::linger()
{
    lingering_ = true;
    buffer_.clear();
    room_.notify();
    write_deadline_.set(linger_time);
    co_await stream_->finish_sending();
    while (!gone_) {
        co_await answer_signal_.wait();
    }
}

bool server_session::keeps_alive() const
{
    return keep_alive_ && !core_->closing && parser_->is_done();
}

void server_session::close_upload()
{
    if (upload_ != nullptr) {
        upload_->close();
        upload_.reset();
    }
}

void server_session::set_gone()
{
    gone_ = true;
    data_.notify();
    room_.notify();
    answer_signal_.notify();
}

void server_session::finish_answer(bool whole)
{
    close_upload();
    const std::shared_ptr<answer_channel> channel = std::exchange(channel_, nullptr);
    if (core_->stopped) {
        channel->detach();
    }
    else {
        channel->end(whole);
    }
}

} // namespace gooseberryfall::http
