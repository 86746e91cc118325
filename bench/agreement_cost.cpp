// Prints bytes of state, messages per second and CPU time per second of one instance for agreement
// at several fleet sizes. The other instances are replaced by immediate answers.

#include "core/core.hpp"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <new>

namespace {

/// Bytes allocated and not freed; each block has a header that holds its size.
std::size_t live_bytes = 0;
constexpr std::size_t header = alignof(std::max_align_t);

} // namespace

void* operator new(std::size_t size)
{
    void* block = std::malloc(size + header);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    *static_cast<std::size_t*>(block) = size;
    live_bytes += size;
    return static_cast<char*>(block) + header;
}

void operator delete(void* memory) noexcept
{
    if (memory == nullptr) {
        return;
    }
    void* block = static_cast<char*>(memory) - header;
    live_bytes -= *static_cast<std::size_t*>(block);
    std::free(block);
}

void operator delete(void* memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace {

namespace core = gooseberryfall::core;
using std::chrono::milliseconds;

constexpr milliseconds tick_interval{20};
constexpr int measured_seconds = 60;

double cpu_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

core::incarnation_id run_of(std::size_t index)
{
    return {core::instance_id("instance-be-central-" + std::to_string(1000 + index)), 1};
}

core::team team_of(std::size_t index)
{
    core::team result;
    result.id = core::team_id("team-" + std::to_string(index));
    return result;
}

core::target target_of(std::size_t index)
{
    core::target result;
    result.id = core::target_id("engine-" + std::to_string(index));
    result.service = core::service_id("captions");
    result.address = "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250);
    result.port = 8000;
    result.data_centre = core::data_centre_id("be-central-1");
    result.slots = 16;
    return result;
}

/// Fleet of `teams` teams with a key each and 1,800 engines, as a first change.
core::fleet_difference first_change(std::size_t teams)
{
    constexpr std::size_t engines = 1800;
    core::fleet_difference change;
    change.upserts.emplace_back(core::model{core::model_id("captions-1"), 128});
    core::service service;
    service.id = core::service_id("captions");
    service.model = core::model_id("captions-1");
    change.upserts.emplace_back(service);
    for (std::size_t index = 0; index < teams; ++index) {
        const core::team owner = team_of(index);
        core::api_key key;
        key.id = core::key_id("key-" + std::to_string(index));
        key.team = owner.id;
        key.hash[0] = static_cast<std::uint8_t>(index);
        key.hash[1] = static_cast<std::uint8_t>(index / 256 + 1);
        change.upserts.emplace_back(owner);
        change.upserts.emplace_back(key);
    }
    for (std::size_t index = 0; index < engines; ++index) {
        change.upserts.emplace_back(target_of(index));
    }
    return change;
}

/// Control stream of one instance, filled record by record.
class stream {
public:
    core::control_state state;

    core::control_changes append(core::control_body body)
    {
        core::control_record record{run_of(0), ++sequence_, std::move(body)};
        return state.apply({state.next_offset(), {}, {std::move(record)}});
    }

private:
    std::uint64_t sequence_ = 0;
};

void fill_members(stream& log, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        const core::member joined{run_of(index), core::data_centre_id("be-central-1"),
                                  "10.0.0.1:8080", "10.0.0.1:8081"};
        log.append(core::member_join{log.state.members_changed_at(), joined});
    }
}

/// Membership, currency and shards of one instance as the node drives them.
class agent {
public:
    explicit agent(const core::control_state& state) : state_(state)
    {
        freshness_.set_members(state.members());
        freshness_.set_applied(state.next_offset());
        members_.set_members(state.members(), now_);
    }

    std::uint64_t sent() const { return members_.messages_sent(); }

    /// Runs for a time in which the instance is probed as often as it probes.
    void run(int seconds, bool ask_all)
    {
        constexpr int ticks_per_second = static_cast<int>(std::chrono::seconds(1) / tick_interval);
        for (int count = 0; count < seconds * ticks_per_second; ++count) {
            now_ += tick_interval;
            tick(ask_all);
        }
    }

private:
    static core::membership_settings member_settings()
    {
        core::membership_settings settings;
        settings.self = run_of(0);
        return settings;
    }

    static core::shard_settings manager_settings()
    {
        core::shard_settings settings;
        settings.self = run_of(0);
        return settings;
    }

    void tick(bool ask_all)
    {
        freshness_.log_answered(now_, state_.next_offset());
        out_.clear();
        members_.tick(now_, state_.next_offset(), ask_all, out_);
        for (const core::send_peer& sending : out_) {
            const auto& asked = std::get<core::probe>(sending.envelope.messages.front());
            const core::probe_answer answer{asked.sequence, state_.next_offset(), false, {}};
            const auto matched = members_.on_answer(sending.envelope.to, answer, now_);
            freshness_.member_answered(matched->member, matched->asked_at, matched->applied_next);
        }
        const std::vector<core::send_peer> asked = std::move(out_);
        out_.clear();
        for (const core::send_peer& sending : asked) {
            const core::probe probe{1, state_.next_offset(), {}};
            members_.on_probe(sending.envelope.to, probe, state_.next_offset(), now_, out_);
        }
        shards_.update(
            state_, freshness_, members_.serving(now_), members_.reachable(now_),
            [](const core::shard_id&) { return false; }, now_);
        freshness_.is_current(now_);
    }

    const core::control_state& state_;
    core::currency freshness_{{run_of(0), std::chrono::seconds(2)}};
    core::membership members_{member_settings()};
    core::shard_manager shards_{manager_settings()};
    core::time_point now_ = core::time_point(std::chrono::hours(1));
    std::vector<core::send_peer> out_;
};

void measure_members(std::size_t count, bool ask_all)
{
    stream log;
    fill_members(log, count);
    const std::size_t before = live_bytes;
    agent measured(log.state);
    measured.run(5, ask_all);
    const std::size_t bytes = live_bytes - before + sizeof(agent);
    const std::uint64_t sent = measured.sent();
    const double begun = cpu_seconds();
    measured.run(measured_seconds, ask_all);
    const double cpu = (cpu_seconds() - begun) / measured_seconds;
    const double rate = static_cast<double>(measured.sent() - sent) / measured_seconds;
    std::printf("%7zu  %7s  %10zu  %13.1f  %12.3f\n", count, ask_all ? "yes" : "no", bytes, rate,
                cpu * 1e3);
}

/// Seconds of CPU for one small change of a fleet with `teams` teams.
double time_of_change(stream& log, std::size_t teams)
{
    constexpr int changes = 200;
    const double begun = cpu_seconds();
    for (std::size_t count = 0; count < changes; ++count) {
        core::team changed = team_of(count % teams);
        changed.rate = 2.0 + static_cast<double>(count);
        const core::config_version base = log.state.current().version;
        if (!log.append(core::config_change{"bench", "", base, {{changed}, {}}}).config) {
            std::printf("refused: %s\n", log.state.audit().back().refused.c_str());
            std::exit(1);
        }
    }
    return (cpu_seconds() - begun) / changes;
}

double time_of_checkpoint(const core::control_state& state)
{
    constexpr int rounds = 20;
    const double begun = cpu_seconds();
    for (int round = 0; round < rounds; ++round) {
        core::control_state other;
        other.adopt(state.checkpoint());
    }
    return (cpu_seconds() - begun) / rounds;
}

void measure_control(std::size_t members, std::size_t teams)
{
    constexpr double changes_per_second = 6900.0 / 86400.0;
    const std::size_t before = live_bytes;
    stream log;
    fill_members(log, members);
    log.append(core::config_change{"bench", "", 0, first_change(teams)});
    const double change = time_of_change(log, teams);
    const std::size_t bytes = live_bytes - before;
    const double checkpoint = time_of_checkpoint(log.state);
    std::printf("%7zu  %5zu  %10zu  %9.3f  %13.3f  %13.3f\n", members, teams, bytes, change * 1e3,
                change * changes_per_second * 1e3, checkpoint * 1e3);
}

} // namespace

int main()
{
    std::printf("membership, currency and shards, driven every 20 ms for 60 s of simulated time\n");
    std::printf("members  ask_all  live bytes  messages sent/s  CPU ms per s\n");
    for (const std::size_t count : {10U, 50U, 100U, 200U, 390U}) {
        measure_members(count, false);
    }
    for (const std::size_t count : {10U, 50U, 100U, 200U, 390U}) {
        measure_members(count, true);
    }
    std::printf("\ncontrol state with 1800 targets, 6900 changes a day\n");
    std::printf("members  teams  live bytes  ms/change  CPU ms per s  ms/checkpoint\n");
    for (const std::size_t members : {10U, 50U, 100U, 200U, 390U}) {
        for (const std::size_t teams : {100U, 300U, 1000U}) {
            measure_control(members, teams);
        }
    }
    return 0;
}
