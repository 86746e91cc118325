/// Tests the client of the platform's store against a store that loses its responses.

#include "http/raw_socket.hpp"
#include "platform/log_store.hpp"

#include <criterion/criterion.h>

#include <future>
#include <string>
#include <thread>

namespace adapter = gooseberryfall::adapter;
namespace edge = gooseberryfall::edge;
namespace http = gooseberryfall::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A client of the store at this address, on a loop of its own.
class store_client {
public:
    explicit store_client(const std::string& address)
    {
        adapter::log_store_settings settings;
        settings.address = address;
        loop_.run_and_wait(
            [&] { store_ = std::make_unique<adapter::log_store>(loop_, metrics_, settings); });
    }
    ~store_client()
    {
        loop_.run_and_wait([this] { store_.reset(); });
    }
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;
    store_client(store_client&&) = delete;
    store_client& operator=(store_client&&) = delete;

    edge::store_result<edge::group_assignment> join()
    {
        std::promise<edge::store_result<edge::group_assignment>> joined;
        loop_.post([&] {
            store_->join("jobs", "member", {"jobs0"}, seconds(1), 0,
                         [&](const auto& result) { joined.set_value(result); });
        });
        return joined.get_future().get();
    }

private:
    http::event_loop loop_{"store-client"};
    gooseberryfall::kernel::metrics metrics_;
    std::unique_ptr<adapter::log_store> store_;
};

std::string response(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

// Guards against a call that is taken as not done although the store executed it and the connection
// was lost: the rejection on a second connection speaks only for that attempt. A member that takes
// a join as not done goes on with partitions that another member has owned in between.
Test(log_store, rejection_after_a_lost_connection_leaves_the_call_unknown, .timeout = 30)
{
    const raw_listener listener;
    const std::jthread store([&] {
        const std::string assignment = response("200 OK", R"({"generation":1,"parts":[]})");
        {
            const raw_connection kept = listener.accept();
            kept.receive_until("generation");
            kept.send(assignment);
            // Executes the next call and loses the connection.
            kept.receive_until("generation");
        }
        const raw_connection second = listener.accept();
        second.receive_until("generation");
        second.send(response("503 Service Unavailable", "{}"));
        second.receive_until("generation");
        second.send(response("503 Service Unavailable", "{}"));
    });
    store_client client(listener.address());
    cr_assert(client.join().has_value());
    const auto lost = client.join();
    cr_assert(!lost && lost.error().failure == edge::store_failure::unknown, "%s",
              lost ? "done" : edge::to_text(lost.error().failure));
    const auto rejected = client.join();
    cr_assert(!rejected && rejected.error().failure == edge::store_failure::not_done, "%s",
              rejected ? "done" : edge::to_text(rejected.error().failure));
}
