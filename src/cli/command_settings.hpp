#pragma once

#include "http/client.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

enum class output_format { text, json };

/// Validated values of the flags.
struct command_settings {
    /// Instances as `ip:port`, in the order in which they are tried.
    std::vector<std::string> instances;
    std::string token;
    output_format output = output_format::text;
    std::string author;
    /// Limit of each call, and of each wait for an outcome.
    std::chrono::milliseconds timeout{10000};
    /// Plain TCP if unset.
    std::optional<http::client_tls> tls;
    /// File with the fleet to compare with; empty if none is given.
    std::string against;
    std::string comment;
    std::string team;
    std::string name;
};

} // namespace gooseberryfall::cli
