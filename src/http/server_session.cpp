#include "http/server_session.hpp"

#include "http/message_encoding.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
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
/// Maximum number of bytes of later requests, or of a body that is not being read, that are read
/// from the socket in advance.
constexpr std::size_t read_ahead_limit = 64U << 10U;
/// The same with an account of memory. Larger heads are reserved there.
constexpr std::size_t accounted_read_ahead_limit = 8U << 10U;
/// Interval at which a paused request asks again for memory.
constexpr std::chrono::milliseconds pause_step{20};
/// `write_timeout` applies to each slice of this size of a response.
constexpr std::size_t write_slice_size = 256U << 10U;
/// Time for a client to read a final response: if the socket were closed while bytes from the
/// client are unread, the connection would be reset and the response lost.
constexpr std::chrono::seconds linger_timeout{1};
/// While the server drains, an idle connection stays open for this time, because a request may be
/// in transit.
constexpr std::chrono::seconds drain_idle_timeout{1};

std::string remove_port(const std::string& endpoint)
{
    return endpoint.substr(0, endpoint.rfind(':'));
}

std::string format_remote_endpoint(const tcp::socket& socket)
{
    error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? std::string() : format_endpoint(endpoint);
}

} // namespace

server_session::server_session(std::shared_ptr<server_core> core, std::unique_ptr<transport> stream,
                               bool rejects)
    : core_(std::move(core)), stream_(std::move(stream)), rejects_(rejects),
      client_address_(format_remote_endpoint(stream_->socket())), data_signal_(executor()),
      buffer_space_signal_(executor()), response_signal_(executor()),
      read_deadline_(executor(),
                     [this] {
                         read_expired_ = true;
                         data_signal_.notify();
                     }),
      write_deadline_(executor(), [this] { stream_->close(); }),
      progress_deadline_(executor(), [this] { check_progress(); })
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
        read_deadline_.set(drain_idle_timeout);
    }
}

void server_session::stop()
{
    close_upload();
    if (channel_ != nullptr) {
        channel_->detach();
    }
    stream_->close();
    set_disconnected();
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
        // For example out of memory. Only this connection is closed; the others are not affected.
        ++core_->bad_requests;
    }
    if (channel_ != nullptr) {
        finish_response(false);
    }
    stream_->close();
    set_disconnected();
    core_->remove(*this);
}

awaitable<void> server_session::read_ahead()
{
    // Reads into a separate array, because the parser may move the content of `buffer_` during the
    // read.
    std::array<char, read_size> bytes{};
    const std::size_t limit = std::max(read_ahead_limit, core_->settings.header_limit);
    while (!disconnected_) {
        if (buffer_.size() >= limit || !grow_read_ahead(buffer_.size() + read_size)) {
            co_await buffer_space_signal_.wait();
            continue;
        }
        const io_result result = co_await stream_->read_some(asio::buffer(bytes));
        if (result.error) {
            set_disconnected();
            break;
        }
        if (!lingering_) {
            const auto copied =
                asio::buffer_copy(buffer_.prepare(result.bytes), asio::buffer(bytes, result.bytes));
            buffer_.commit(copied);
        }
        data_signal_.notify();
    }
}

awaitable<bool> server_session::serve_request()
{
    if (rejects_) {
        // A variable, because g++ 12 copies the temporaries of a co_await expression bitwise.
        request_error too_many{503, "overloaded", "Too many connections."};
        co_await reject(std::move(too_many));
        co_return false;
    }
    if (!co_await wait_for_request()) {
        co_return false;
    }
    head_parser head;
    read_expires_at_ = std::chrono::steady_clock::now() + core_->settings.read_timeout;
    read_deadline_.set(core_->settings.read_timeout);
    received_bytes_ = 0;
    std::optional<request_error> failure = co_await read_head(head);
    reading_head_ = false;
    head_memory_.release();
    if (!failure && !disconnected_) {
        failure = check_head(head);
    }
    if (failure) {
        co_await reject(std::move(*failure));
        co_return false;
    }
    if (disconnected_) {
        co_return false;
    }

    request incoming;
    incoming.method = std::string(head.get().method_string());
    incoming.target = std::string(head.get().target());
    incoming.headers = to_header_fields(head.get());
    incoming.client = client_address_;
    request_keeps_alive_ = head.keep_alive();
    parser_.emplace(std::move(head));
    const bool is_head = incoming.method == "HEAD";
    const bool streamed = core_->handlers.streams_body && core_->handlers.streams_body(incoming);
    failure = admit(incoming);
    if (!failure && memory_ != nullptr) {
        const bool reserved = co_await reserve(received_bytes_);
        if (!reserved) {
            failure = overloaded();
        }
    }
    if (!failure && !parser_->is_done() &&
        equals_ignoring_case(incoming.headers.get("Expect"), "100-continue")) {
        std::string continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await write_all(std::move(continue_response));
    }
    if (!failure && !streamed) {
        failure = co_await read_complete_body(incoming.body);
    }
    read_deadline_.clear();
    progress_deadline_.clear();
    if (failure) {
        // Not kept while the client reads the refusal.
        std::string().swap(incoming.body);
        memory_.reset();
        co_await reject(std::move(*failure));
        co_return false;
    }
    if (disconnected_ || core_->stopped) {
        co_return false;
    }
    if (memory_ != nullptr) {
        memory_->complete();
    }
    ++core_->requests;
    start_handler(std::move(incoming), streamed);
    co_return co_await write_response(is_head);
}

awaitable<bool> server_session::wait_for_request()
{
    idle_ = true;
    if (buffer_.size() == 0) {
        // A large head may have left a large buffer, which isn't accounted for any more.
        buffer_.shrink_to_fit();
    }
    reading_head_ = true;
    buffer_space_signal_.notify();
    read_expired_ = false;
    if (core_->draining) {
        read_deadline_.set(drain_idle_timeout);
    }
    else {
        read_deadline_.set(core_->settings.idle_timeout);
    }
    while (buffer_.size() == 0 && !disconnected_ && !read_expired_) {
        co_await data_signal_.wait();
    }
    idle_ = false;
    read_expired_ = false;
    co_return buffer_.size() > 0;
}

awaitable<std::optional<server_session::request_error>>
server_session::read_head(head_parser& parser)
{
    parser.eager(false);
    parser.header_limit(static_cast<std::uint32_t>(core_->settings.header_limit));
    parser.body_limit(boost::none);
    while (true) {
        if (buffer_.size() > 0) {
            error_code error;
            try {
                const std::size_t consumed = parser.put(buffer_.data(), error);
                buffer_.consume(consumed);
                received_bytes_ += consumed;
            }
            catch (const std::length_error&) {
                // Beast throws for a field of more than 64 KiB, whatever the limit of the header
                // is.
                error = beast::http::error::header_limit;
            }
            buffer_space_signal_.notify();
            if (parser.is_header_done()) {
                co_return std::nullopt;
            }
            if (error == beast::http::error::header_limit) {
                co_return request_error{431, "bad_request", "The request header is too large."};
            }
            if (error && error != beast::http::error::need_more) {
                co_return request_error{400, "bad_request",
                                        "Malformed request: " + error.message() + '.'};
            }
        }
        if (disconnected_) {
            co_return std::nullopt;
        }
        if (head_refused_) {
            co_return overloaded();
        }
        if (read_expired_) {
            co_return request_error{408, "bad_request", "The request did not arrive in time."};
        }
        co_await data_signal_.wait();
    }
}

std::optional<server_session::request_error>
server_session::check_head(const head_parser& parser) const
{
    const auto& head = parser.get();
    if (head.version() != 11) {
        return request_error{505, "bad_request", "Only HTTP/1.1 is served."};
    }
    if (head.target().empty() || head.target().front() != '/') {
        return request_error{400, "bad_request", "The request target must be a path."};
    }
    // Beast treats a request with another encoding as one without a body; the body would then be
    // parsed as the next request (request smuggling).
    const auto encodings = head.equal_range(beast::http::field::transfer_encoding);
    if (encodings.first != encodings.second &&
        (std::next(encodings.first) != encodings.second ||
         !beast::iequals(encodings.first->value(), "chunked"))) {
        return request_error{501, "bad_request", "Only the chunked transfer encoding is served."};
    }
    return std::nullopt;
}

awaitable<std::optional<server_session::request_error>>
server_session::read_complete_body(std::string& body)
{
    const request_error too_large{413, "body_too_large", "The request body is too large."};
    const std::size_t limit = core_->settings.body_limit;
    if (parser_->content_length().value_or(0) > limit) {
        co_return too_large;
    }
    while (!parser_->is_done() && !disconnected_) {
        piece_result piece = co_await next_piece();
        if (piece.failure) {
            co_return piece.failure;
        }
        if (body.size() + piece.bytes.size() > limit) {
            co_return too_large;
        }
        if (memory_ != nullptr) {
            received_bytes_ += piece.bytes.size();
            const bool reserved = co_await reserve(received_bytes_);
            if (!reserved) {
                co_return overloaded();
            }
        }
        body += piece.bytes;
    }
    // A disconnect that truncates the body is not reported as an error here; the caller checks
    // `disconnected_`.
    co_return std::nullopt;
}

std::optional<server_session::request_error> server_session::admit(const request& incoming)
{
    std::string group;
    if (!parser_->is_done() && core_->handlers.examine_head &&
        (!parser_->content_length() || *parser_->content_length() > buffer_.size())) {
        head_decision decision = core_->handlers.examine_head(incoming);
        if (decision.refusal) {
            return request_error{decision.refusal->status, {}, {}, std::move(decision.refusal)};
        }
        group = std::move(decision.group);
    }
    if (core_->settings.admission == nullptr) {
        return std::nullopt;
    }
    if (group.empty()) {
        group = remove_port(client_address_);
    }
    memory_ = core_->settings.admission->open(
        std::move(group), [this] { data_signal_.notify(); }, std::chrono::steady_clock::now());
    received_at_last_check_ = received_bytes_;
    progress_deadline_.set(core_->settings.admission->settings().progress_window);
    return std::nullopt;
}

server_session::request_error server_session::overloaded() const
{
    request_error error{503, "overloaded", "The instance has no memory left for the request."};
    if (core_->handlers.make_overload_response) {
        error.prepared = core_->handlers.make_overload_response();
    }
    return error;
}

awaitable<bool> server_session::reserve(std::size_t bytes)
{
    using outcome = upload_admission::outcome;
    auto now = std::chrono::steady_clock::now();
    const auto began_at = now;
    outcome result = memory_->grow(bytes, now);
    while (result == outcome::paused && !disconnected_) {
        // Unread bytes fill the client's window meanwhile.
        asio::steady_timer timer(executor(), pause_step);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        now = std::chrono::steady_clock::now();
        result = memory_->grow(bytes, now);
    }
    if (now != began_at) {
        // The client can't make up for the time in which it wasn't read.
        read_expires_at_ += now - began_at;
        read_deadline_.set(std::max(read_expires_at_ - now, std::chrono::nanoseconds(0)));
        progress_deadline_.set(core_->settings.admission->settings().progress_window);
        received_at_last_check_ = received_bytes_;
    }
    co_return result == outcome::granted;
}

void server_session::check_progress()
{
    if (memory_ == nullptr || channel_ != nullptr) {
        return;
    }
    const upload_settings& settings = core_->settings.admission->settings();
    if (received_bytes_ > settings.small_bytes &&
        received_bytes_ - received_at_last_check_ < settings.progress_bytes) {
        read_expired_ = true;
        data_signal_.notify();
        return;
    }
    received_at_last_check_ = received_bytes_;
    progress_deadline_.set(settings.progress_window);
}

bool server_session::grow_read_ahead(std::size_t bytes)
{
    const auto& admission = core_->settings.admission;
    if (admission == nullptr || bytes <= accounted_read_ahead_limit + read_size) {
        return true;
    }
    if (!reading_head_) {
        return false;
    }
    if (head_memory_.bytes() == 0) {
        head_memory_ = memory_account::reservation(admission->account(), memory_kind::heads,
                                                   remove_port(client_address_));
    }
    if (!head_memory_.resize(bytes, admission->account()->capacity())) {
        head_refused_ = true;
        data_signal_.notify();
        return false;
    }
    return true;
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
        if (disconnected_) {
            break;
        }
        if (memory_ != nullptr && memory_->evicted()) {
            result.failure = overloaded();
            break;
        }
        if (read_expired_) {
            result.failure =
                request_error{408, "bad_request", "The request did not arrive in time."};
            break;
        }
        co_await data_signal_.wait();
    }
    co_return result;
}

std::optional<server_session::request_error> server_session::parse_piece(std::string& piece,
                                                                         std::size_t& consumed)
{
    if (buffer_.size() == 0) {
        return std::nullopt;
    }
    // Not initialized: with very small chunks this would cost far more than the parsing.
    std::array<char, piece_size> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    auto& body = parser_->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    body.more = true;
    error_code error;
    consumed = parser_->put(buffer_.data(), error);
    buffer_.consume(consumed);
    buffer_space_signal_.notify();
    piece.assign(bytes.data(), bytes.size() - body.size);
    if (error && error != beast::http::error::need_more &&
        error != beast::http::error::need_buffer) {
        return request_error{400, "bad_request",
                             "Malformed request body: " + error.message() + '.'};
    }
    return std::nullopt;
}

void server_session::read_upload(std::function<void(body_piece)> callback)
{
    asio::co_spawn(
        executor(),
        [self = shared_from_this(), callback = std::move(callback)]() mutable {
            return self->deliver_upload_piece(std::move(callback));
        },
        asio::detached);
}

awaitable<void> server_session::deliver_upload_piece(std::function<void(body_piece)> callback)
{
    assert(!reading_upload_);
    body_piece piece;
    if (channel_ == nullptr || disconnected_) {
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

void server_session::start_handler(request incoming, bool streamed)
{
    channel_ =
        std::make_shared<response_channel>(core_->settings.response_buffer_bytes, make_waker());
    std::shared_ptr<responder> handle = make_responder(channel_);
    if (streamed) {
        upload_ = std::make_shared<upload_reader>(core_->context, weak_from_this());
        incoming.reader = upload_;
    }
    try {
        core_->handlers.handle(std::move(incoming), std::move(handle));
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
                session->response_signal_.notify();
            }
        });
    };
}

awaitable<bool> server_session::write_response(bool is_head)
{
    bool more = true;
    while (more && !disconnected_) {
        pending_output output = channel_->take_output();
        if (output.empty()) {
            co_await response_signal_.wait();
            continue;
        }
        const bool last = output.complete || output.finish;
        const bool aborted = output.abort;
        const bool written = co_await write_output(std::move(output), is_head);
        more = written && !last && !aborted;
        if (written && last) {
            const bool keeps = response_keeps_alive_;
            finish_response(true);
            if (!keeps) {
                co_await linger();
            }
            co_return keeps;
        }
    }
    finish_response(false);
    if (!disconnected_) {
        co_await linger();
    }
    co_return false;
}

awaitable<bool> server_session::write_output(pending_output output, bool is_head)
{
    std::string text;
    if (output.head || output.complete) {
        response_keeps_alive_ = keeps_alive();
    }
    if (output.complete) {
        const bool bodyless = is_bodyless(output.complete->status);
        text = serialize_response_head(
            {output.complete->status, std::move(output.complete->headers)},
            {output.complete->body.size(), bodyless}, response_keeps_alive_);
        if (!is_head && !bodyless) {
            text += output.complete->body;
        }
        co_return co_await write_all(std::move(text));
    }
    if (output.head) {
        text = serialize_response_head(*output.head, {}, response_keeps_alive_);
    }
    if (!output.bytes.empty() && !is_head) {
        append_chunk(text, output.bytes);
    }
    if (output.finish && !is_head) {
        append_last_chunk(text);
    }
    const std::size_t pieces = output.bytes.size();
    const bool written = text.empty() || co_await write_all(std::move(text));
    if (written) {
        channel_->on_written(pieces);
    }
    co_return written;
}

awaitable<void> server_session::reject(request_error reason)
{
    ++core_->bad_requests;
    const bool prepared = reason.prepared.has_value();
    response rejection =
        prepared ? std::move(*reason.prepared)
                 : error_response({reason.status, reason.code, reason.message, "not_run", {}});
    if (!prepared && core_->settings.make_request_id && !core_->stopped) {
        rejection.headers.set("Request-Id", core_->settings.make_request_id());
    }
    std::string text = serialize_response_head({rejection.status, rejection.headers},
                                               {rejection.body.size()}, false);
    text += rejection.body;
    if (co_await write_all(std::move(text))) {
        co_await linger();
    }
}

awaitable<bool> server_session::write_all(std::string bytes)
{
    for (std::size_t begin = 0; begin < bytes.size(); begin += write_slice_size) {
        const std::size_t size = std::min(write_slice_size, bytes.size() - begin);
        write_deadline_.set(core_->settings.write_timeout);
        const io_result result = co_await stream_->write(asio::buffer(bytes.data() + begin, size));
        write_deadline_.clear();
        if (result.error) {
            set_disconnected();
            co_return false;
        }
    }
    co_return true;
}

awaitable<void> server_session::linger()
{
    lingering_ = true;
    buffer_.clear();
    buffer_space_signal_.notify();
    write_deadline_.set(linger_timeout);
    co_await stream_->finish_sending();
    while (!disconnected_) {
        co_await response_signal_.wait();
    }
}

bool server_session::keeps_alive() const
{
    return request_keeps_alive_ && !core_->closing && parser_->is_done();
}

void server_session::close_upload()
{
    if (upload_ != nullptr) {
        upload_->close();
        upload_.reset();
    }
}

void server_session::set_disconnected()
{
    disconnected_ = true;
    data_signal_.notify();
    buffer_space_signal_.notify();
    response_signal_.notify();
}

void server_session::finish_response(bool complete)
{
    close_upload();
    memory_.reset();
    const std::shared_ptr<response_channel> channel = std::exchange(channel_, nullptr);
    if (core_->stopped) {
        channel->detach();
    }
    else {
        channel->set_ended(complete);
    }
}

} // namespace gooseberryfall::http
