#include "http/client_core.hpp"

#include "http/message_encoding.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace gooseberryfall::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr std::size_t read_size = 16U << 10U;
/// A body up to this size is written together with its head in one operation.
constexpr std::size_t combined_body_max = 64U << 10U;
/// Time to read a response that the server sent before it had received the complete request, for
/// example a 413.
constexpr std::chrono::milliseconds early_response_timeout{200};
/// Range of the status codes of HTTP. Those below `first_final_status` are interim responses.
constexpr unsigned status_min = 100;
constexpr unsigned status_max = 599;
constexpr unsigned first_final_status = 200;

} // namespace

call_handle::call_handle(asio::io_context& context, std::weak_ptr<client_call> call)
    : executor_(context), call_(std::move(call))
{
}

void call_handle::cancel()
{
    cancelled_ = true;
    executor_.post([weak = call_] {
        if (const auto call = weak.lock()) {
            call->stop();
        }
    });
}

void call_handle::resume()
{
    executor_.post([weak = call_] {
        if (const auto call = weak.lock()) {
            call->continue_reading();
        }
    });
}

client_call::client_call(std::shared_ptr<client_core> core, client_request request,
                         call_observer observer)
    : core_(std::move(core)), request_(std::move(request)), observer_(std::move(observer)),
      connecting_socket_(core_->context), resume_signal_(core_->context.get_executor()),
      deadline_(core_->context.get_executor(), [this] { on_timeout(); })
{
    // Bounds the memory that a server can make the client use by sending a chunk header without
    // end.
    buffer_.max_size(core_->settings.header_limit + 2 * read_size);
}

std::shared_ptr<client_call> client_call::make(std::shared_ptr<client_core> core,
                                               client_request request, call_observer observer)
{
    boost::asio::io_context& context = core->context;
    auto call =
        std::make_shared<client_call>(std::move(core), std::move(request), std::move(observer));
    call->handle_ = std::make_shared<call_handle>(context, call);
    return call;
}

void client_call::continue_reading()
{
    resume_pending_ = true;
    resume_signal_.notify();
}

void client_call::run()
{
    asio::co_spawn(
        core_->context, [self = shared_from_this()] { return self->perform(); }, asio::detached);
}

void client_call::stop()
{
    if (done_) {
        return;
    }
    fail(call_outcome::cancelled, "cancelled");
    close_connection();
    resume_signal_.notify();
    finish();
}

void client_call::close_connection()
{
    error_code ignored;
    connecting_socket_.close(ignored);
    if (connection_ != nullptr) {
        connection_->abort();
    }
}

awaitable<void> client_call::perform()
{
    if (has_ended()) {
        // Cancelled before it began.
        core_->remove(shared_from_this());
        finish();
        co_return;
    }
    try {
        co_await attempt(request_.use == connection_use::fresh);
        if (can_retry()) {
            // The cause that made one idle connection stale has probably affected the others to
            // this address, too.
            core_->close_idle(request_.address);
            close_connection();
            const bool lost = result_.outcome == call_outcome::connection_lost;
            failed_ = false;
            result_ = call_result();
            result_.repeated = lost;
            co_await attempt(true);
        }
    }
    catch (const std::exception& error) {
        fail(call_outcome::invalid_response, error.what());
    }
    if (failed_) {
        close_connection();
    }
    connection_.reset();
    finish();
}

awaitable<void> client_call::attempt(bool fresh)
{
    buffer_.clear();
    write_failed_ = false;
    // g++ 12 lays out the coroutine frame of this function wrongly if the results are awaited in
    // conditions.
    bool succeeded = co_await obtain_connection(fresh);
    if (succeeded) {
        succeeded = co_await write_request();
    }
    if (succeeded) {
        succeeded = co_await read_head();
    }
    if (succeeded) {
        succeeded = co_await read_body();
    }
    if (succeeded) {
        finish_response();
    }
}

bool client_call::can_retry() const
{
    if (done_ || !failed_ || !reused_ || response_started_) {
        return false;
    }
    if (result_.outcome == call_outcome::not_sent) {
        return true;
    }
    return result_.outcome == call_outcome::connection_lost && request_.use == connection_use::any;
}

awaitable<bool> client_call::obtain_connection(bool fresh)
{
    reused_ = false;
    if (!fresh) {
        connection_ = core_->take_idle(request_);
        reused_ = connection_ != nullptr;
    }
    if (!reused_) {
        co_return co_await connect();
    }
    co_return true;
}

awaitable<bool> client_call::connect()
{
    const auto endpoint = parse_endpoint(request_.address);
    if (!endpoint) {
        fail(call_outcome::not_sent, "not an address of the form ip:port: " + request_.address);
        co_return false;
    }
    begin_phase(call_phase::connect, request_.timeouts.connect);
    const auto [error] =
        co_await connecting_socket_.async_connect(*endpoint, asio::as_tuple(asio::use_awaitable));
    if (error || failed_) {
        fail(call_outcome::not_sent, "cannot connect: " + error.message());
        co_return false;
    }
    connection_ = core_->make_transport(std::move(connecting_socket_), request_.address);
    connecting_socket_ = tcp::socket(core_->context);
    const error_code handshake_error = co_await connection_->handshake();
    if (handshake_error || failed_) {
        fail(call_outcome::not_sent, "TLS handshake failed: " + handshake_error.message());
        co_return false;
    }
    co_return true;
}

awaitable<bool> client_call::write_request()
{
    begin_phase(call_phase::write, request_.timeouts.write);
    const std::string& body = request_.body;
    std::string text = serialize_request_head(request_.method, request_.target, request_.headers,
                                              request_.address, body.size());
    const bool combined = body.size() <= combined_body_max;
    if (combined) {
        text += body;
    }
    // Also if this process ends before the response is complete.
    connection_->set_reset_on_close(true);
    // Applies if the call is cancelled before the number of written bytes is known.
    result_.sent = true;
    io_result written = co_await connection_->write(asio::buffer(text));
    // Bytes that TLS has encrypted may have been sent although they are not counted.
    result_.sent = written.bytes > 0 || core_->settings.tls.has_value();
    if (!written.error && !combined) {
        written = co_await connection_->write(asio::buffer(body));
    }
    if (written.error && !result_.sent) {
        fail(call_outcome::not_sent, "cannot write: " + written.error.message());
        if (result_.outcome == call_outcome::timed_out) {
            result_.outcome = call_outcome::not_sent;
        }
    }
    write_failed_ = static_cast<bool>(written.error);
    co_return !failed_;
}

awaitable<bool> client_call::read_head()
{
    // One time limit and one size limit for the head and all interim responses before it, which
    // could otherwise go on without end.
    const auto limit = write_failed_ ? early_response_timeout : request_.timeouts.first_byte;
    begin_phase(call_phase::first_byte, limit);
    head_expires_at_ = std::chrono::steady_clock::now() + limit;
    std::size_t bytes_left = core_->settings.header_limit;
    bool is_interim = true;
    while (is_interim) {
        const bool complete = co_await read_one_head(bytes_left);
        if (!complete) {
            co_return false;
        }
        const unsigned status = parser_->get().result_int();
        if (status < status_min || status > status_max) {
            fail(call_outcome::invalid_response,
                 "malformed response: status " + std::to_string(status));
            co_return false;
        }
        is_interim = status < first_final_status;
    }
    co_return check_head();
}

awaitable<bool> client_call::read_one_head(std::size_t& bytes_left)
{
    parser_.emplace();
    parser_->eager(false);
    parser_->header_limit(static_cast<std::uint32_t>(core_->settings.header_limit));
    parser_->body_limit(boost::none);
    parser_->skip(request_.method == "HEAD");
    while (!parser_->is_header_done()) {
        if (buffer_.size() == 0 && !co_await read_more()) {
            co_return false;
        }
        error_code error;
        const std::size_t consumed = parser_->put(buffer_.data(), error);
        buffer_.consume(consumed);
        if (error && error != beast::http::error::need_more) {
            fail(call_outcome::invalid_response, "malformed response: " + error.message());
            co_return false;
        }
        if (consumed > bytes_left) {
            fail(call_outcome::invalid_response,
                 "the interim responses exceed the limit of a response head");
            co_return false;
        }
        bytes_left -= consumed;
        if (error && !co_await read_more()) {
            co_return false;
        }
    }
    co_return true;
}

bool client_call::check_head()
{
    const bool unframed = !parser_->is_done() && !parser_->chunked() && !parser_->content_length();
    if (unframed && !core_->settings.accept_unframed) {
        // The end of such a response could not be distinguished from a lost connection.
        fail(call_outcome::invalid_response,
             "the response declares neither a length nor the chunked encoding");
        return false;
    }
    result_.head.status = parser_->get().result_int();
    result_.head.headers = to_header_fields(parser_->get());
    result_.head.connection_reused = reused_;
    result_.head.ends_with_connection = unframed;
    return true;
}

awaitable<bool> client_call::read_body()
{
    if (observer_.on_head) {
        co_await wait_if_paused(observer_.on_head(result_.head));
    }
    std::string piece;
    while (!has_ended() && !parser_->is_done()) {
        if (buffer_.size() == 0 && !co_await read_more()) {
            co_return false;
        }
        if (parser_->is_done()) {
            break;
        }
        std::array<char, read_size> bytes{};
        auto& body = parser_->get().body();
        body.data = bytes.data();
        body.size = bytes.size();
        body.more = true;
        error_code error;
        const std::size_t consumed = parser_->put(buffer_.data(), error);
        buffer_.consume(consumed);
        piece.assign(bytes.data(), bytes.size() - body.size);
        const bool wants_more = error == beast::http::error::need_more;
        if (error && !wants_more && error != beast::http::error::need_buffer) {
            fail(call_outcome::invalid_response, "malformed response: " + error.message());
            co_return false;
        }
        if (!piece.empty() && !co_await deliver(std::move(piece))) {
            co_return false;
        }
        if (wants_more && !parser_->is_done() && !co_await read_more()) {
            co_return false;
        }
    }
    co_return !has_ended();
}

awaitable<bool> client_call::deliver(std::string piece)
{
    if (has_ended()) {
        co_return false;
    }
    if (observer_.on_piece) {
        co_await wait_if_paused(observer_.on_piece(std::move(piece)));
        co_return !has_ended();
    }
    if (result_.body.size() + piece.size() > request_.body_limit) {
        fail(call_outcome::invalid_response, "the response body exceeds the limit");
        co_return false;
    }
    result_.body += piece;
    co_return true;
}

awaitable<void> client_call::wait_if_paused(flow requested)
{
    if (requested == flow::proceed) {
        co_return;
    }
    deadline_.clear();
    while (!resume_pending_ && !failed_) {
        co_await resume_signal_.wait();
    }
    resume_pending_ = false;
}

awaitable<bool> client_call::read_more()
{
    if (failed_) {
        co_return false;
    }
    if (response_started_) {
        begin_phase(call_phase::between_bytes, time_to_next_byte());
    }
    const io_result result = co_await connection_->read_some(buffer_.prepare(read_size));
    // After a failed write the end of the connection may be a reset, since the write has taken its
    // error. A response that ends with its connection can't be told from a truncated one then.
    const bool may_end =
        response_started_ && !write_failed_ && parser_->is_header_done() && parser_->need_eof();
    if (result.error == asio::error::eof && may_end) {
        error_code ignored;
        parser_->put_eof(ignored);
        co_return !failed_ && parser_->is_done();
    }
    if (result.error) {
        fail_io(result.error,
                response_started_ ? "the response is truncated" : "no response received");
        co_return false;
    }
    buffer_.commit(result.bytes);
    response_started_ = true;
    co_return !failed_;
}

std::chrono::milliseconds client_call::time_to_next_byte() const
{
    const std::chrono::milliseconds limit = request_.timeouts.between_bytes;
    if (parser_->is_header_done()) {
        return limit;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        head_expires_at_ - std::chrono::steady_clock::now());
    return std::clamp(left, std::chrono::milliseconds(0), limit);
}

bool client_call::has_ended()
{
    if (handle_->cancelled()) {
        fail(call_outcome::cancelled, "cancelled");
    }
    return failed_;
}

void client_call::finish_response()
{
    deadline_.clear();
    result_.outcome = call_outcome::completed;
    connection_->set_reset_on_close(false);
    // Bytes after the end of the response belong to no request, so the connection must not be
    // reused.
    if (parser_->keep_alive() && buffer_.size() == 0 && !write_failed_) {
        core_->put_idle(request_, std::move(connection_));
    }
}

void client_call::begin_phase(call_phase phase, std::chrono::milliseconds limit)
{
    result_.phase = phase;
    deadline_.set(limit);
}

void client_call::on_timeout()
{
    expired_ = true;
    const std::string text = std::string(to_text(result_.phase)) + " timed out";
    const bool connecting = result_.phase == call_phase::connect;
    if (connecting) {
        fail(call_outcome::not_sent, text);
    }
    else if (write_failed_) {
        fail(call_outcome::connection_lost, "the request could not be written completely");
    }
    else {
        fail(call_outcome::timed_out, text);
    }
    close_connection();
    // If the server is unresponsive on one connection, its idle connections are probably
    // unresponsive, too.
    core_->close_idle(request_.address);
}

void client_call::fail(call_outcome outcome, const std::string& reason)
{
    if (failed_) {
        return;
    }
    failed_ = true;
    const bool lost_before = result_.repeated && outcome == call_outcome::not_sent;
    result_.outcome = lost_before ? call_outcome::connection_lost : outcome;
    result_.sent = result_.sent || lost_before;
    result_.reason = reason;
}

void client_call::fail_io(const error_code& error, const std::string& what)
{
    fail(call_outcome::connection_lost, what + ": " + error.message());
}

void client_call::finish()
{
    if (done_) {
        return;
    }
    done_ = true;
    deadline_.clear();
    handle_->close();
    core_->remove(shared_from_this());
    const call_observer observer = std::exchange(observer_, {});
    if (observer.on_done) {
        observer.on_done(std::move(result_));
    }
}

} // namespace gooseberryfall::http
