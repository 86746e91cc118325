#pragma once

#include "config/problem.hpp"
#include "config/raw_value.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberryfall::config {

// Conversion between JSON values and raw tables.

/// Fields of an object with simple values; `place` is its prefix in problems. Members named in
/// `apart` are left out. Adds a problem if the value is not an object. Thread-safe.
raw_table table_of(const boost::json::value& value, const std::string& place,
                   const std::vector<std::string>& apart, problem_list& faults);

/// Elements of the array that is the member `name` of an object. Adds a problem and returns nothing
/// if there is no such array. Thread-safe.
std::vector<boost::json::value> array_of(const boost::json::value& value, const std::string& name,
                                         const std::string& place, problem_list& faults);

/// Object of the fields. Thread-safe.
boost::json::object object_of(const std::vector<raw_field>& fields);

} // namespace gooseberryfall::config
