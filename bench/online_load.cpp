#include "online_load.hpp"

#include "process/process_deployment.hpp"

#include <boost/json.hpp>

#include <thread>

namespace http = gooseberryfall::http;
namespace json = boost::json;

namespace {

constexpr std::uint32_t conversations = 6;
constexpr double flood_factor = 5;

/// Connection failures after which a request is given up.
constexpr std::uint32_t attempts_max = 3;

/// Time after the last arrival in which answers still count.
constexpr std::chrono::seconds answer_time{12};

/// Length of the prompt that the daemon and the engine take for the prefix.
constexpr std::size_t prefix_length = 280;

bool is_token(std::string_view event)
{
    return event.find("\"content\"") != std::string_view::npos;
}

} // namespace

std::string online_body(const std::string& user, std::uint32_t conversation, std::uint64_t number,
                        std::uint32_t tokens)
{
    std::string prompt = user + " conversation " + std::to_string(conversation) + " ";
    prompt.resize(prefix_length, 'x');
    prompt += " question " + std::to_string(number);
    return json::serialize(json::object{
        {"model", "m"},
        {"user", user},
        {"stream", true},
        {"max_tokens", tokens},
        {"messages", json::array{json::object{{"role", "user"}, {"content", prompt}}}}});
}

/// The callers of one team.
struct online_load::caller {
    const team_load* team = nullptr;
    double rate = 0;
    time_point next;
    std::unique_ptr<send_reckoning> reckoning;
    struct directory {
        std::vector<std::string> addresses;
        time_point fresh_until;
        bool asking = false;
    };
    std::vector<directory> directories;
    std::uint64_t number = 0;
};

struct online_load::sent_request {
    caller* from = nullptr;
    std::string body;
    std::uint32_t data_centre = 0;
    time_point planned;
    bool measured = false;
    bool within = false;
    std::uint32_t attempts = 0;
    std::uint64_t tokens = 0;
    time_point last_token;
    std::string unread;
    std::string refusal;
    bool done = false;
};

online_load::online_load(http::event_loop& loop, workload load, std::vector<std::string> instances,
                         online_load_options options)
    : loop_(loop), load_(std::move(load)), instances_(std::move(instances)),
      options_(std::move(options)), random_(options_.seed),
      client_(std::make_unique<http::client>(loop))
{
}

online_load::~online_load()
{
    // Callbacks refer to the members; the client cancels its calls first.
    client_.reset();
}

void online_load::start()
{
    loop_.run_and_wait([this] {
        const time_point now = std::chrono::steady_clock::now();
        measured_from_ = now + options_.warm_up;
        end_ = now + options_.duration;
        for (const team_load& team : load_.teams) {
            auto added = std::make_unique<caller>();
            added->team = &team;
            const bool floods = team.name == options_.flooding_team;
            added->rate = floods ? team.rate * flood_factor : team.offered;
            added->next = now;
            added->reckoning = std::make_unique<send_reckoning>(team.rate, team.burst, now);
            added->directories.resize(load_.data_centres);
            results_[team.name];
            callers_.push_back(std::move(added));
        }
        planning_ = callers_.size();
        for (const auto& each : callers_) {
            plan_next(*each);
        }
    });
}

void online_load::plan_next(caller& from)
{
    std::exponential_distribution<double> gap(from.rate);
    from.next += std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(gap(random_)));
    if (from.next >= end_) {
        --planning_;
        return;
    }
    const time_point planned = from.next;
    loop_.post_after(planned - std::chrono::steady_clock::now(), [this, &from, planned] {
        send(from, planned);
        plan_next(from);
    });
}

std::string online_load::choose_instance(caller& from, std::uint32_t data_centre)
{
    caller::directory& known = from.directories[data_centre];
    const bool stale = std::chrono::steady_clock::now() >= known.fresh_until;
    if (options_.follow_directory && stale && !known.asking) {
        refresh_directory(from, data_centre);
    }
    if (options_.follow_directory && !known.addresses.empty()) {
        return known.addresses.front();
    }
    std::uniform_int_distribution<std::size_t> any(0, instances_.size() - 1);
    return instances_[any(random_)];
}

void online_load::refresh_directory(caller& from, std::uint32_t data_centre)
{
    caller::directory& known = from.directories[data_centre];
    known.asking = true;
    std::uniform_int_distribution<std::size_t> any(0, instances_.size() - 1);
    http::client_request asking;
    asking.address = known.addresses.empty() ? instances_[any(random_)] : known.addresses.front();
    asking.target = "/v1/directory?data_centre=dc-" + std::to_string(data_centre);
    asking.headers.set("Authorization", "Bearer key-" + from.team->name);
    http::call_observer observer;
    observer.on_done = [&known](const http::call_result& result) {
        known.asking = false;
        boost::system::error_code error;
        const json::value parsed = json::parse(result.body, error);
        const bool usable = result.head.status == 200 && !error && parsed.is_object();
        if (!usable) {
            return;
        }
        std::vector<std::string> addresses;
        for (const json::value& entry : parsed.at("instances").as_array()) {
            addresses.emplace_back(entry.at("address").as_string());
        }
        if (addresses.empty()) {
            return;
        }
        known.addresses = std::move(addresses);
        known.fresh_until =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(parsed.at("valid_for_ms").to_number<std::int64_t>());
    };
    client_->start(std::move(asking), std::move(observer));
}

void online_load::send(caller& from, time_point planned)
{
    const time_point now = std::chrono::steady_clock::now();
    std::uniform_int_distribution<std::uint32_t> conversation(0, conversations - 1);
    std::uniform_int_distribution<std::uint32_t> data_centre(0, load_.data_centres - 1);
    auto request = std::make_shared<sent_request>();
    request->from = &from;
    request->body = online_body("key-" + from.team->name, conversation(random_), from.number++,
                                load_.online_tokens);
    request->data_centre = data_centre(random_);
    request->planned = planned;
    request->measured = planned >= measured_from_;
    request->within = from.reckoning->on_send(now);
    ++outstanding_;
    if (request->measured) {
        team_result& result = results_[from.team->name];
        ++result.sent;
        result.within += request->within ? 1 : 0;
    }
    attempt(request);
}

void online_load::attempt(const std::shared_ptr<sent_request>& request)
{
    ++request->attempts;
    http::client_request sending;
    sending.address = choose_instance(*request->from, request->data_centre);
    sending.method = "POST";
    sending.target = "/v1/chat/completions";
    sending.headers.set("Authorization", "Bearer key-" + request->from->team->name);
    sending.headers.set("Content-Type", "application/json");
    sending.body = request->body;
    http::call_observer observer;
    observer.on_piece = [this, request](const std::string& piece) {
        on_piece(*request, piece);
        return http::flow::proceed;
    };
    observer.on_done = [this, request, address = sending.address](const http::call_result& result) {
        const bool unreachable = result.outcome == http::call_outcome::not_sent;
        if (unreachable && request->attempts < attempts_max) {
            auto& addresses = request->from->directories[request->data_centre].addresses;
            std::erase(addresses, address);
            attempt(request);
            return;
        }
        on_done(request, result);
    };
    client_->start(std::move(sending), std::move(observer));
}

void online_load::on_piece(sent_request& request, const std::string& piece)
{
    const time_point now = std::chrono::steady_clock::now();
    team_result& result = results_[request.from->team->name];
    request.unread += piece;
    for (;;) {
        const std::size_t end = request.unread.find("\n\n");
        if (end == std::string::npos) {
            return;
        }
        const std::string_view event = std::string_view(request.unread).substr(0, end);
        if (is_token(event)) {
            if (request.measured) {
                if (request.tokens == 0) {
                    result.first_token.add(now - request.planned);
                }
                else {
                    result.between_tokens.add(now - request.last_token);
                }
            }
            ++request.tokens;
            request.last_token = now;
        }
        request.done = request.done || event == "data: [DONE]";
        if (event.find("\"error\"") != std::string_view::npos) {
            request.refusal = event.substr(std::string_view("data: ").size());
        }
        request.unread.erase(0, end + 2);
    }
}

void online_load::on_done(const std::shared_ptr<sent_request>& request,
                          const http::call_result& result)
{
    --outstanding_;
    caller& from = *request->from;
    team_result& counts = results_[from.team->name];
    const std::string body = request->refusal.empty() ? request->unread : request->refusal;
    const std::string code = error_field(body, "code");
    if (request->done && result.outcome == http::call_outcome::completed) {
        if (request->measured) {
            ++counts.completed;
            counts.within_completed += request->within ? 1 : 0;
        }
        return;
    }
    if (error_field(body, "run") == "not_run") {
        const bool wrongful = from.reckoning->on_refusal(std::chrono::steady_clock::now());
        if (request->measured) {
            ++counts.refused;
            if (wrongful && request->within) {
                ++counts.wrongful[code];
            }
        }
        return;
    }
    if (request->measured) {
        ++counts.failed[code.empty() ? http::to_text(result.outcome) : code];
    }
}

std::map<std::string, team_result> online_load::wait()
{
    const time_point last = end_ + answer_time;
    for (;;) {
        bool over = false;
        loop_.run_and_wait([&] { over = planning_ == 0 && outstanding_ == 0; });
        if (over || std::chrono::steady_clock::now() >= last) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    client_.reset();
    std::map<std::string, team_result> results;
    loop_.run_and_wait([&] { results = results_; });
    return results;
}
