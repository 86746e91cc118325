#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gooseberryfall::cli {

/// Error response in the JSON format that all services use.
struct api_error {
    /// For example `not_current`.
    std::string code;
    /// Human-readable sentence.
    std::string message;
    /// Whether the response guarantees that the request has not run.
    bool not_run = false;
};

/// Error in the body of a response, or nothing if the body has another format. Thread-safe.
std::optional<api_error> parse_api_error(std::string_view body);

} // namespace gooseberryfall::cli
