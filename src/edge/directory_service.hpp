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

/// Tells callers which instances to use. For the loop's thread.
class directory_service {
public:
    /// `addresses_max`: addresses in one answer.
    directory_service(const protocol& translator, std::size_t addresses_max)
        : translator_(translator), addresses_max_(addresses_max)
    {
    }

    /// Sets the time for which callers may keep an answer.
    void set_lifetime(std::chrono::seconds lifetime) { lifetime_ = lifetime; }

    /// Answers a question. `members`: instances that take callers. `self`: address for callers of
    /// this instance, named if there is no other; empty if it takes none.
    void handle(const http::request& received, const std::shared_ptr<http::responder>& caller,
                const std::vector<serving::fleet_member>& members, const std::string& self);

private:
    std::vector<std::string> choose(const std::vector<serving::fleet_member>& members);

    const protocol& translator_;
    std::size_t addresses_max_;
    std::chrono::seconds lifetime_{1};
    /// Counts the answers, so that each one names others.
    std::uint64_t turn_ = 0;
};

} // namespace gooseberryfall::edge
