#pragma once

#include "process/process_deployment.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// A request of a caller, each with a text that no other request has.
struct caller_request {
    std::string team = "namur";
    std::string text;
    std::uint32_t tokens = 5;
    bool stream = false;
    bool repeatable = true;
    /// Path of a plain service in place of inference, called with POST.
    std::string plain_path;
    std::chrono::milliseconds limit = std::chrono::seconds(20);
};

/// What the caller got for a request.
struct caller_answer {
    caller_request request;
    std::uint32_t instance = 0;
    unsigned status = 0;
    /// Whether the answer ended as HTTP says, that is with its whole length or its last chunk.
    bool whole = false;
    std::string body;
    std::string code;
    std::string run;
    std::chrono::milliseconds took{0};

    bool succeeded() const;
    /// Whether a successful answer belongs to this request. The number of tokens tells.
    bool is_own() const;
};

/// Sends a request and waits for its end. Thread-safe.
caller_answer send_request(const process_deployment& deployment, std::uint32_t instance,
                           const caller_request& request);

/// Callers that send on threads of their own until `stop`. Thread-safe.
class caller_traffic {
public:
    caller_traffic() = default;
    ~caller_traffic() { stop(); }
    caller_traffic(const caller_traffic&) = delete;
    caller_traffic& operator=(const caller_traffic&) = delete;
    caller_traffic(caller_traffic&&) = delete;
    caller_traffic& operator=(caller_traffic&&) = delete;

    /// Calls `step` on a new thread every `interval` until `stop`; a late step is not made up for.
    void every(std::chrono::milliseconds interval, std::function<void()> step);
    void add(caller_answer answer);
    void stop();
    std::vector<caller_answer> answers() const;
    /// A text that no other request of the test has.
    std::string next_text() { return "text-" + std::to_string(next_++) + "-end"; }

private:
    mutable std::mutex mutex_;
    std::vector<caller_answer> answers_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::uint64_t> next_ = 1;
};

/// Requests that the targets saw; keeps those of engines that were killed since.
class target_history {
public:
    explicit target_history(const process_deployment& deployment) : deployment_(deployment) {}

    /// Reads the targets' records; called before an engine is killed, and at the end.
    void read();
    /// How often all targets together saw a text.
    std::size_t count(const std::string& text) const;
    /// Times at which requests of a team arrived at engines, ascending.
    std::vector<std::int64_t> arrivals(const std::string& team) const;
    const std::vector<process_deployment::seen_request>& requests() const { return requests_; }

private:
    const process_deployment& deployment_;
    std::vector<process_deployment::seen_request> requests_;
};

/// Largest number of arrivals by which a window exceeds burst + rate * window; at most 0 if the
/// limit held.
double worst_excess(const std::vector<std::int64_t>& arrivals_us, double rate, double burst);
