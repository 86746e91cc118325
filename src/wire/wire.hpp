#pragma once

#include "wire/batch_codec.hpp"
#include "wire/control_codec.hpp"
#include "wire/envelope_codec.hpp"
