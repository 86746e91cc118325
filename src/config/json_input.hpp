#pragma once

#include "config/problem.hpp"
#include "config/raw_value.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberryfall::config {

// Conversion between JSON values and raw tables.

/// Raw table from the members of a JSON object, except those named in `excluded`. `key_path` is the
/// path of the object in problems. Adds a problem if the value is not an object. Thread-safe.
raw_table to_raw_table(const boost::json::value& value, const std::string& key_path,
                       const std::vector<std::string>& excluded, problem_list& problems);

/// Elements of the array that is the member `name` of an object. Adds a problem and returns an
/// empty vector if there is no such array. Thread-safe.
std::vector<boost::json::value> read_array(const boost::json::value& value, const std::string& name,
                                           const std::string& key_path, problem_list& problems);

/// JSON object with the fields as members. Thread-safe.
boost::json::object to_json_object(const std::vector<raw_field>& fields);

} // namespace gooseberryfall::config
