#pragma once

#include "core/types.hpp"
#include "serving/retry_backoff.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace gooseberryfall::serving {

/// Sends the desired state to the instance that asked for it.
struct state_transfer {};

/// Names another instance that has the desired state.
struct state_redirect {
    core::instance_id holder;
};

/// Asks the instance to come back.
struct state_deferral {
    std::chrono::milliseconds retry_after{0};
};

using state_answer = std::variant<state_transfer, state_redirect, state_deferral>;

/// Settings of `state_distributor`.
struct distribution_settings {
    /// Transfers at the same time. They share the link of the instance, and each holds a copy of
    /// the state in memory.
    std::size_t transfers_max = 8;
    /// Instances that are sent on to the same holder.
    std::size_t redirects_per_holder = 8;
    std::chrono::milliseconds retry_after{50};
};

/// Decides how an instance answers others that ask for the desired state.
///
/// Load pattern: a desired state of some hundred kB changes, and several hundred instances ask the
/// one that announced it at the same moment. It sends the state to a few at a time. Others are sent
/// on to those that have got it, so that the number of senders grows with each round, or are told
/// when to come back. Deterministic; not thread-safe.
class state_distributor {
public:
    explicit state_distributor(distribution_settings settings = {}) : settings_(settings) {}

    /// This instance has a new version; those that got an earlier one are not holders any more.
    void set_version(std::uint64_t version);

    /// Another instance asks for the state. After a `state_transfer`, `on_transfer_ended` must be
    /// called.
    state_answer on_request(const core::instance_id& from);

    /// A transfer has ended. `version`: the version that was sent; `complete`: all of it was sent.
    void on_transfer_ended(const core::instance_id& to, std::uint64_t version, bool complete);

private:
    distribution_settings settings_;
    std::uint64_t version_ = 0;
    std::size_t transfers_ = 0;
    /// Instances that got this version from here, with the number of instances sent on to them.
    std::map<core::instance_id, std::size_t> holders_;
};

/// Settings of `state_fetcher`.
struct state_fetch_settings {
    /// Instances ask at times spread over this much for each instance of the fleet.
    std::chrono::microseconds spread_per_member{300};
    backoff_settings backoff{std::chrono::milliseconds(60), std::chrono::milliseconds(500)};
    /// Redirects that are followed before the instance that announced the version is asked again.
    std::size_t redirects_max = 6;
};

/// Decides when an instance fetches a desired state that another one has announced, and from which
/// instance. Deterministic; not thread-safe.
class state_fetcher {
public:
    explicit state_fetcher(core::instance_id self, state_fetch_settings settings = {});

    /// Another instance has announced a version. `members`: size of the fleet.
    void on_announcement(const core::instance_id& from, std::uint64_t version, std::size_t members,
                         core::time_point now);

    /// Version that is in force at this instance.
    void set_version(std::uint64_t version) { version_ = version; }

    /// Returns the instance to ask now and counts it as asked; unset if nothing is due.
    std::optional<core::instance_id> take_due_fetch(core::time_point now);

    /// The instance asked has sent a state, which has been applied if it was newer.
    void on_fetched(core::time_point now);

    /// The instance asked named another one that has the state.
    void on_redirect(const core::instance_id& holder, core::time_point now);

    /// The instance asked cannot send the state yet.
    void on_deferral(std::chrono::milliseconds retry_after, core::time_point now);

    /// The instance asked did not answer, or has no state.
    void on_failure(core::time_point now);

    /// A version has been announced that this instance does not have.
    bool is_behind() const { return announced_version_ > version_; }

private:
    core::instance_id self_;
    state_fetch_settings settings_;
    retry_backoff backoff_;
    std::uint64_t version_ = 0;
    std::uint64_t announced_version_ = 0;
    /// Instance that announced the version.
    core::instance_id origin_;
    /// Instance to ask next.
    core::instance_id source_;
    std::size_t redirects_ = 0;
    core::time_point due_at_{};
    bool in_progress_ = false;
};

/// Settings of `first_read_delay`.
struct first_read_settings {
    /// A fleet of up to this many instances reads the store at once.
    std::size_t members_free = 24;
    /// Time between two reads of the rest of the fleet. At several hundred kB for each read, the
    /// store has room for other reads.
    std::chrono::milliseconds interval{10};
};

/// Time after its start at which an instance reads the desired state from the store, unless another
/// instance has sent it by then. Load pattern: all instances of a large fleet start at once. The
/// reads of all would take seconds, so they are spread over the fleet; the leader does not wait.
/// Thread-safe.
std::chrono::milliseconds first_read_delay(const core::instance_id& self, std::size_t members,
                                           const first_read_settings& settings = {});

/// Settings of `members_read_delay`.
struct members_read_settings {
    /// Processor cores below which an instance leaves the first read to larger ones.
    double small_capacity = 0.25;
    /// Time in which the larger instances elect a leader, which then tells the others.
    std::chrono::milliseconds election_wait{150};
    std::chrono::milliseconds spread{300};
};

/// Time after its start at which an instance reads the list of instances, unless it has heard of a
/// leader by then. Load pattern: several hundred instances start at once, and the list has an entry
/// for each, so that its size times the readers would delay all other reads. Thread-safe.
std::chrono::milliseconds members_read_delay(const core::instance_id& self, double capacity,
                                             const members_read_settings& settings = {});

} // namespace gooseberryfall::serving
