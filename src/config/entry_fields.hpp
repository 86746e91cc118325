#pragma once

#include "config/fields.hpp"

#include "core/fleet.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::config {

/// Table of the fields of an entry, shared by TOML, JSON and descriptions. Specialised for each
/// kind of entry. Thread-safe.
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

/// Names of the kinds of entries, in the order of `core::entry_kind`. Thread-safe.
const std::vector<std::string>& entry_kind_names();

/// Names of all fields of all kinds, each as `kind.field`. Thread-safe.
std::vector<std::string> entry_field_names();

/// Fields of an entry with their values; see `write_fields` for `defaults`. Thread-safe.
std::vector<raw_field> write_entry(const core::fleet_entry& entry, bool defaults);

} // namespace gooseberryfall::config
