#include "process/caller_traffic.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace http = gooseberryfall::http;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool caller_answer::succeeded() const
{
    const bool ended = !request.stream || body.find("data: [DONE]") != std::string::npos;
    return status == 200 && whole && ended;
}

bool caller_answer::is_own() const
{
    if (!request.plain_path.empty()) {
        return body.find(request.text) != std::string::npos;
    }
    const std::string count = "\"completion_tokens\":" + std::to_string(request.tokens) + "}";
    return body.find(count) != std::string::npos;
}

caller_answer send_request(const process_deployment& deployment, std::uint32_t instance,
                           const caller_request& request)
{
    const std::string key = "key-" + request.team;
    std::string body = "{\"model\":\"m\",\"user\":\"" + request.team +
                       "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + request.text +
                       "\"}],\"max_tokens\":" + std::to_string(request.tokens) +
                       (request.stream ? ",\"stream\":true}" : "}");
    http::header_fields headers{{"Authorization", "Bearer " + key},
                                {"Content-Type", "application/json"}};
    if (!request.repeatable) {
        headers.set("Repeatable", "false");
    }
    const bool plain = !request.plain_path.empty();
    const auto begin = steady_clock::now();
    auto result = http::call(deployment.callers(instance), "POST",
                             plain ? request.plain_path : "/v1/chat/completions", headers,
                             plain ? request.text : body, request.limit);
    caller_answer answer;
    answer.request = request;
    answer.instance = instance;
    answer.status = result.head.status;
    answer.whole = result.outcome == http::call_outcome::completed;
    answer.body = std::move(result.body);
    answer.code = error_field(answer.body, "code");
    answer.run = error_field(answer.body, "run");
    answer.took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
    return answer;
}

void caller_traffic::every(milliseconds interval, std::function<void()> step)
{
    threads_.emplace_back([this, interval, step = std::move(step)] {
        auto next = steady_clock::now();
        while (!stopped_) {
            step();
            next = std::max(next + interval, steady_clock::now());
            std::this_thread::sleep_until(next);
        }
    });
}

void caller_traffic::add(caller_answer answer)
{
    const std::lock_guard lock(mutex_);
    answers_.push_back(std::move(answer));
}

void caller_traffic::stop()
{
    stopped_ = true;
    for (std::thread& thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

std::vector<caller_answer> caller_traffic::answers() const
{
    const std::lock_guard lock(mutex_);
    return answers_;
}

void target_history::read()
{
    std::set<std::tuple<std::uint32_t, std::int64_t, std::string>> known;
    for (const auto& request : requests_) {
        known.emplace(request.engine, request.at_us, request.body);
    }
    for (auto& request : deployment_.seen()) {
        if (known.emplace(request.engine, request.at_us, request.body).second) {
            requests_.push_back(std::move(request));
        }
    }
}

std::size_t target_history::count(const std::string& text) const
{
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [&](const auto& request) {
            return request.body.find(text) != std::string::npos;
        }));
}

std::vector<std::int64_t> target_history::arrivals(const std::string& team) const
{
    std::vector<std::int64_t> times;
    for (const auto& request : requests_) {
        if (request.body.find("\"user\":\"" + team + "\"") != std::string::npos) {
            times.push_back(request.at_us);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

double worst_excess(const std::vector<std::int64_t>& arrivals_us, double rate, double burst)
{
    constexpr double us_per_second = 1e6;
    double worst = -burst;
    // Over a window from arrival i to arrival j: j - i + 1 <= burst + rate * (t_j - t_i), so it is
    // enough to keep the smallest i - rate * t_i so far.
    double smallest = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < arrivals_us.size(); ++index) {
        const double minted =
            rate * static_cast<double>(arrivals_us[index] - arrivals_us.front()) / us_per_second;
        const double level = static_cast<double>(index) - minted;
        smallest = std::min(smallest, level);
        worst = std::max(worst, level - smallest + 1 - burst);
    }
    return worst;
}
