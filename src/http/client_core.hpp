#pragma once

#include "http/async_signal.hpp"
#include "http/client.hpp"
#include "http/closable_executor.hpp"
#include "http/deadline.hpp"
#include "http/transport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gooseberryfall::http {

class client_call;

/// Connection pool and calls of a client, kept alive by the calls. To be used on the loop's thread
/// only.
class client_core : public std::enable_shared_from_this<client_core> {
public:
    client_core(boost::asio::io_context& loop_context, client_settings client_settings);

    void add(const std::shared_ptr<client_call>& call);
    void remove(const std::shared_ptr<client_call>& call);
    /// Cancels all calls and closes all connections.
    void stop();

    /// Takes an idle connection that the server has not closed out of the pool, or returns null.
    std::unique_ptr<transport> take_idle(const client_request& request);
    /// Returns the connection of a completed request to the pool.
    void put_idle(const client_request& request, std::unique_ptr<transport> connection);
    void close_idle(const std::string& address);
    std::size_t idle_connections(const std::string& address) const;

    /// Makes a transport for a connected socket.
    std::unique_ptr<transport> make_transport(tcp::socket socket, const std::string& address);

    boost::asio::io_context& context;
    const client_settings settings;

private:
    struct idle_connection {
        std::unique_ptr<transport> connection;
        std::chrono::steady_clock::time_point idle_since;
        /// As in `client_request`.
        std::string last_id;
    };

    void prune_idle();

    std::set<std::shared_ptr<client_call>> calls_;
    std::map<std::string, std::deque<idle_connection>> pools_;
    boost::asio::ssl::context tls_;
    deadline prune_deadline_;
    bool stopped_ = false;
};

/// The user's handle of a call. Its methods have no effect once the call has ended. Thread-safe.
class call_handle : public ongoing_call {
public:
    call_handle(boost::asio::io_context& context, std::weak_ptr<client_call> call);

    void cancel() override;
    void resume() override;

    /// Called by the call when it ends.
    void close() { executor_.close(); }
    bool cancelled() const { return cancelled_; }

private:
    closable_executor executor_;
    std::weak_ptr<client_call> call_;
    std::atomic<bool> cancelled_{false};
};

/// One call: takes a pooled connection or connects, writes the request and reads the response. To
/// be used on the loop's thread only, except `make`.
class client_call : public std::enable_shared_from_this<client_call> {
public:
    client_call(std::shared_ptr<client_core> core, client_request request, call_observer observer);

    /// Makes a call and its handle. Thread-safe.
    static std::shared_ptr<client_call> make(std::shared_ptr<client_core> core,
                                             client_request request, call_observer observer);
    std::shared_ptr<call_handle> handle() const { return handle_; }

    /// Starts the call. To be called on the loop's thread.
    void run();
    /// Ends the call as `cancelled` before returning. To be called on the loop's thread.
    void stop();
    /// Continues reading after a pause.
    void continue_reading();

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    awaitable<void> perform();
    awaitable<void> attempt(bool fresh);
    awaitable<bool> obtain_connection(bool fresh);
    awaitable<bool> connect();
    awaitable<bool> write_request();
    /// Reads the head of the response and skips interim responses.
    awaitable<bool> read_head();
    /// Reads the next head, which may be that of an interim response. Takes its size from
    /// `bytes_left` and fails if it is larger.
    awaitable<bool> read_one_head(std::size_t& bytes_left);
    awaitable<bool> read_body();
    awaitable<bool> read_more();
    awaitable<bool> deliver(std::string piece);
    awaitable<void> wait_if_paused(flow requested);
    bool check_head();
    void finish_response();
    bool can_retry() const;
    /// Fails the call if its handle was cancelled. Returns whether the call has failed.
    bool has_ended();
    void fail(call_outcome outcome, const std::string& reason);
    void fail_io(const error_code& error, const std::string& what);
    void begin_phase(call_phase phase, std::chrono::milliseconds limit);
    /// Time limit of the next read after the first byte. That of the head ends at
    /// `head_expires_at_` in any case.
    std::chrono::milliseconds time_to_next_byte() const;
    void on_timeout();
    /// Closes the connection of a call that ends without a complete response. The server learns
    /// that the response isn't wanted any more, and can end its work.
    void close_connection();
    void finish();

    std::shared_ptr<client_core> core_;
    std::shared_ptr<call_handle> handle_;
    client_request request_;
    call_observer observer_;
    call_result result_;
    std::unique_ptr<transport> connection_;
    tcp::socket connecting_socket_;
    std::optional<parser> parser_;
    boost::beast::flat_buffer buffer_;
    async_signal resume_signal_;
    deadline deadline_;
    std::chrono::steady_clock::time_point head_expires_at_;
    bool reused_ = false;
    bool expired_ = false;
    bool resume_pending_ = false;
    bool response_started_ = false;
    bool failed_ = false;
    /// The request could not be written completely; a response may have arrived nevertheless.
    bool write_failed_ = false;
    bool done_ = false;
};

} // namespace gooseberryfall::http
