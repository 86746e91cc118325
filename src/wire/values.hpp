#pragma once

#include "core/fleet.hpp"
#include "core/records.hpp"
#include "core/types.hpp"
#include "wire/generated/gooseberryfall.capnp.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace gooseberryfall::wire {

// Private to this library: conversion of values that several messages share. `read` functions throw
// `conversion_error` or `kj::Exception`; the codecs turn both into text.

/// Input that is a well-formed message, but not one of this protocol.
class conversion_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Throws for a member of a union that this version does not know.
[[noreturn]] void unknown_kind(const char* what, unsigned number);

std::string read_text(capnp::Text::Reader text);
std::string read_data(capnp::Data::Reader data);
core::digest read_digest(capnp::Data::Reader data);

/// Throws if the number is not finite, since no comparison holds for such numbers.
double read_number(double number);

capnp::Text::Reader text_of(const std::string& text);
capnp::Data::Reader data_of(const std::string& data);
capnp::Data::Reader data_of(const core::digest& data);

/// Identifier from text.
template <class Id>
Id read_id(capnp::Text::Reader text)
{
    return Id(read_text(text));
}

/// Converts a list with `read`, which takes a reader of one element.
template <class List, class Read>
auto read_list(List list, Read read)
{
    std::vector<decltype(read(list[0]))> items;
    for (auto element : list) {
        items.push_back(read(element));
    }
    return items;
}

/// Fills a list of the same size with `write`, which takes a builder and an item.
template <class List, class Items, class Write>
void write_list(List list, const Items& items, Write write)
{
    unsigned index = 0;
    for (const auto& item : items) {
        write(list[index], item);
        ++index;
    }
}

std::int64_t milliseconds_of(core::wall_time time);
core::wall_time wall_time_of(std::int64_t milliseconds);

core::incarnation_id read(schema::Incarnation::Reader reader);
void write(schema::Incarnation::Builder builder, const core::incarnation_id& value);

core::fleet_entry read(schema::FleetEntry::Reader reader);
void write(schema::FleetEntry::Builder builder, const core::fleet_entry& value);

core::entry_key read(schema::EntryKey::Reader reader);
void write(schema::EntryKey::Builder builder, const core::entry_key& value);

core::item_status read(schema::ItemStatus value);
schema::ItemStatus to_schema(core::item_status value);

} // namespace gooseberryfall::wire
