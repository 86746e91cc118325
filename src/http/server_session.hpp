#pragma once

#include "http/answer_channel.hpp"
#include "http/async_signal.hpp"
#include "http/deadline.hpp"
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

/// State of a server, kept alive by its sessions. For the loop's thread, except the counts.
class server_core : public std::enable_shared_from_this<server_core> {
public:
    server_core(boost::asio::io_context& loop_context, server_settings server_settings,
                server_handlers server_handlers);

    /// Opens the listening socket. Returns the port or the reason why not.
    tl::expected<std::uint16_t, std::string> listen();
    /// Accepts connections until the socket is closed.
    awaitable<void> accept_loop();
    void drain(std::function<void()> drained);
    /// Closes everything without calling back.
    void stop();
    void remove(server_session& session);

    boost::asio::io_context& context;
    server_settings settings;
    const server_handlers handlers;
    bool closing = false;
    bool draining = false;
    bool stopped = false;
    std::atomic<std::size_t> open{0};
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> rejected{0};
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> bad_requests{0};

private:
    tl::expected<void, std::string> load_tls();
    void add(tcp::socket socket);
    void accept_waiting();
    void report_if_drained();

    tcp::acceptor acceptor_;
    boost::asio::ssl::context tls_;
    std::set<std::shared_ptr<server_session>> sessions_;
    std::function<void()> on_drained_;
};

/// One connection of a server: reads ahead, so that the client's end is noticed at any time, and
/// handles one request after the other. For the loop's thread.
class server_session : public std::enable_shared_from_this<server_session> {
public:
    /// `rejects`: answers 503 and closes.
    server_session(std::shared_ptr<server_core> core, std::unique_ptr<transport> stream,
                   bool rejects);

    /// Begins to serve.
    void run();
    /// Closes the connection soon if no request is under way.
    void drain();
    /// Closes the connection and ends the answer without calling back.
    void stop();
    /// Reads a piece of the body of the request under way.
    void read_upload(std::function<void(body_piece)> callback);

private:
    using head_parser = boost::beast::http::request_parser<boost::beast::http::empty_body>;
    using body_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    /// Why a request is refused by the server itself.
    struct fault {
        unsigned status = 400;
        std::string code;
        std::string message;
    };
    /// A part of a body, or why there is none.
    struct piece_result {
        std::string bytes;
        std::optional<fault> failure;
    };

    awaitable<void> serve();
    awaitable<void> read_ahead();
    awaitable<bool> serve_request();
    awaitable<bool> wait_for_request();
    awaitable<std::optional<fault>> read_head(head_parser& parser);
    std::optional<fault> check_head(const head_parser& parser) const;
    awaitable<std::optional<fault>> read_whole_body(std::string& body);
    awaitable<piece_result> next_piece();
    std::optional<fault> parse_piece(std::string& piece, std::size_t& consumed);
    awaitable<void> pump_upload(std::function<void(body_piece)> callback);
    awaitable<bool> answer(bool is_head);
    awaitable<bool> write_work(answer_work work, bool is_head);
    awaitable<void> refuse(fault reason);
    awaitable<bool> write_all(std::string bytes);
    awaitable<void> linger();
    void call_handler(request wanted, bool streams);
    bool keeps_alive() const;
    void set_gone();
    void finish_answer(bool whole);
    void close_upload();
    std::function<void()> make_waker();
    boost::asio::any_io_executor executor() { return stream_->socket().get_executor(); }

    std::shared_ptr<server_core> core_;
    std::unique_ptr<transport> stream_;
    bool rejects_;
    std::string client_;
    boost::beast::flat_buffer buffer_;
    async_signal data_;
    async_signal room_;
    async_signal answer_signal_;
    deadline read_deadline_;
    deadline write_deadline_;
    std::optional<body_parser> parser_;
    std::shared_ptr<answer_channel> channel_;
    std::shared_ptr<upload_reader> upload_;
    bool idle_ = false;
    bool read_expired_ = false;
    bool gone_ = false;
    bool lingering_ = false;
    bool reading_upload_ = false;
    bool keep_alive_ = false;
    bool answer_keeps_alive_ = false;
};

} // namespace gooseberryfall::http
