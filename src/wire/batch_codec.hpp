#pragma once

#include "core/records.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace gooseberryfall::wire {

/// Bytes of one append to a batch stream. The caller checks them against the log's record size.
/// Thread-safe.
std::string encode_batch_group(const std::vector<core::batch_record>& records);

/// Records of one append, or a sentence that says what is wrong with the bytes. A record of a kind
/// that this version does not know is an error. Never throws. Thread-safe.
tl::expected<std::vector<core::batch_record>, std::string>
decode_batch_group(std::string_view bytes);

} // namespace gooseberryfall::wire
