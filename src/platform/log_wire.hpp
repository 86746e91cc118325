#pragma once

#include "platform/platform_client.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace gooseberryfall::platform {

/// Bytes that the log's read format puts before each record.
constexpr std::size_t record_header_size = 20;

/// Parses the body of a read: records that follow each other from `from` on, below `head`. Returns
/// what is wrong otherwise. Thread-safe.
tl::expected<std::vector<log_record>, std::string>
parse_records(std::string_view body, core::log_offset from, core::log_offset head);

/// Parses the answer of an append. Thread-safe.
tl::expected<core::log_offset, std::string> parse_append_answer(std::string_view body);

/// Parses the instance list. Thread-safe.
tl::expected<core::instance_list, std::string> parse_instances(std::string_view body);

/// Parses the decimal value of a header. Thread-safe.
tl::expected<core::log_offset, std::string> parse_offset(std::string_view text);

} // namespace gooseberryfall::platform
