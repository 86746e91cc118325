#include "process/process_deployment.hpp"

#include "config/config.hpp"

#include <boost/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace http = gooseberryfall::http;
namespace json = boost::json;

namespace {

constexpr const char* token = "operator-token";
constexpr std::chrono::milliseconds poll_step{100};

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

json::value parse(const std::string& text)
{
    boost::system::error_code error;
    json::value parsed = json::parse(text, error);
    return error ? json::value() : parsed;
}

std::string to_text(const json::value& value)
{
    if (value.is_string()) {
        return std::string(value.as_string());
    }
    return json::serialize(value);
}

std::string digest_of(const std::string& key)
{
    return gooseberryfall::config::to_hex(gooseberryfall::config::sha256(key));
}

std::string item_body(std::uint32_t index, std::uint32_t tokens)
{
    return "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"item " +
           std::to_string(index) + "\"}],\"max_tokens\":" + std::to_string(tokens) + "}";
}

} // namespace

std::string json_field(const std::string& object, const std::string& name)
{
    const json::value parsed = parse(object);
    if (!parsed.is_object()) {
        return {};
    }
    const json::value* found = parsed.as_object().if_contains(name);
    return found == nullptr ? std::string() : to_text(*found);
}

std::string error_field(const std::string& body, const std::string& name)
{
    return json_field(json_field(body, "error"), name);
}

process_deployment::process_deployment(deployment_options options) : options_(std::move(options))
{
    std::string pattern = std::filesystem::temp_directory_path() / "gooseberryfall-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a folder");
    }
    folder_ = pattern;
    write_file("token", token);
    instances_.resize(options_.instances);
}

process_deployment::~process_deployment()
{
    instances_.clear();
    engines_.clear();
    std::filesystem::remove_all(folder_);
}

std::string process_deployment::write_file(const std::string& name, const std::string& text) const
{
    std::string path = folder_ + "/" + name;
    std::ofstream(path) << text;
    return path;
}

bool process_deployment::start()
{
    if (!platform_.start(GOOSEBERRYFALL_PLATFORM, {}) ||
        !proxy_.start(GOOSEBERRYFALL_FAULT_PROXY, {})) {
        return false;
    }
    const std::uint32_t engines = options_.engines + (options_.plain_service ? 1 : 0);
    for (std::uint32_t number = 0; number < engines; ++number) {
        std::vector<std::string> flags = options_.engine_flags;
        flags.push_back("--slots=" + std::to_string(options_.slots));
        if (number >= options_.engines) {
            flags.emplace_back("--plain");
        }
        engines_.emplace_back();
        if (!engines_.back().start(GOOSEBERRYFALL_ENGINE, flags)) {
            return false;
        }
        engine_ports_.push_back(engines_.back().ready("port"));
        if (options_.engines_through_proxy) {
            const std::string name = "engine-" + std::to_string(number);
            const auto added = http::call(address(proxy_.ready("port")), "POST",
                                          "/control/routes?name=" + name +
                                              "&upstream=" + address(engine_ports_.back()));
            routes_[name] = static_cast<std::uint16_t>(std::stoul(json_field(added.body, "port")));
        }
    }
    for (std::uint32_t number = 0; number < options_.instances; ++number) {
        const std::string name = std::to_string(number);
        for (const std::string& route : {"log-" + name, "peer-" + name}) {
            const auto added = http::call(address(proxy_.ready("port")), "POST",
                                          "/control/routes?name=" + route +
                                              "&upstream=" + address(platform_.ready("port")));
            routes_[route] = static_cast<std::uint16_t>(std::stoul(json_field(added.body, "port")));
        }
        if (!start_instance(number)) {
            std::fprintf(stderr, "instance %u did not start\n", number);
            return false;
        }
    }
    const std::string file = write_file("fleet.toml", fleet_text());
    std::pair<int, std::string> applied{-1, ""};
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (applied.first != 0 && std::chrono::steady_clock::now() < end) {
        applied = command(0, {"apply", file});
        std::this_thread::sleep_for(poll_step);
    }
    if (applied.first != 0) {
        std::fprintf(stderr, "apply failed: %s\n", applied.second.c_str());
        return false;
    }
    return wait_until_serving(std::chrono::seconds(40));
}

std::string process_deployment::settings_text(std::uint32_t number) const
{
    const std::string name = std::to_string(number);
    std::string seeds;
    for (std::uint32_t other = 0; other < options_.instances; ++other) {
        const auto route = routes_.find("peer-" + std::to_string(other));
        if (other != number && route != routes_.end()) {
            seeds += (seeds.empty() ? "\"" : ", \"") + address(route->second) + "\"";
        }
    }
    return "[instance]\nname = \"i-" + name + "\"\ndata_centre = \"dc-" +
           std::to_string(number % options_.data_centres) + "\"\nregion = \"test\"\n" +
           "[callers]\nlisten = \"127.0.0.1:0\"\n" +
           "[peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"" +
           address(routes_.at("peer-" + name)) + "\"\nseeds = [" + seeds + "]\n" +
           "[operators]\nlisten = \"127.0.0.1:0\"\ntoken_sha256 = \"" + digest_of(token) + "\"\n" +
           "[platform]\naddresses = [\"" + address(routes_.at("log-" + name)) + "\"]\n" +
           "[deployment]\nlimit_shards = " + std::to_string(options_.limit_shards) +
           "\nbatch_partitions = " + std::to_string(options_.batch_partitions) + "\n" +
           options_.settings;
}

bool process_deployment::start_instance(std::uint32_t number)
{
    const std::string name = std::to_string(number);
    const std::string file = write_file("instance-" + name + ".toml", settings_text(number));
    if (!instances_.at(number).start(GOOSEBERRYFALL_DAEMON, {"--settings=" + file})) {
        return false;
    }
    fault("peer-" + name, "upstream=" + address(instances_[number].ready("peers")));
    return true;
}

bool process_deployment::restart_engine(std::uint32_t number)
{
    std::vector<std::string> flags = options_.engine_flags;
    flags.push_back("--slots=" + std::to_string(options_.slots));
    flags.push_back("--port=" + std::to_string(engine_ports_.at(number)));
    if (number >= options_.engines) {
        flags.emplace_back("--plain");
    }
    // While the engine was down, an outgoing connection of another process may have been given its
    // port; it is free again when that ends.
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!engines_.at(number).start(GOOSEBERRYFALL_ENGINE, flags)) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(poll_step);
    }
    return true;
}

bool process_deployment::wait_until_serving(std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    for (std::uint32_t number = 0; number < options_.instances; ++number) {
        if (!instances_[number].running()) {
            continue;
        }
        for (const auto& team : options_.teams) {
            for (;;) {
                const auto answer = ask(number, "key-" + team.name, "are you there", 1);
                if (answer.head.status == 200) {
                    break;
                }
                if (std::chrono::steady_clock::now() >= end) {
                    std::fprintf(stderr, "instance %u does not serve: %u %s\n", number,
                                 answer.head.status, answer.body.c_str());
                    return false;
                }
                std::this_thread::sleep_for(poll_step);
            }
        }
    }
    return true;
}

std::string process_deployment::callers(std::uint32_t number) const
{
    return address(instances_.at(number).ready("callers"));
}

std::string process_deployment::operators(std::uint32_t number) const
{
    return address(instances_.at(number).ready("operators"));
}

std::string process_deployment::engine_address(std::uint32_t number) const
{
    return address(engine_ports_.at(number));
}

std::string process_deployment::platform_address() const
{
    return address(platform_.ready("port"));
}

void process_deployment::fault(const std::string& route, const std::string& change)
{
    const auto changed =
        http::call(address(proxy_.ready("port")), "POST", "/control?name=" + route + "&" + change);
    if (changed.head.status != 200) {
        throw std::runtime_error("fault " + route + " " + change + ": " + changed.body);
    }
}

http::call_result process_deployment::control_platform(const std::string& target)
{
    return http::call(platform_address(), "POST", target);
}

void process_deployment::control_engine(std::uint32_t number, const std::string& query)
{
    http::call(engine_address(number), "POST", "/control?" + query);
}

std::string process_deployment::fleet_text() const
{
    std::string text = "[[model]]\nname = \"m\"\nexpected_tokens = 5\n"
                       "[[service]]\nname = \"captions\"\nkind = \"engine\"\nmodel = \"m\"\n";
    if (options_.plain_service) {
        text += "[[service]]\nname = \"studio\"\nkind = \"plain\"\npath_prefix = \"/studio/\"\n"
                "[[service]]\nname = \"open\"\nkind = \"plain\"\npath_prefix = \"/open/\"\n"
                "open = true\n";
    }
    for (const auto& team : options_.teams) {
        text += "[[team]]\nname = \"" + team.name + "\"\nrate = " + std::to_string(team.rate) +
                "\nburst = " + std::to_string(team.burst) +
                "\nweight = " + std::to_string(team.weight) + "\n[[key]]\nname = \"" + team.name +
                "-1\"\nteam = \"" + team.name + "\"\nhash = \"" + digest_of("key-" + team.name) +
                "\"\n";
    }
    for (std::uint32_t number = 0; number < engines_.size(); ++number) {
        const bool plain = number >= options_.engines;
        const std::string name = "engine-" + std::to_string(number);
        const std::uint16_t port =
            options_.engines_through_proxy ? routes_.at(name) : engine_ports_[number];
        for (const std::string& service : plain ? std::vector<std::string>{"studio", "open"}
                                                : std::vector<std::string>{"captions"}) {
            const std::string target = plain ? service + "-1" : name;
            std::ostringstream entry;
            entry << "[[target]]\nname = \"" << target << "\"\nservice = \"" << service
                  << "\"\naddress = \"127.0.0.1\"\nport = " << port
                  << "\ndata_centre = \"dc-0\"\nslots = " << options_.slots << "\n";
            text += entry.str();
        }
    }
    return text;
}

std::pair<int, std::string>
process_deployment::command(std::uint32_t instance, const std::vector<std::string>& arguments) const
{
    std::vector<std::string> all{"--instance=" + operators(instance),
                                 "--token_file=" + folder_ + "/token", "--author=tester"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return run_program(GOOSEBERRYFALL_COMMAND, all);
}

http::call_result process_deployment::ask(std::uint32_t instance, const std::string& key,
                                          const std::string& text, std::uint32_t tokens,
                                          std::chrono::milliseconds limit) const
{
    const std::string body = "{\"model\":\"m\",\"user\":\"" + key +
                             "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + text +
                             "\"}],\"max_tokens\":" + std::to_string(tokens) + "}";
    return http::call(callers(instance), "POST", "/v1/chat/completions",
                      {{"Authorization", "Bearer " + key}, {"Content-Type", "application/json"}},
                      body, limit);
}

http::call_result process_deployment::submit(std::uint32_t instance, const std::string& key,
                                             const std::string& job_key, std::uint32_t items,
                                             bool repeatable, std::uint32_t tokens) const
{
    std::string body;
    for (std::uint32_t index = 0; index < items; ++index) {
        body += item_body(index, tokens) + "\n";
    }
    return http::call(callers(instance), "POST", "/v1/batches?model=m",
                      {{"Authorization", "Bearer " + key},
                       {"Idempotency-Key", job_key},
                       {"Repeatable", repeatable ? "true" : "false"}},
                      body, std::chrono::seconds(60));
}

http::call_result process_deployment::get(std::uint32_t instance, const std::string& key,
                                          const std::string& path) const
{
    return http::call(callers(instance), "GET", path, {{"Authorization", "Bearer " + key}});
}

http::call_result process_deployment::post(std::uint32_t instance, const std::string& key,
                                           const std::string& path) const
{
    return http::call(callers(instance), "POST", path, {{"Authorization", "Bearer " + key}}, "",
                      std::chrono::seconds(30));
}

std::optional<std::map<std::string, std::string>>
process_deployment::wait_for_job(const std::string& key, const std::string& job,
                                 std::chrono::seconds limit) const
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::uint32_t number = 0;
    while (std::chrono::steady_clock::now() < end) {
        number = (number + 1) % options_.instances;
        if (instances_[number].pid() <= 0) {
            continue;
        }
        const auto answer = get(number, key, "/v1/batches/" + job);
        if (answer.head.status == 200 && json_field(answer.body, "ended") == "true") {
            std::map<std::string, std::string> fields;
            for (const char* name : {"items", "succeeded", "failed", "cancelled"}) {
                fields[name] = json_field(answer.body, name);
            }
            return fields;
        }
        std::this_thread::sleep_for(poll_step);
    }
    return std::nullopt;
}

std::vector<std::uint32_t> process_deployment::result_indices(std::uint32_t instance,
                                                              const std::string& key,
                                                              const std::string& job) const
{
    std::vector<std::uint32_t> indices;
    std::string from = "0";
    const std::string path = "/v1/batches/" + job + "/results?from=";
    while (!from.empty()) {
        const auto page = get(instance, key, path + from);
        if (page.head.status != 200) {
            break;
        }
        std::size_t begin = 0;
        while (begin < page.body.size()) {
            const std::size_t end = page.body.find('\n', begin);
            const std::string line = page.body.substr(begin, end - begin);
            indices.push_back(static_cast<std::uint32_t>(std::stoul(json_field(line, "index"))));
            begin = end + 1;
        }
        from = page.head.headers.get("Next-From");
    }
    return indices;
}

std::vector<process_deployment::seen_request> process_deployment::seen() const
{
    std::vector<seen_request> all;
    for (std::uint32_t number = 0; number < engines_.size(); ++number) {
        const auto answer = http::call(engine_address(number), "GET", "/control/records", {}, "",
                                       std::chrono::seconds(20));
        const json::value parsed = parse(answer.body);
        if (!parsed.is_object()) {
            continue;
        }
        for (const json::value& entry : parsed.at("records").as_array()) {
            seen_request request;
            request.engine = number;
            request.at_us = entry.at("at_us").as_int64();
            request.started_us = entry.at("started_us").as_int64();
            request.ended_us = entry.at("ended_us").as_int64();
            request.path = to_text(entry.at("path"));
            request.body = to_text(entry.at("body"));
            request.end = to_text(entry.at("end"));
            for (const json::value& header : entry.at("headers").as_array()) {
                request.headers.push_back(to_text(header));
            }
            all.push_back(std::move(request));
        }
    }
    return all;
}
