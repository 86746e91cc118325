#pragma once

#include "cli/command_settings.hpp"
#include "cli/failure.hpp"

#include "core/actions.hpp"
#include "http/client.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// Response of an instance to a POST.
struct api_response {
    /// Address of the instance.
    std::string instance;
    unsigned status = 200;
    std::string body;
};

/// Response to `GET /v1/status`.
struct status_response {
    /// As received; empty if there was no usable response.
    std::string body;
    core::status_view view;
};

/// Response to a GET, with the state that the instance reported just before.
struct read_response {
    std::string body;
    core::status_view status_before;
};

/// Client of the operators' API that fails over between several instances. Each call starts with
/// the instance that responded last. Not thread-safe.
class api_client {
public:
    /// Precondition: at least one instance is set.
    explicit api_client(command_settings settings);

    /// Sends a GET to the first instance that responds and is current.
    result<read_response> read(const std::string& path);

    /// State of the first instance that is current, or else of the first one that responds.
    result<status_response> status();

    /// Sends a POST, and tries the next instance only while it is certain that the request has not
    /// run. The response has the status 200, or 409 if the system rejected a change. The failure
    /// `outcome_unknown` means that the request may have taken effect, or may still do so; every
    /// other failure means that it has not and will not.
    result<api_response> post(const std::string& path, const std::string& body);

private:
    /// Why a call to one instance failed.
    struct failed_attempt {
        std::string instance;
        std::string reason;
        /// Whether the instance responded at all.
        bool responded = false;
    };

    http::call_result call(const std::string& instance, const std::string& method,
                           const std::string& path, const std::string& body,
                           std::chrono::milliseconds timeout) const;
    /// Instances, beginning with the preferred one.
    std::vector<std::string> call_order() const;
    /// Body of the response to a GET. Empty if the next instance is to be tried; the cause is then
    /// appended to `attempts`.
    result<std::string> get(const std::string& instance, const std::string& path,
                            std::chrono::milliseconds timeout,
                            std::vector<failed_attempt>& attempts) const;
    result<status_response> read_status(const std::string& instance,
                                        std::vector<failed_attempt>& attempts) const;
    /// Failure that lists the reason of each attempt.
    static failure to_failure(const std::vector<failed_attempt>& attempts);

    command_settings settings_;
    std::string preferred_instance_;
};

} // namespace gooseberryfall::cli
