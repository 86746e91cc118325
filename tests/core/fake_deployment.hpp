#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Several nodes in one process with a fake log, fake message delivery and fake engines, driven by
/// one simulated clock. Deterministic for a seed.
class fake_deployment {
public:
    using time_point = gooseberryfall::core::time_point;
    using duration = gooseberryfall::core::duration;

    /// What an engine saw of one dispatch.
    struct door_entry {
        time_point at;
        std::string target;
        std::string team;
        std::string job;
        std::uint32_t index = 0;
        bool online = false;
    };

    /// How a caller's call ended.
    struct call_result {
        bool ended = false;
        bool completed = false;
        gooseberryfall::core::refusal reason;
        gooseberryfall::core::job_status status;
        std::vector<gooseberryfall::core::result_reference> results;
        gooseberryfall::core::apply_reply applied;
        time_point at;
    };

    explicit fake_deployment(std::uint64_t seed, std::uint32_t instances = 5,
                             std::uint32_t batch_partitions = 4, std::uint32_t limit_shards = 8);
    ~fake_deployment();
    fake_deployment(const fake_deployment&) = delete;
    fake_deployment& operator=(const fake_deployment&) = delete;
    fake_deployment(fake_deployment&&) = delete;
    fake_deployment& operator=(fake_deployment&&) = delete;

    /// Runs for a while.
    void run_for(duration length);

    /// Runs until the condition holds, at most `limit`; returns whether it does.
    bool run_until(const std::function<bool()>& condition, duration limit);

    /// Starts all instances, applies the fleet and waits until all serve it.
    bool start(const gooseberryfall::core::fleet& state);

    // Faults.
    void kill(std::uint32_t instance);
    void restart(std::uint32_t instance);
    /// Starts an instance of another name in place of one that was killed.
    void replace(std::uint32_t instance);
    void freeze(std::uint32_t instance);
    void thaw(std::uint32_t instance);
    void cut_from_log(std::uint32_t instance, bool cut);
    void cut_from_peers(std::uint32_t instance, bool cut);
    void set_log_outage(bool outage);
    void set_lost_append_answers(double probability);
    void kill_target(const std::string& target);
    void revive_target(const std::string& target);
    /// Each dispatch whose body has this digest ends its target.
    void set_crashing(const gooseberryfall::core::digest& body);

    // Calls.
    std::uint64_t call_online(std::uint32_t instance, const std::string& key,
                              const std::string& body = "");
    std::uint64_t submit(std::uint32_t instance, const std::string& key, const std::string& job_key,
                         const std::vector<std::string>& items, bool repeatable = true);
    std::uint64_t ask_job(std::uint32_t instance, const std::string& key,
                          gooseberryfall::core::job_call call,
                          const gooseberryfall::core::job_id& job);
    std::uint64_t apply(std::uint32_t instance, gooseberryfall::core::config_version base,
                        const gooseberryfall::core::fleet_difference& change);
    void request_leave(std::uint32_t instance);

    const call_result& result(std::uint64_t call) const { return results_.at(call); }
    const std::vector<door_entry>& doors() const { return doors_; }
    gooseberryfall::core::node& node_of(std::uint32_t instance)
    {
        return *instances_[instance].node;
    }
    bool stopped(std::uint32_t instance) const { return instances_[instance].stopped; }
    std::uint32_t size() const { return static_cast<std::uint32_t>(instances_.size()); }
    time_point now() const { return now_; }
    std::mt19937_64& random() { return random_; }
    bool running(std::uint32_t instance) const { return instances_[instance].node != nullptr; }

    /// Time that an engine takes for one request.
    duration service_time = std::chrono::milliseconds(40);

    /// Digest that a test key or body has.
    static gooseberryfall::core::digest fake_digest(const std::string& text);

    /// A fleet with one engine service of model `m` and teams with keys `key-TEAM`.
    static gooseberryfall::core::fleet
    make_fleet(const std::vector<gooseberryfall::core::team>& teams, std::uint32_t targets,
               std::uint32_t slots);

private:
    struct instance_state {
        std::unique_ptr<gooseberryfall::core::node> node;
        std::uint64_t run = 0;
        std::uint32_t replaced = 0;
        bool frozen = false;
        bool cut_log = false;
        bool cut_peers = false;
        bool stopped = false;
        std::deque<gooseberryfall::core::event> backlog;
        std::uint64_t control_next = 0;
        std::map<std::uint32_t, std::uint64_t> batch_next;
        std::map<std::string, std::deque<gooseberryfall::core::action>> appends;
        std::set<std::string> appending;
    };
    struct running_dispatch {
        std::uint32_t instance = 0;
        std::uint64_t run = 0;
        gooseberryfall::core::dispatch sent;
        gooseberryfall::core::digest body{};
        bool started = false;
    };
    struct engine {
        bool alive = true;
        std::uint32_t slots = 1;
        std::deque<std::uint64_t> waiting;
        std::set<std::uint64_t> running;
    };
    struct scheduled {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const scheduled& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct online_call {
        std::string team;
        gooseberryfall::core::digest body{};
    };

    void schedule(duration delay, std::function<void()> act);
    void deliver(std::uint32_t instance, const gooseberryfall::core::event& what);
    void perform(std::uint32_t instance, gooseberryfall::core::action& what);
    void tick(std::uint32_t instance, std::uint64_t run);
    void list_instances(std::uint32_t instance, std::uint64_t run);
    void poll_control(std::uint32_t instance, std::uint64_t run);
    void poll_batch(std::uint32_t instance, std::uint64_t run, std::uint32_t partition);
    void read_control(std::uint32_t instance);
    void read_batch(std::uint32_t instance, std::uint32_t partition);
    void queue_append(std::uint32_t instance, const std::string& stream,
                      const gooseberryfall::core::action& what);
    void try_append(std::uint32_t instance, std::uint64_t run, const std::string& stream);
    void begin_dispatch(std::uint32_t instance, const gooseberryfall::core::dispatch& sent);
    void admit(const std::string& target);
    void finish(std::uint64_t key, gooseberryfall::core::dispatch_outcome outcome);
    void crash_target(const std::string& target);
    gooseberryfall::core::digest body_of(const running_dispatch& running) const;
    void begin_run(std::uint32_t instance);
    bool readable(std::uint32_t instance) const;

    template <class Reply>
    void end_call(std::uint64_t call, bool completed, const Reply& store);

    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t next_order_ = 0;
    std::priority_queue<scheduled> queue_;
    std::vector<instance_state> instances_;
    std::uint32_t batch_partitions_;
    std::uint32_t limit_shards_;
    bool outage_ = false;
    double lost_answers_ = 0;
    std::vector<gooseberryfall::core::control_group> control_;
    std::map<std::uint32_t, std::vector<gooseberryfall::core::batch_group>> batch_;
    std::map<std::string, engine> engines_;
    std::map<std::uint64_t, running_dispatch> dispatches_;
    std::map<std::pair<std::uint32_t, std::uint64_t>, std::uint64_t> dispatch_keys_;
    std::uint64_t next_dispatch_ = 1;
    std::uint64_t next_call_ = 1;
    std::map<std::uint64_t, call_result> results_;
    std::map<std::uint64_t, online_call> online_calls_;
    std::map<std::uint64_t, std::deque<gooseberryfall::core::event>> uploads_;
    std::set<gooseberryfall::core::digest> crashing_;
    std::vector<door_entry> doors_;
};
