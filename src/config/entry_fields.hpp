#pragma once

#include "config/fields.hpp"

#include "core/fleet.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::config {

/// Fields of an entry, declared once for TOML, JSON and descriptions. Specialised for each kind.
/// Thread-safe.
template <class Entry>
const field_table<Entry>& entry_fields();

template <>
const field_table<core::team>& entry_fields();
template <>
const field_table<core::api_key>& entry_fields();
template <>
const field_table<core::model>& entry_fields();
template <>
const field_table<core::service>& entry_fields();
template <>
const field_table<core::target>& entry_fields();

/// Kinds in the order of `core::entry_kind`. Thread-safe.
const std::vector<std::string>& kind_names();

/// `kind.field` of every field. Thread-safe.
std::vector<std::string> entry_field_names();

/// Fields of an entry; see `write_fields`. Thread-safe.
std::vector<raw_field> write_entry(const core::fleet_entry& entry, bool defaults);

} // namespace gooseberryfall::config
