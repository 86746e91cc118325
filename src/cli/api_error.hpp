#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gooseberryfall::cli {

/// Refusal in the JSON shape of all services.
struct api_error {
    /// For example `not_current`.
    std::string code;
    /// Sentence for people.
    std::string message;
    /// Whether the answer says that the request has certainly not run.
    bool not_run = false;
};

/// Refusal of an answer's body, or nothing if the body is something else. Thread-safe.
std::optional<api_error> parse_api_error(std::string_view body);

} // namespace gooseberryfall::cli
