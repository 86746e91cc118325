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

/// Faults of a link. A fault lasts until `mend`, except for those of the present connections.
enum class link_fault {
    /// Each piece of bytes comes late.
    slow,
    /// Present connections are reset.
    reset,
    /// New connections are refused and present ones reset.
    cut,
    /// Requests arrive, answers are lost.
    one_way,
    /// Nothing passes, and no connection ends.
    silent,
    /// The same for the present connections, for good; new ones work.
    present_silent,
};

/// Text for the notes of a run.
const char* to_text(link_fault fault);

/// Links on the loopback interface through which the processes of a soak reach each other, with
/// faults. Thread-safe.
class faulty_links {
public:
    faulty_links();
    ~faulty_links();
    faulty_links(const faulty_links&) = delete;
    faulty_links& operator=(const faulty_links&) = delete;
    faulty_links(faulty_links&&) = delete;
    faulty_links& operator=(faulty_links&&) = delete;

    /// Opens a link to an address (`IP:PORT`, which must be valid) and returns its number.
    /// Precondition: no fault was injected yet.
    std::size_t open(const std::string& upstream);

    /// Address at which the link is reached.
    std::string address(std::size_t link) const;

    /// Injects a fault. Precondition: the link was opened.
    void inject(std::size_t link, link_fault fault, std::chrono::milliseconds delay);

    /// Ends the fault of a link.
    void mend(std::size_t link);

    /// Ends the faults of all links.
    void mend_all();

private:
    struct opened_link {
        std::shared_ptr<stand_ins::proxy_route> route;
        std::uint16_t port = 0;
    };

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::vector<opened_link> links_;
    std::thread thread_;
};

} // namespace gooseberryfall::soak
