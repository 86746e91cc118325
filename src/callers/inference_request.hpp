#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace gooseberryfall::callers {

/// What routing needs to know of an inference request's body.
struct inference_request {
    std::string model;
    /// 0 if the request does not say.
    std::uint32_t max_tokens = 0;
    /// Hash of the first part of the messages; requests that share a prompt prefix share it.
    std::uint64_t prefix = 0;
};

/// Reads a body in the shape of chat completions, or says what is wrong with it. Thread-safe.
tl::expected<inference_request, std::string> parse_inference_request(const std::string& body);

} // namespace gooseberryfall::callers
