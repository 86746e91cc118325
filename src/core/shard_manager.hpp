#pragma once

#include "core/control_state.hpp"
#include "core/currency.hpp"
#include "core/records.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace gooseberryfall::core {

/// Settings of `shard_manager`.
struct shard_settings {
    incarnation_id self;
    std::uint32_t limit_shards = 32;
    std::uint32_t batch_partitions = 16;
    /// Wait between a majority's knowledge of a claim and the first act, when the last holder did
    /// not release the shard: currency bound, grant lifetime and clock margin.
    duration takeover_wait = std::chrono::milliseconds(3300);
    /// Time between releases for balance, so that a new member does not move all shards at once.
    duration balance_interval = std::chrono::seconds(1);
    /// Longest time for which a shard that is to move for balance starts no work while its open
    /// work ends. A shard that is still busy then stays for `fallback_hold`: work that takes longer
    /// would otherwise stand still, or be cut off and run again.
    duration drain_limit = std::chrono::seconds(10);
    /// Time for which a holder must stay silent to this instance after a majority has been asked,
    /// so that a holder that only others suspect can still answer.
    duration confirm_time = std::chrono::milliseconds(60);
    /// Age of a majority's answers up to which a silent holder's shard may be claimed; older
    /// answers may be from before this instance was cut off.
    duration majority_age = std::chrono::seconds(1);
    /// Time after which a claim or release that has not been read back is ordered again.
    duration retry_interval = std::chrono::seconds(3);
    /// Time after which the next instance in rendezvous order claims a shard that the one before it
    /// leaves alone, for example because it cannot write to the log.
    duration fallback_interval = std::chrono::seconds(2);
    /// Time for which a shard that was claimed as a fallback, or was too busy to move, is not
    /// moved.
    duration fallback_hold = std::chrono::seconds(60);
};

/// State of one shard at this instance.
enum class shard_phase { absent, claiming, waiting, held, releasing };

/// What the manager wants done.
struct shard_orders {
    /// Shards to claim with one record.
    std::vector<lease_claim::item> claims;
    /// Shards that begin to be held: the caller prepares them.
    std::vector<shard_id> acquired;
    /// Shards that this instance holds no more, because another one claimed them.
    std::vector<shard_id> lost;
    /// Shards to give up; the caller stops acting on them, adds levels and appends the release. A
    /// release that was not read back is ordered again.
    std::vector<lease_release::item> releases;
    /// Whether a majority's knowledge is awaited, so that probes should ask all members.
    bool awaiting_majority = false;
};

/// Whether a shard has open work.
using busy_check = std::function<bool(const shard_id&)>;

/// Decides which leases this instance claims, holds and gives up. The rendezvous hash over serving
/// members says who should hold a shard. A lease machine (Boost.MSM) for each shard. Not
/// thread-safe.
class shard_manager {
public:
    explicit shard_manager(shard_settings settings);
    ~shard_manager();
    shard_manager(const shard_manager&) = delete;
    shard_manager& operator=(const shard_manager&) = delete;
    shard_manager(shard_manager&&) = delete;
    shard_manager& operator=(shard_manager&&) = delete;

    /// The control state changed, or time has passed. `serving` are the members that should hold
    /// shards, `reachable` those that are not suspect; both sorted. Must be called after every
    /// change of the control state before `held_epoch` is asked. `is_busy` tells whether a
    /// shard has open work, which is ended before it moves for balance; asked only about shards
    /// that are to move. Nothing is done while the state is incomplete.
    shard_orders update(const control_state& state, const currency& freshness,
                        const std::vector<instance_id>& serving,
                        const std::vector<instance_id>& reachable, const busy_check& is_busy,
                        time_point now);

    /// From now on all shards are given up and none is claimed. A shard is given up once the log
    /// can be read, since nobody could take it before.
    void set_leaving();

    /// Phase of a shard.
    shard_phase phase(const shard_id& shard) const;

    /// Epoch under which this instance holds the shard, if it may act on it, given a current
    /// control state; the caller checks currency.
    std::optional<lease_epoch> held_epoch(const shard_id& shard) const;

    /// Whether the shard is about to move for balance, so that no new work is to be started.
    bool draining(const shard_id& shard) const;

    /// Shards held.
    std::vector<shard_id> held() const;

    /// Whether no shard is held, claimed or being released. A shard whose claim no majority knows
    /// does not count while leaving.
    bool idle() const;

    /// All shards of the deployment.
    std::vector<shard_id> all_shards() const;

private:
    struct machine;
    struct situation;

    void rank_candidates(const std::vector<instance_id>& serving);
    void follow_log(machine& entry, const situation& seen, shard_orders& orders);
    void follow_lease(machine& entry, const situation& seen, shard_orders& orders);
    void follow_wait(machine& entry, const situation& seen, shard_orders& orders);
    void follow_retry(machine& entry, const situation& seen, shard_orders& orders);
    void consider_claim(machine& entry, const situation& seen, shard_orders& orders);
    bool may_claim(machine& entry, const situation& seen, shard_orders& orders) const;
    void release(machine& entry, time_point now, shard_orders& orders);
    void balance(const situation& seen);
    void follow_drain(machine& entry, const situation& seen, shard_orders& orders);
    bool is_misplaced(const machine& entry, const situation& seen) const;

    shard_settings settings_;
    std::map<shard_id, std::unique_ptr<machine>> machines_;
    /// Serving members for which the candidates of each shard were ranked.
    std::vector<instance_id> ranked_;
    /// When a lease of any shard was last seen to change.
    std::optional<time_point> last_change_;
    bool leaving_ = false;
};

} // namespace gooseberryfall::core
