#pragma once

#include "serving/serving.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace crash_simulation {

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A request of the load.
struct request {
    serving::request_traits traits;
    /// Crashes each target that begins to answer it.
    bool crashes = false;
};

/// What became of a request.
struct outcome {
    request asked;
    core::time_point sent_at;
    /// Reached a target at least once.
    bool reached_target = false;
    bool answered = false;
};

/// Settings of `fleet`.
struct fleet_settings {
    std::uint32_t targets = 9;
    std::uint32_t slots = 8;
    std::uint32_t instances = 11;
    milliseconds first_event{50};
    milliseconds run_time{700};
    /// Time until a crashed target is back under a new id.
    milliseconds down_time{3300};
};

/// A leader's placement before targets that crash under some requests, with a clock of its own. The
/// instances send a request to another target only if the connection was refused.
class fleet {
public:
    explicit fleet(fleet_settings settings = {})
        : settings_(settings), placement_(std::make_unique<serving::fleet_placement>())
    {
        for (std::uint32_t index = 0; index < settings_.targets; ++index) {
            targets_.push_back({index, 0, now_});
        }
        publish_targets();
    }

    core::time_point now() const { return now_; }
    const std::vector<outcome>& outcomes() const { return outcomes_; }
    /// Times of the crashes.
    const std::vector<core::time_point>& crashes() const { return crashes_; }
    serving::fleet_placement& placement() { return *placement_; }

    void send(request asked)
    {
        outcomes_.push_back({std::move(asked), now_});
        ask(outcomes_.size() - 1, {});
    }

    /// Crashes a target that is up, whatever runs there.
    void crash_any(std::uint32_t index) { crash(targets_.at(index % targets_.size())); }

    /// Cuts all runs at all targets; no target crashes.
    void cut_all_runs()
    {
        for (const std::uint64_t number : run_numbers()) {
            end(number, serving::slot_outcome::broken);
        }
    }

    /// Advances by 10 ms.
    void step()
    {
        now_ += milliseconds(10);
        bool changed = false;
        for (target& each : targets_) {
            if (each.down && now_ >= each.up_at) {
                each.down = false;
                ++each.life;
                changed = true;
            }
        }
        if (changed) {
            publish_targets();
        }
        for (const std::uint64_t number : run_numbers()) {
            const auto found = runs_.find(number);
            if (found == runs_.end()) {
                continue;
            }
            const auto ran_for = now_ - found->second.started_at;
            if (ran_for >= settings_.first_event &&
                outcomes_[found->second.request].asked.crashes) {
                crash(targets_.at(found->second.target_index));
            }
            else if (ran_for >= settings_.run_time) {
                outcomes_[found->second.request].answered = true;
                end(number, serving::slot_outcome::completed);
            }
        }
        deliver(placement_->tick(now_));
    }

private:
    struct target {
        std::uint32_t index = 0;
        std::uint32_t life = 0;
        core::time_point up_at;
        bool down = false;

        core::target_id id() const
        {
            return core::target_id("t" + std::to_string(index) + "-" + std::to_string(life));
        }
    };
    struct active_run {
        std::size_t request = 0;
        std::uint32_t target_index = 0;
        core::target_id target;
        core::time_point started_at;
    };

    /// Runs at this moment; a run that ends may start another one.
    std::vector<std::uint64_t> run_numbers() const
    {
        std::vector<std::uint64_t> numbers;
        for (const auto& [number, run] : runs_) {
            numbers.push_back(number);
        }
        return numbers;
    }

    void publish_targets()
    {
        std::vector<serving::target_entry> entries;
        for (const target& each : targets_) {
            serving::target_entry entry;
            entry.id = each.id();
            entry.service = core::service_id("lm");
            entry.address = "10.0.0." + std::to_string(each.index) + ":80";
            entry.slots = settings_.slots;
            entry.started_at = each.life;
            entries.push_back(entry);
        }
        placement_->set_targets(entries, now_);
    }

    void ask(std::size_t index, const std::vector<core::target_id>& excluded)
    {
        const std::uint64_t number = ++last_number_;
        asked_[number] = {index, excluded};
        serving::admission_request admission;
        admission.slot.key = key_of(number);
        admission.slot.service = core::service_id("lm");
        admission.slot.tokens = 36;
        admission.slot.time_to_objective = milliseconds(300);
        admission.slot.time_to_deadline = seconds(5);
        admission.slot.excluded = excluded;
        admission.traits = outcomes_[index].asked.traits;
        deliver(placement_->on_admission_request(admission, now_));
    }

    serving::run_key key_of(std::uint64_t number) const
    {
        const auto instance = number % settings_.instances;
        return {core::instance_id("10.1.0." + std::to_string(instance) + ":7180"), number};
    }

    void deliver(const std::vector<serving::addressed_message>& messages)
    {
        for (const auto& [to, message] : messages) {
            const auto* reply = std::get_if<serving::admission_reply>(&message);
            const auto* granted = reply == nullptr
                                      ? nullptr
                                      : std::get_if<serving::admission_granted>(&reply->result);
            if (granted != nullptr) {
                start(reply->number, granted->target);
            }
        }
    }

    void start(std::uint64_t number, const core::target_id& id)
    {
        const auto [index, excluded] = asked_.at(number);
        for (target& each : targets_) {
            if (each.id() != id) {
                continue;
            }
            runs_[number] = {index, each.index, id, now_};
            if (!each.down) {
                outcomes_[index].reached_target = true;
                return;
            }
            end(number, serving::slot_outcome::unreachable);
            if (excluded.size() < 3) {
                std::vector<core::target_id> more = excluded;
                more.push_back(id);
                ask(index, more);
            }
            return;
        }
    }

    void crash(target& crashed)
    {
        if (crashed.down) {
            return;
        }
        crashed.down = true;
        crashed.up_at = now_ + settings_.down_time;
        crashes_.push_back(now_);
        for (const std::uint64_t number : run_numbers()) {
            if (runs_.contains(number) && runs_.at(number).target == crashed.id()) {
                end(number, serving::slot_outcome::broken);
            }
        }
    }

    void end(std::uint64_t number, serving::slot_outcome outcome)
    {
        const active_run ended = runs_.at(number);
        runs_.erase(number);
        serving::slot_release release;
        release.run_result.key = key_of(number);
        release.run_result.outcome = outcome;
        const auto duration = std::chrono::duration_cast<milliseconds>(now_ - ended.started_at);
        release.run_result.duration = duration;
        const bool crashes = outcomes_[ended.request].asked.crashes;
        if (duration >= settings_.first_event && !crashes) {
            release.run_result.first_event_delay = settings_.first_event;
        }
        release.target = ended.target;
        release.traits = outcomes_[ended.request].asked.traits;
        deliver(placement_->on_slot_release(release, now_));
    }

    fleet_settings settings_;
    core::time_point now_{seconds(1000)};
    std::unique_ptr<serving::fleet_placement> placement_;
    std::vector<target> targets_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, std::pair<std::size_t, std::vector<core::target_id>>> asked_;
    std::map<std::uint64_t, active_run> runs_;
    std::vector<outcome> outcomes_;
    std::vector<core::time_point> crashes_;
};

/// Settings of `load`.
struct load_settings {
    int per_second = 40;
    /// Shared first parts and, below them, parts of sessions.
    std::uint64_t beginnings = 40;
    std::uint64_t sessions = 575;
    double crashing_share = 0.05;
    /// All requests with the crashing part have the same beginning and session, which sound
    /// requests share.
    bool same_companions = true;
};

/// Draws requests of one route: a shared beginning, a session and a part of their own. Some hold
/// the part that crashes targets besides.
class load {
public:
    load(load_settings settings, std::uint32_t seed) : settings_(settings), random_(seed) {}

    static constexpr std::uint64_t crashing_part = 0xdead;
    static constexpr std::uint64_t shared_beginning = 10'000;
    static constexpr std::uint64_t shared_session = 20'000;

    request draw(bool with_crashing)
    {
        request drawn;
        drawn.traits.fingerprint = 1'000'000 + ++count_;
        drawn.traits.parts = {10'000 + random_() % settings_.beginnings,
                              20'000 + random_() % settings_.sessions};
        std::uniform_real_distribution<double> share(0, 1);
        if (with_crashing && share(random_) < settings_.crashing_share) {
            drawn.crashes = true;
            if (settings_.same_companions) {
                drawn.traits.parts = {shared_beginning, shared_session};
            }
            drawn.traits.parts.push_back(crashing_part);
        }
        return drawn;
    }

    milliseconds interval() const { return milliseconds(1000 / settings_.per_second); }

private:
    load_settings settings_;
    std::mt19937 random_;
    std::uint64_t count_ = 0;
};

} // namespace crash_simulation
