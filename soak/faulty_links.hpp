#pragma once

#include "stand_ins/proxy_route.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gooseberryfall::soak {

/// Network faults of a link. A fault lasts until `clear_fault`; `reset` and `existing_silent`
/// affect only the connections that exist at the time of the call.
enum class link_fault {
    /// Each chunk of bytes is delayed, in both directions.
    slow,
    /// Existing connections are reset.
    reset,
    /// New connections are refused, and existing ones are reset.
    cut,
    /// Requests are forwarded, responses are dropped.
    one_way,
    /// No bytes are forwarded in either direction, and connections stay open.
    silent,
    /// Existing connections stay open and never forward bytes again; new ones work.
    existing_silent,
};

/// Description of a fault for the event log of a soak test.
const char* to_text(link_fault fault);

/// TCP proxies on the loopback interface that connect the processes of a soak test and inject
/// network faults between them. Thread-safe.
class faulty_links {
public:
    faulty_links();
    ~faulty_links();
    faulty_links(const faulty_links&) = delete;
    faulty_links& operator=(const faulty_links&) = delete;
    faulty_links(faulty_links&&) = delete;
    faulty_links& operator=(faulty_links&&) = delete;

    /// Opens a link to an upstream address (`IP:PORT`, which must be valid) and returns its index.
    /// Precondition: no fault has been injected yet.
    std::size_t open(const std::string& upstream);

    /// Opens a link that keeps half-closed connections and whose upstream connections have the
    /// source address that `selector` chooses; see `proxy_route`. The selector is called on the
    /// links' thread. Precondition: as for `open`.
    std::size_t open_to_engine(const std::string& upstream,
                               stand_ins::proxy_route::source_selector selector);

    /// Address (`IP:PORT`) on which the link accepts connections.
    std::string address(std::size_t link) const;

    /// Injects a fault. `delay` applies to `link_fault::slow` only. Precondition: the link was
    /// opened.
    void inject(std::size_t link, link_fault fault, std::chrono::milliseconds delay);

    /// Ends the fault of a link.
    void clear_fault(std::size_t link);

    /// Ends the faults of all links.
    void clear_all_faults();

private:
    struct link_entry {
        std::shared_ptr<stand_ins::proxy_route> route;
        std::uint16_t port = 0;
    };

    std::shared_ptr<stand_ins::proxy_route> make_route(const std::string& upstream);
    std::size_t add(std::shared_ptr<stand_ins::proxy_route> route);

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
    std::vector<link_entry> links_;
    std::thread thread_;
};

} // namespace gooseberryfall::soak
