#include "process/job_history.hpp"

#include "core/core.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <thread>

namespace http = gooseberryfall::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds poll_step{50};
constexpr std::chrono::seconds event_limit{60};
/// `deployment.batch_partitions` in the settings of `process_deployment`.
constexpr std::uint32_t partitions = 4;

using clock_type = std::chrono::steady_clock;

/// Engine, times and end of each run whose body holds `mark`, so that a failure tells which run was
/// cut off and by what.
std::string runs_text(const std::vector<process_deployment::seen_request>& seen,
                      const std::string& mark)
{
    const auto by_arrival = [](const auto& left, const auto& right) {
        return left.at_us < right.at_us;
    };
    const auto first = std::min_element(seen.begin(), seen.end(), by_arrival);
    std::string text;
    for (const auto& request : seen) {
        if (request.body.find(mark) != std::string::npos) {
            text += "; engine " + std::to_string(request.engine) + " at " +
                    std::to_string(request.at_us - first->at_us) + " us, left after " +
                    std::to_string(request.ended_us - request.at_us) + " us: " + request.end;
        }
    }
    return text;
}

} // namespace

std::string job_lines(const std::string& name, std::uint32_t items, std::uint32_t tokens)
{
    std::string lines;
    for (std::uint32_t index = 0; index < items; ++index) {
        lines += R"({"model":"m","messages":[{"role":"user","content":"<)" + name + " item " +
                 std::to_string(index) + R"(>"}],"max_tokens":)" + std::to_string(tokens) + "}\n";
    }
    return lines;
}

http::call_result submit_lines(const process_deployment& deployment, std::uint32_t instance,
                               const std::string& job_key, const std::string& lines,
                               bool repeatable)
{
    return http::call(deployment.callers(instance), "POST", "/v1/batches?model=m",
                      {{"Authorization", std::string("Bearer ") + job_team_key},
                       {"Idempotency-Key", job_key},
                       {"Repeatable", repeatable ? "true" : "false"}},
                      lines, event_limit);
}

std::string submit_until_accepted(process_deployment& deployment, std::uint32_t instances,
                                  const std::string& job_key, const std::string& lines,
                                  bool repeatable)
{
    const auto end = clock_type::now() + event_limit;
    for (std::uint32_t turn = 0; clock_type::now() < end; ++turn) {
        const std::uint32_t number = turn % instances;
        if (deployment.instance(number).running()) {
            const auto answer = submit_lines(deployment, number, job_key, lines, repeatable);
            if (answer.head.status == 200) {
                return json_field(answer.body, "id");
            }
        }
        std::this_thread::sleep_for(poll_step);
    }
    return {};
}

std::optional<std::uint32_t> holder_of(const process_deployment& deployment, std::uint32_t asked,
                                       const std::string& job)
{
    const std::string shard = "batch-" + std::to_string(gooseberryfall::core::partition_of(
                                             gooseberryfall::core::job_id(job), partitions));
    const auto answer = http::call(deployment.operators(asked), "GET", "/v1/status",
                                   {{"Authorization", "Bearer operator-token"}});
    if (answer.head.status != 200) {
        return std::nullopt;
    }
    const json::value status = json::parse(answer.body);
    for (const json::value& member : status.at("members").as_array()) {
        for (const json::value& held : member.at("shards").as_array()) {
            if (held.as_string() == shard) {
                const std::string name(member.at("instance").as_string());
                return static_cast<std::uint32_t>(std::stoul(name.substr(2)));
            }
        }
    }
    return std::nullopt;
}

std::map<std::uint32_t, std::uint32_t>
times_seen(const std::vector<process_deployment::seen_request>& seen, const std::string& name)
{
    const std::string mark = "<" + name + " item ";
    std::map<std::uint32_t, std::uint32_t> counts;
    for (const auto& request : seen) {
        const std::size_t found = request.body.find(mark);
        if (found != std::string::npos) {
            ++counts[static_cast<std::uint32_t>(
                std::stoul(request.body.substr(found + mark.size())))];
        }
    }
    return counts;
}

bool wait_until_seen(const process_deployment& deployment, const std::string& name,
                     std::size_t count)
{
    const auto end = clock_type::now() + event_limit;
    while (clock_type::now() < end) {
        if (times_seen(deployment.seen(), name).size() >= count) {
            return true;
        }
        std::this_thread::sleep_for(poll_step);
    }
    return false;
}

std::string results_text(const process_deployment& deployment, std::uint32_t instance,
                         const std::string& job)
{
    std::string text;
    std::string from = "0";
    const std::string path = "/v1/batches/" + job + "/results?from=";
    const auto end = clock_type::now() + event_limit;
    while (!from.empty() && clock_type::now() < end) {
        const auto page = deployment.get(instance, job_team_key, path + from);
        if (page.head.status != 200 || page.outcome != http::call_outcome::completed) {
            std::this_thread::sleep_for(poll_step);
            continue;
        }
        text += page.body;
        from = page.head.headers.get("Next-From");
    }
    return from.empty() ? text : text + "(the rest could not be read)\n";
}

std::string check_results(const std::string& results, std::uint32_t items)
{
    std::istringstream lines(results);
    std::string line;
    std::uint32_t expected = 0;
    while (std::getline(lines, line)) {
        if (json_field(line, "index") != std::to_string(expected)) {
            return "instead of result " + std::to_string(expected) + " there is " + line;
        }
        ++expected;
    }
    if (expected != items) {
        return std::to_string(expected) + " results of " + std::to_string(items) + " items";
    }
    return {};
}

std::string check_seen_once(const process_deployment& deployment, const std::string& name,
                            std::uint32_t items)
{
    const auto seen = deployment.seen();
    const auto counts = times_seen(seen, name);
    for (std::uint32_t index = 0; index < items; ++index) {
        const auto found = counts.find(index);
        const std::uint32_t times = found == counts.end() ? 0 : found->second;
        if (times != 1) {
            return "item " + std::to_string(index) + " was seen " + std::to_string(times) +
                   " times" + runs_text(seen, "<" + name + " item " + std::to_string(index) + ">");
        }
    }
    return {};
}
