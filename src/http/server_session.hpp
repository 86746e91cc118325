#pragma once

#include "http/async_signal.hpp"
#include "http/deadline.hpp"
#include "http/response_channel.hpp"
#include "http/server.hpp"
#include "http/transport.hpp"
#include "http/upload_reader.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace gooseberryfall::http {

class server_session;

/// State of a server, kept alive by its sessions. To be used on the loop's thread only, except the
/// counters.
class server_core : public std::enable_shared_from_this<server_core> {
public:
    server_core(boost::asio::io_context& loop_context, server_settings server_settings,
                server_handlers server_handlers);

    /// Opens the listening socket. Returns the port or an error message.
    tl::expected<std::uint16_t, std::string> listen();
    /// Accepts connections until the socket is closed.
    awaitable<void> accept_loop();
    void drain(std::function<void()> drained);
    /// Closes all connections without calling any callback.
    void stop();
    void remove(server_session& session);

    boost::asio::io_context& context;
    server_settings settings;
    const server_handlers handlers;
    bool closing = false;
    bool draining = false;
    bool stopped = false;
    std::atomic<std::size_t> open_connections{0};
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> rejected{0};
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> bad_requests{0};

private:
    tl::expected<void, std::string> load_tls();
    void add_connection(tcp::socket socket);
    void accept_backlog();
    void notify_if_drained();

    tcp::acceptor acceptor_;
    boost::asio::ssl::context tls_;
    std::set<std::shared_ptr<server_session>> sessions_;
    std::function<void()> on_drained_;
};

/// One connection of a server. It reads ahead, so that a disconnect of the client is detected at
/// any time, and serves one request after the other. To be used on the loop's thread only.
class server_session : public std::enable_shared_from_this<server_session> {
public:
    /// If `rejects` is set, the session responds with 503 and closes.
    server_session(std::shared_ptr<server_core> core, std::unique_ptr<transport> stream,
                   bool rejects);

    /// Starts to serve requests.
    void run();
    /// Closes the connection after a short delay if no request is in progress or arrives.
    void drain();
    /// Closes the connection and ends the response without calling the callbacks.
    void stop();
    /// Reads a piece of the body of the request in progress.
    void read_upload(std::function<void(body_piece)> callback);

private:
    using head_parser = boost::beast::http::request_parser<boost::beast::http::empty_body>;
    using body_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    /// Why the server itself rejects a request.
    struct request_error {
        unsigned status = 400;
        std::string code;
        std::string message;
        /// Replaces the server's own response.
        std::optional<response> prepared{};
    };
    /// A piece of a body, or the error that prevented it.
    struct piece_result {
        std::string bytes;
        std::optional<request_error> failure;
    };

    awaitable<void> serve();
    awaitable<void> read_ahead();
    awaitable<bool> serve_request();
    awaitable<bool> wait_for_request();
    awaitable<std::optional<request_error>> read_head(head_parser& parser);
    std::optional<request_error> check_head(const head_parser& parser) const;
    awaitable<std::optional<request_error>> read_complete_body(std::string& body);
    awaitable<bool> reserve(std::size_t bytes);
    std::optional<request_error> admit(const request& incoming);
    request_error overloaded() const;
    bool grow_read_ahead(std::size_t bytes);
    void check_progress();
    awaitable<piece_result> next_piece();
    std::optional<request_error> parse_piece(std::string& piece, std::size_t& consumed);
    awaitable<void> deliver_upload_piece(std::function<void(body_piece)> callback);
    awaitable<bool> write_response(bool is_head);
    awaitable<bool> write_output(pending_output output, bool is_head);
    awaitable<void> reject(request_error reason);
    awaitable<bool> write_all(std::string bytes);
    awaitable<void> linger();
    void start_handler(request incoming, bool streamed);
    bool keeps_alive() const;
    void set_disconnected();
    void finish_response(bool complete);
    void close_upload();
    std::function<void()> make_waker();
    boost::asio::any_io_executor executor() { return stream_->socket().get_executor(); }

    std::shared_ptr<server_core> core_;
    std::unique_ptr<transport> stream_;
    bool rejects_;
    std::string client_address_;
    boost::beast::flat_buffer buffer_;
    async_signal data_signal_;
    async_signal buffer_space_signal_;
    async_signal response_signal_;
    deadline read_deadline_;
    deadline write_deadline_;
    /// Checks the rate of progress of a body.
    deadline progress_deadline_;
    std::unique_ptr<upload_admission::upload> memory_;
    memory_account::reservation head_memory_;
    std::size_t received_bytes_ = 0;
    std::size_t received_at_last_check_ = 0;
    std::chrono::steady_clock::time_point read_expires_at_;
    std::optional<body_parser> parser_;
    std::shared_ptr<response_channel> channel_;
    std::shared_ptr<upload_reader> upload_;
    bool idle_ = false;
    bool read_expired_ = false;
    /// A head, whose limit is `header_limit`, is awaited or being read.
    bool reading_head_ = true;
    bool head_refused_ = false;
    bool disconnected_ = false;
    bool lingering_ = false;
    bool reading_upload_ = false;
    bool request_keeps_alive_ = false;
    bool response_keeps_alive_ = false;
};

} // namespace gooseberryfall::http
