/// Stand-in for a model engine or, with --plain, for a plain service, as docs/protocols.md
/// specifies them.

#include "engine_state.hpp"
#include "stand_in.hpp"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "Port to listen on; 0 selects a free one");
DEFINE_int32(slots, 8, "Maximum of concurrent requests");
DEFINE_int32(prefill_ms, 20,
             "Time to the first token without a cached prompt prefix, in milliseconds");
DEFINE_int32(prefill_cached_ms, 5,
             "Time to the first token with the prompt prefix in the cache, in milliseconds");
DEFINE_int32(token_ms, 5, "Time between tokens, in milliseconds");
DEFINE_int32(default_tokens, 20, "Tokens of a response if the request sets no max_tokens");
DEFINE_int32(cache_entries, 64, "Prompt prefixes that fit into the cache");
DEFINE_int32(report_lag_ms, 100, "Age of the load report, in milliseconds");
DEFINE_bool(plain, false, "Run as a plain service instead of an engine");
DEFINE_int32(plain_ms, 5, "Response time of a plain service, in milliseconds");

namespace stand_ins = gooseberryfall::stand_ins;
namespace http = gooseberryfall::http;

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for a model engine or a plain service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    stand_ins::block_termination_signals();
    stand_ins::engine_settings settings;
    settings.slots = static_cast<std::uint32_t>(FLAGS_slots);
    settings.prefill_time = std::chrono::milliseconds(FLAGS_prefill_ms);
    settings.cached_prefill_time = std::chrono::milliseconds(FLAGS_prefill_cached_ms);
    settings.token_interval = std::chrono::milliseconds(FLAGS_token_ms);
    settings.default_tokens = static_cast<std::uint32_t>(FLAGS_default_tokens);
    settings.cache_entries = static_cast<std::size_t>(FLAGS_cache_entries);
    settings.report_lag = std::chrono::milliseconds(FLAGS_report_lag_ms);
    settings.plain = FLAGS_plain;
    settings.plain_response_time = std::chrono::milliseconds(FLAGS_plain_ms);

    http::event_loop loop("engine");
    stand_ins::engine_state state(loop, settings);
    http::server_settings listener_settings;
    listener_settings.port = static_cast<std::uint16_t>(FLAGS_port);
    http::server_handlers handlers;
    handlers.handle = [&state](const http::request& request,
                               const std::shared_ptr<http::responder>& responder) {
        state.handle(request, responder);
    };
    http::server server(loop, listener_settings, std::move(handlers));
    return stand_ins::run_until_signal(server.start());
}
