#pragma once

#include "http/async_signal.hpp"
#include "http/client.hpp"
#include "http/deadline.hpp"
#include "http/loop_gate.hpp"
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

/// Pool and calls of a client, kept alive by its calls. For the loop's thread.
class client_core : public std::enable_shared_from_this<client_core> {
public:
    client_core(boost::asio::io_context& loop_context, client_settings client_settings);

    void add(const std::shared_ptr<client_call>& call);
    void remove(const std::shared_ptr<client_call>& call);
    /// Cancels all calls and closes all connections.
    void stop();

    /// Takes an idle connection that the other side has not closed, or null.
    std::unique_ptr<transport> take(const std::string& address, connection_use use);
    /// Gives a connection back.
    void put(const std::string& address, std::unique_ptr<transport> connection);
    void forget(const std::string& address);
    std::size_t pooled(const std::string& address) const;

    /// Makes a transport of a connected socket.
    std::unique_ptr<transport> wrap(tcp::socket socket, const std::string& address);

    boost::asio::io_context& context;
    const client_settings settings;

private:
    struct idle_connection {
        std::unique_ptr<transport> connection;
        std::chrono::steady_clock::time_point since;
    };

    void drop_old();

    std::set<std::shared_ptr<client_call>> calls_;
    std::map<std::string, std::deque<idle_connection>> pools_;
    boost::asio::ssl::context tls_;
    deadline sweep_;
    bool stopped_ = false;
};

/// What the user of a call holds; does nothing once the call has ended. Thread-safe.
class call_handle : public ongoing_call {
public:
    call_handle(boost::asio::io_context& context, std::weak_ptr<client_call> call);

    void cancel() override;
    void resume() override;

    /// Called by the call at its end.
    void close() { gate_.close(); }
    bool cancelled() const { return cancelled_; }

private:
    loop_gate gate_;
    std::weak_ptr<client_call> call_;
    std::atomic<bool> cancelled_{false};
};

/// One call: connects or takes a pooled connection, writes the request and reads the answer. For
/// the loop's thread, except `make`.
class client_call : public std::enable_shared_from_this<client_call> {
public:
    client_call(std::shared_ptr<client_core> core, client_request request, call_observer observer);

    /// Makes a call and its handle. Thread-safe.
    static std::shared_ptr<client_call> make(std::shared_ptr<client_core> core,
                                             client_request request, call_observer observer);
    std::shared_ptr<call_handle> handle() const { return handle_; }

    /// Begins the call, on the loop's thread.
    void run();
    /// Ends the call as cancelled within this call, on the loop's thread.
    void stop();
    /// Reads on after a pause.
    void go_on();

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    awaitable<void> perform();
    awaitable<void> attempt(bool fresh);
    awaitable<bool> obtain_connection(bool fresh);
    awaitable<bool> connect();
    awaitable<bool> write_request();
    awaitable<bool> read_head();
    awaitable<bool> read_body();
    awaitable<bool> read_more();
    awaitable<bool> deliver(std::string piece);
    awaitable<void> wait_while(flow wanted);
    bool check_head();
    void finish_connection();
    bool may_try_again() const;
    bool is_over();
    void fail(call_outcome outcome, const std::string& reason);
    void fail_io(const error_code& error, const std::string& what);
    void begin(call_phase phase, std::chrono::milliseconds limit);
    void expired();
    void done();

    std::shared_ptr<client_core> core_;
    std::shared_ptr<call_handle> handle_;
    client_request request_;
    call_observer observer_;
    call_result result_;
    std::unique_ptr<transport> connection_;
    tcp::socket connecting_;
    std::optional<parser> parser_;
    boost::beast::flat_buffer buffer_;
    async_signal resumed_;
    deadline deadline_;
    bool reused_ = false;
    bool expired_ = false;
    bool resume_pending_ = false;
    bool answer_begun_ = false;
    bool failed_ = false;
    /// The request could not be written whole; an answer may be there nevertheless.
    bool write_failed_ = false;
    bool done_ = false;
};

} // namespace gooseberryfall::http
