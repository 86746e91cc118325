#pragma once

// Stand-in for a model engine: streams events, resumes after a given one, and refuses what it
// cannot run.

#include "net.hpp"

#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

/// How an engine runs a request.
struct run_plan {
    milliseconds first_event{50};
    milliseconds event_interval{20};
    unsigned events = 10;
    /// The engine answers 500 after `first_event`.
    bool fails = false;
};

/// A request that an engine began to run.
struct engine_run {
    std::string id;
    std::string engine;
    std::string tenant;
    steady_clock::time_point begun_at;
    bool finished = false;
    steady_clock::time_point finished_at;
    /// When the engine answered 500.
    std::optional<steady_clock::time_point> failed_at;
};

struct engine_settings {
    std::string id;
    std::string service;
    std::string zone = "a";
    unsigned slots = 8;
    std::function<run_plan(const received_request&)> plan;
};

class engine {
public:
    explicit engine(engine_settings settings)
        : settings_(std::move(settings)),
          server_([this](int socket, const received_request& got) { return serve(socket, got); })
    {
    }

    const std::string& id() const { return settings_.id; }

    /// Its entry in the store.
    std::string entry() const
    {
        return json::serialize(json::object{{"service", settings_.service},
                                            {"address", server_.address()},
                                            {"zone", settings_.zone},
                                            {"version", 1},
                                            {"slots", settings_.slots},
                                            {"state", "ready"},
                                            {"cold_left_ms", 0},
                                            {"sequence", 1},
                                            {"born", 1700000000000}});
    }

    /// From now on the body of each answer is made of bytes without end, until the caller closes.
    void send_endless_bodies(bool endless) { endless_ = endless; }

    /// The bytes without end are interim responses (status 100) before a head, not a body.
    void send_interim_responses(bool interim) { interim_ = interim; }

    /// Ends for good: the listener and all connections are closed.
    void stop() { server_.stop(); }

    std::vector<engine_run> runs() const
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

    std::size_t running() const
    {
        const std::lock_guard lock(mutex_);
        return running_;
    }

    /// Bytes of endless bodies that were sent.
    std::uint64_t endless_bytes() const { return endless_bytes_; }

private:
    static constexpr std::size_t block_bytes = 64U << 10U;
    /// 800 Mbit/s for the whole engine, below the `link_mbps` of a machine.
    static constexpr std::chrono::microseconds block_time{655};

    bool serve(int socket, const received_request& got)
    {
        const std::string run_id = got.header("x-gooseberryfall-request-id");
        const std::string id_header = "X-Gooseberryfall-Request-Id: " + run_id + "\r\n";
        if (got.header("x-gooseberryfall-expect-instance") != settings_.id) {
            return send_all(socket, make_response(421, "", id_header));
        }
        std::size_t run = 0;
        {
            const std::lock_guard lock(mutex_);
            if (running_ >= settings_.slots) {
                return send_all(
                    socket,
                    make_response(503, "", id_header + "X-Gooseberryfall-Not-Executed: 1\r\n"));
            }
            ++running_;
            run = runs_.size();
            runs_.push_back({run_id,
                             settings_.id,
                             got.header("x-gooseberryfall-tenant"),
                             steady_clock::now(),
                             false,
                             {},
                             std::nullopt});
        }
        const bool keep =
            endless_ ? send_endless(socket, id_header) : send_answer(socket, got, id_header, run);
        const std::lock_guard lock(mutex_);
        --running_;
        return keep;
    }

    bool send_endless(int socket, const std::string& id_header)
    {
        std::string block(block_bytes, '#');
        if (interim_) {
            block.clear();
            while (block.size() < block_bytes) {
                block += "HTTP/1.1 100 Continue\r\n\r\n";
            }
        }
        else if (!send_all(socket, "HTTP/1.1 500 Internal Server Error\r\n" + id_header + "\r\n")) {
            return false;
        }
        while (!server_.stopping() && !peer_has_closed(socket)) {
            steady_clock::time_point turn;
            {
                const std::lock_guard lock(mutex_);
                next_block_at_ = std::max(next_block_at_, steady_clock::now()) + block_time;
                turn = next_block_at_;
            }
            std::this_thread::sleep_until(turn);
            if (!send_all(socket, block)) {
                break;
            }
            endless_bytes_ += block.size();
        }
        return false;
    }

    /// Waits; false if the caller has closed the channel meanwhile or the time limit of the run is
    /// over, which ends the run.
    bool work(int socket, milliseconds duration, steady_clock::time_point time_limit)
    {
        constexpr milliseconds step{20};
        const auto end = steady_clock::now() + duration;
        while (steady_clock::now() < end) {
            if (server_.stopping() || steady_clock::now() >= time_limit ||
                peer_has_closed(socket)) {
                return false;
            }
            std::this_thread::sleep_until(std::min(end, steady_clock::now() + step));
        }
        return !server_.stopping() && !peer_has_closed(socket);
    }

    bool send_answer(int socket, const received_request& got, const std::string& id_header,
                     std::size_t run)
    {
        const run_plan plan = settings_.plan(got);
        const std::string head = id_header + "X-Gooseberryfall-Response-Signature: s-" +
                                 got.header("x-gooseberryfall-request-id") + "\r\n";
        const std::string limit_ms = got.header("x-gooseberryfall-deadline-ms");
        const auto time_limit =
            steady_clock::now() + milliseconds(std::stoll(limit_ms.empty() ? "60000" : limit_ms));
        if (!work(socket, plan.first_event, time_limit)) {
            return false;
        }
        if (plan.fails) {
            const bool sent = send_all(socket, make_response(500, "failed", head));
            const std::lock_guard lock(mutex_);
            if (sent) {
                runs_[run].failed_at = steady_clock::now();
            }
            return sent;
        }
        if (!send_all(socket, "HTTP/1.1 200 OK\r\n" + head +
                                  "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\n")) {
            return false;
        }
        const std::string resumed = got.header("last-event-id");
        for (std::uint64_t event = resumed.empty() ? 0 : std::stoull(resumed) + 1;
             event < plan.events; ++event) {
            const std::string text =
                "id: " + std::to_string(event) + "\ndata: " + std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!send_all(socket, size + text + "\r\n") ||
                !work(socket, plan.event_interval, time_limit)) {
                return false;
            }
        }
        if (!send_all(socket, "0\r\n\r\n")) {
            return false;
        }
        const std::lock_guard lock(mutex_);
        runs_[run].finished = true;
        runs_[run].finished_at = steady_clock::now();
        return true;
    }

    engine_settings settings_;
    std::atomic<bool> endless_{false};
    std::atomic<bool> interim_{false};
    std::atomic<std::uint64_t> endless_bytes_{0};
    mutable std::mutex mutex_;
    std::vector<engine_run> runs_;
    std::size_t running_ = 0;
    steady_clock::time_point next_block_at_{};
    raw_server server_;
};

} // namespace review
