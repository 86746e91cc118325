#pragma once

#include "http/http.hpp"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::stand_ins {

/// Settings of `model_engine`.
struct engine_options {
    std::string id;
    std::uint32_t slots = 8;
    /// Events of each stream, and the time between them.
    std::uint32_t events = 10;
    std::chrono::milliseconds event_gap{5};
};

/// A run that an engine began.
struct engine_run {
    std::string request;
    std::string path;
    std::string team;
    bool had_key = false;
    /// Event after which the run went on.
    std::optional<std::uint64_t> after;
    bool finished = false;
    bool caller_left = false;
};

/// A model engine as the targets' protocol describes it: streams events with rising ids, resumes
/// after one, and refuses what expects another engine or exceeds its slots. Thread-safe.
class model_engine {
public:
    explicit model_engine(engine_options options);
    ~model_engine();
    model_engine(const model_engine&) = delete;
    model_engine& operator=(const model_engine&) = delete;
    model_engine(model_engine&&) = delete;
    model_engine& operator=(model_engine&&) = delete;

    const std::string& id() const { return options_.id; }
    /// `ip:port`.
    std::string address() const;

    /// Cuts every stream after this many of its events; 0 for none.
    void cut_after(std::uint32_t events) { cut_after_ = events; }
    /// Refuses every request as not run.
    void refuse(bool refuses) { refuses_ = refuses; }
    /// Takes requests and never answers.
    void be_silent(bool silent) { silent_ = silent; }
    /// Answers every request with this status and its signature; 0 for the usual answer.
    void answer_with(unsigned status) { status_ = status; }
    /// Answers with the id of another request.
    void answer_for_others(bool others) { others_ = others; }

    std::vector<engine_run> runs() const;
    /// Runs under way.
    std::size_t running() const;

    /// Its entry in the store, with the address at which it is reached if that is not its own.
    std::string entry(bool draining = false, const std::string& reached_at = "") const;

    /// Body of a whole stream for this path.
    static std::string whole_stream(const std::string& path, std::uint32_t events);

    /// Text that an item of this path has in the end: the data of all its events.
    static std::string whole_text(const std::string& path, std::uint32_t events);

private:
    struct stream;

    void handle(const http::request& received, const std::shared_ptr<http::responder>& caller);
    void step(const std::shared_ptr<stream>& of);
    void end(const std::shared_ptr<stream>& of);

    engine_options options_;
    std::atomic<std::uint32_t> cut_after_{0};
    std::atomic<bool> refuses_{false};
    std::atomic<bool> silent_{false};
    std::atomic<unsigned> status_{0};
    std::atomic<bool> others_{false};
    mutable std::mutex mutex_;
    std::vector<engine_run> runs_;
    std::size_t running_ = 0;
    std::vector<std::shared_ptr<http::responder>> unanswered_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    http::event_loop loop_{"engine"};
    std::unique_ptr<http::server> server_;
    std::uint16_t port_ = 0;
};

} // namespace gooseberryfall::stand_ins
