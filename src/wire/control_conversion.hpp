#pragma once

#include "wire/values.hpp"

namespace gooseberryfall::wire {

// Private to this library: conversion of control records, which the log and relays carry.

core::control_checkpoint read(schema::ControlCheckpoint::Reader reader);
void write(schema::ControlCheckpoint::Builder builder, const core::control_checkpoint& value);

core::control_record read(schema::ControlRecord::Reader reader);
void write(schema::ControlRecord::Builder builder, const core::control_record& value);

} // namespace gooseberryfall::wire
