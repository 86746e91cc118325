#pragma once

#include "edge/protocol.hpp"
#include "http/http.hpp"
#include "serving/serving.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Serves callers the addresses of the instances to use. To be used on the event loop's thread
/// only.
class directory_service {
public:
    /// `addresses_max`: maximum number of addresses in one response.
    directory_service(const protocol& translator, std::size_t addresses_max)
        : translator_(translator), addresses_max_(addresses_max)
    {
    }

    /// Sets the time for which callers may cache a response.
    void set_ttl(std::chrono::seconds ttl) { ttl_ = ttl; }

    /// Answers a directory request. `members`: instances that accept callers. `own_address`: this
    /// instance's address for callers, returned if no other is chosen; empty if it accepts none.
    void handle(const http::request& received, const std::shared_ptr<http::responder>& caller,
                const std::vector<serving::fleet_member>& members, const std::string& own_address);

private:
    std::vector<std::string> choose_addresses(const std::vector<serving::fleet_member>& members);

    const protocol& translator_;
    std::size_t addresses_max_;
    std::chrono::seconds ttl_{1};
    /// Number of responses; seeds the selection, so that it varies between responses.
    std::uint64_t response_count_ = 0;
};

} // namespace gooseberryfall::edge
