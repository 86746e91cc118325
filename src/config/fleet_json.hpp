#pragma once

#include "config/problem.hpp"

#include "core/actions.hpp"
#include "core/events.hpp"
#include "core/fleet.hpp"

#include <boost/json/fwd.hpp>

#include <string_view>

namespace gooseberryfall::config {

// JSON encoding of the operators' API. An entry is an object with one member, whose name is the
// entry's kind, for example `{"team": {"name": "namur", "rate": 2, "burst": 8}}`. The key of an
// entry is a string such as `team/namur`.

/// Parses a JSON text. Thread-safe.
checked<boost::json::value> parse_json(std::string_view text);

/// `{"version", "entries"}`. Thread-safe.
boost::json::value to_json(const core::fleet& state);

/// `{"upserts", "removals"}`. Thread-safe.
boost::json::value to_json(const core::fleet_difference& change);

/// `{"author", "comment", "base", "upserts", "removals"}`; the request number is left out.
/// Thread-safe.
boost::json::value to_json(const core::operator_apply& request);

/// `{"version", "refused", "applied", "members"}`; the request number is left out. Thread-safe.
boost::json::value to_json(const core::apply_reply& reply);

/// Decodes the documents above. All values are validated and unknown names are reported. References
/// between entries are checked for a fleet; for a difference they cannot be, because they may lead
/// to entries outside of it. Thread-safe.
checked<core::fleet> fleet_from_json(const boost::json::value& value);
checked<core::fleet_difference> difference_from_json(const boost::json::value& value);
checked<core::operator_apply> apply_from_json(const boost::json::value& value);
checked<core::apply_reply> apply_reply_from_json(const boost::json::value& value);

} // namespace gooseberryfall::config
