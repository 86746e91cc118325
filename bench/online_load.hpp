#pragma once

#include "http/http.hpp"
#include "latency_histogram.hpp"
#include "send_reckoning.hpp"
#include "workload.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// How online requests are sent.
struct online_load_options {
    std::chrono::milliseconds duration{12000};
    /// Requests that arrive in this time are not counted.
    std::chrono::milliseconds warm_up{2000};
    /// Whether callers use the directory's first instance; a random one otherwise.
    bool follow_directory = true;
    /// Team that sends five times its rate; none if empty.
    std::string flooding_team;
    std::uint64_t seed = 1;
};

/// What a team got.
struct team_result {
    std::uint64_t sent = 0;
    /// Sent within rate and burst by the caller's reckoning, and how many of these were answered
    /// completely.
    std::uint64_t within = 0;
    std::uint64_t within_completed = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    /// Refused as not run although within rate and burst, by code.
    std::map<std::string, std::uint64_t> wrongful;
    /// Neither complete nor refused as not run, by code or outcome.
    std::map<std::string, std::uint64_t> failed;
    latency_histogram first_token;
    latency_histogram between_tokens;
};

/// Sends a workload's online requests, as Poisson arrivals that do not wait for answers. Times to
/// the first token count from the planned arrival. One use only; not thread-safe.
class online_load {
public:
    /// Precondition: `loop` outlives this object; `instances` are the callers' addresses.
    online_load(gooseberryfall::http::event_loop& loop, workload load,
                std::vector<std::string> instances, online_load_options options);
    ~online_load();
    online_load(const online_load&) = delete;
    online_load& operator=(const online_load&) = delete;
    online_load(online_load&&) = delete;
    online_load& operator=(online_load&&) = delete;

    /// Starts the arrivals.
    void start();
    /// Waits until all arrivals are over and answered, at most some seconds after the last one.
    /// Returns the results by team.
    std::map<std::string, team_result> wait();

    std::chrono::steady_clock::time_point measured_from() const { return measured_from_; }
    std::chrono::steady_clock::time_point measured_to() const { return end_; }

private:
    using time_point = std::chrono::steady_clock::time_point;
    struct caller;
    struct sent_request;

    void plan_next(caller& from);
    void send(caller& from, time_point planned);
    void attempt(const std::shared_ptr<sent_request>& request);
    void on_piece(sent_request& request, const std::string& piece);
    void on_done(const std::shared_ptr<sent_request>& request,
                 const gooseberryfall::http::call_result& result);
    std::string choose_instance(caller& from, std::uint32_t data_centre);
    void refresh_directory(caller& from, std::uint32_t data_centre);

    gooseberryfall::http::event_loop& loop_;
    workload load_;
    std::vector<std::string> instances_;
    online_load_options options_;
    std::mt19937_64 random_;
    time_point end_;
    time_point measured_from_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::size_t outstanding_ = 0;
    std::size_t planning_ = 0;
    std::map<std::string, team_result> results_;
    std::unique_ptr<gooseberryfall::http::client> client_;
};

/// Body of a streamed online request. Conversations of a team share a prompt prefix.
std::string online_body(const std::string& user, std::uint32_t conversation, std::uint64_t number,
                        std::uint32_t tokens);
