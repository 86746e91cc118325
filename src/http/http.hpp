#pragma once

#include "http/client.hpp"
#include "http/compression.hpp"
#include "http/event_loop.hpp"
#include "http/header_fields.hpp"
#include "http/memory_account.hpp"
#include "http/message.hpp"
#include "http/server.hpp"
#include "http/upload_admission.hpp"
