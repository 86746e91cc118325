#pragma once

#include "cli/failure.hpp"
#include "cli/options.hpp"

#include "core/actions.hpp"
#include "http/client.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// Answer of an instance.
struct api_reply {
    /// Address of the instance.
    std::string instance;
    unsigned status = 200;
    std::string body;
};

/// State of an instance.
struct status_reply {
    /// As received.
    std::string body;
    core::status_view view;
};

/// What was read, and the state that the instance had just before.
struct read_reply {
    std::string body;
    core::status_view seen;
};

/// Calls the operators' API of one of several instances. Calls begin with the instance that
/// answered last. Not thread-safe.
class api_client {
public:
    /// Precondition: at least one instance is set.
    explicit api_client(options settings);

    /// Reads from the first instance that answers and is current.
    result<read_reply> read(const std::string& path);

    /// State of the first instance that is current, or else of the first one that answers.
    result<status_reply> status();

    /// Sends a POST to the first instance that may have taken it. The reply has the status 200, or
    /// 409 if the system decided against a change. The failure `outcome_unknown` means that the
    /// request may have taken effect, or may still do so; every other failure that it has not and
    /// will not.
    result<api_reply> change(const std::string& path, const std::string& body);

private:
    /// Why one instance was of no use.
    struct attempt {
        std::string instance;
        std::string reason;
        bool answered = false;
    };

    http::call_result call(const std::string& instance, const std::string& method,
                           const std::string& path, const std::string& body,
                           std::chrono::milliseconds timeout) const;
    std::vector<std::string> ordered() const;
    /// Body of a GET; nothing if the next instance is to be tried, which is noted in `attempts`.
    result<std::string> get(const std::string& instance, const std::string& path,
                            std::chrono::milliseconds timeout,
                            std::vector<attempt>& attempts) const;
    result<status_reply> status_of(const std::string& instance,
                                   std::vector<attempt>& attempts) const;
    static failure give_up(const std::vector<attempt>& attempts);

    options settings_;
    std::string preferred_;
};

} // namespace gooseberryfall::cli
