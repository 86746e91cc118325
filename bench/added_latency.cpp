#include "added_latency.hpp"

#include "online_load.hpp"

#include <future>
#include <optional>

namespace http = gooseberryfall::http;

namespace {

using time_point = std::chrono::steady_clock::time_point;

std::optional<std::chrono::nanoseconds> first_token(http::client& client,
                                                    const std::string& address,
                                                    const std::string& key, const std::string& body)
{
    http::client_request sending;
    sending.address = address;
    sending.method = "POST";
    sending.target = "/v1/chat/completions";
    sending.headers.set("Authorization", "Bearer " + key);
    sending.body = body;
    std::optional<time_point> first;
    std::promise<http::call_result> ended;
    http::call_observer observer;
    observer.on_piece = [&first](const std::string& piece) {
        if (!first && piece.find("\"content\"") != std::string::npos) {
            first = std::chrono::steady_clock::now();
        }
        return http::flow::proceed;
    };
    observer.on_done = [&ended](http::call_result result) { ended.set_value(std::move(result)); };
    const time_point begin = std::chrono::steady_clock::now();
    client.start(std::move(sending), std::move(observer));
    const http::call_result result = ended.get_future().get();
    if (!first || result.head.status != 200) {
        return std::nullopt;
    }
    return *first - begin;
}

} // namespace

bool added_latency::measure(const std::string& instance, const std::string& engine,
                            const std::string& key, std::uint32_t count)
{
    http::event_loop loop("added");
    http::client client(loop);
    constexpr std::uint32_t warm_up = 20;
    for (std::uint32_t number = 0; number < count + warm_up; ++number) {
        const std::string body = online_body(key, 0, number, 1);
        const auto direct = first_token(client, engine, key, body);
        const auto through = first_token(client, instance, key, body);
        if (!direct || !through) {
            return false;
        }
        if (number >= warm_up) {
            direct_.add(*direct);
            through_.add(*through);
        }
    }
    return true;
}
