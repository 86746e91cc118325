#pragma once

#include "edge/peer_socket.hpp"
#include "http/event_loop.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Settings of `fleet_service`.
struct fleet_settings {
    /// Between two reports to the leader, and between two words of the leader to all.
    std::chrono::milliseconds interval{200};
    /// The leader's word carries the members and targets when they have changed, and at least this
    /// often.
    std::chrono::milliseconds full_interval{2000};
    /// An instance whose reports stay away for this long is not named to callers any more.
    std::chrono::milliseconds member_silence{800};
    /// An instance that has not heard from the store for so long does not take the lead before
    /// others.
    std::chrono::milliseconds store_silence{1300};
    /// A leader gives way to an instance that has heard from the store so much later. More than the
    /// interval of the reads: while the store is away for all, ages differ by less.
    std::chrono::milliseconds store_lead{900};
    /// An instance whose reports stay away for this long has gone for good.
    std::chrono::milliseconds member_lifetime{30000};
    /// Time in which a new leader gathers what the instances have spent of the limits: two reports.
    std::chrono::milliseconds learning_time{450};
    serving::limit_tolerance tolerance;
    serving::leadership_settings leadership;
    serving::scheduler_settings scheduler;
};

/// What this instance tells about itself.
struct own_condition {
    bool ready = false;
    bool leaving = false;
    std::vector<serving::owned_partition> partitions;
    std::vector<serving::reported_run> runs;
    serving::team_counts spent;
};

/// Callbacks of `fleet_service`, on the loop's thread.
struct fleet_callbacks {
    std::function<own_condition()> condition;
    /// A message for this instance's own work: a reply to a call or an order to yield.
    std::function<void(const serving::peer_message&)> on_work_message;
    /// The leader has a newer desired state than this instance.
    std::function<void(const core::instance_id& leader, std::uint64_t version)> on_newer_state;
    /// A member has gone for good.
    std::function<void(const serving::fleet_member&)> on_member_gone;
};

/// This instance among the others: who leads, who lives, and, while this one leads, the placement
/// of all requests. For the loop's thread.
class fleet_service {
public:
    fleet_service(http::event_loop& loop, kernel::logger& logger, kernel::metrics& metrics,
                  fleet_settings settings, serving::fleet_member self, fleet_callbacks callbacks);
    ~fleet_service();
    fleet_service(const fleet_service&) = delete;
    fleet_service& operator=(const fleet_service&) = delete;
    fleet_service(fleet_service&&) = delete;
    fleet_service& operator=(fleet_service&&) = delete;

    /// Opens the socket at the own id. Returns the reason if it cannot.
    tl::expected<void, std::string> start();

    /// Time has passed; to be called every 20 ms.
    void tick(core::time_point now);

    /// The desired state in force.
    void set_state(const serving::desired_state& state);

    /// Targets as the store lists them. Ignored while another instance leads.
    void set_targets(const std::vector<serving::target_entry>& targets);

    /// All instances that are registered.
    void set_members(const std::vector<serving::fleet_member>& members);

    /// When the newest answer of the store was asked for; unset if there has been none.
    void set_store_read_at(std::optional<core::time_point> at) { store_read_at_ = at; }

    /// Gives a message to whoever leads. False if nobody is known to.
    bool tell_leader(const serving::peer_message& message);

    /// Sends a message to another instance.
    void send(const core::instance_id& to, const serving::peer_message& message);

    const core::instance_id& self_id() const { return leadership_.self().id; }
    bool leads() const { return leadership_.leads(); }
    bool has_leader() const;

    /// Whether the store's list of targets has to be read by this instance.
    bool wants_targets() const { return leads() || !has_leader(); }

    /// Instances that live and take callers, as far as known.
    std::vector<serving::fleet_member> ready_members() const;

    /// A job partition's owner, as far as known: of several, the one with the highest epoch.
    struct partition_owner {
        core::instance_id instance;
        std::uint64_t epoch = 0;
    };
    std::optional<partition_owner> owner_of(std::uint32_t partition) const;

    /// Targets for placing without the leader.
    const std::vector<serving::target_entry>& known_targets() const { return targets_; }

    /// Number of instances that share the work.
    std::size_t member_count() const;

    /// Tells the others that this instance goes.
    void leave();

    /// Stops to send and receive.
    void stop();

private:
    struct member_state {
        serving::fleet_member member;
        bool registered = false;
        bool ready = false;
        bool leaving = false;
        /// Age of what it has read from the store, as of `reported_at`.
        std::chrono::milliseconds store_age{0};
        /// Its last report to this instance; unset if there was none since this one leads.
        std::optional<core::time_point> reported_at;
        serving::team_counts spent;
        bool spent_is_complete = false;
        core::time_point heard_at{};
        bool alive = false;
        bool forgotten = true;
        std::vector<serving::owned_partition> partitions;
    };

    void on_message(const core::instance_id& from, serving::peer_message message);
    void take_report(const core::instance_id& from, const serving::instance_report& report,
                     core::time_point now);
    void check_version(const core::instance_id& of, std::uint64_t version);
    void on_digest(const serving::fleet_digest& digest);
    void deliver(const std::vector<serving::addressed_message>& messages);
    void log_denial(const core::instance_id& to, const serving::peer_message& message);
    void begin_leading(core::time_point now);
    void learn_spending(core::time_point now);
    void check_members(core::time_point now);
    serving::instance_report make_report(core::time_point now) const;
    void send_digest(bool resigning, core::time_point now);
    serving::fleet_digest make_digest(bool full) const;
    double limit_share() const;
    std::chrono::milliseconds store_age(core::time_point now) const;
    bool others_know_more(core::time_point now) const;

    http::event_loop& loop_;
    kernel::logger& logger_;
    fleet_settings settings_;
    fleet_callbacks callbacks_;
    peer_socket socket_;
    serving::leadership leadership_;
    serving::fleet_placement placement_;
    std::map<core::instance_id, member_state> members_;
    std::vector<serving::target_entry> targets_;
    std::uint64_t state_version_ = 0;
    std::optional<core::time_point> store_read_at_;
    bool led_before_ = false;
    core::time_point started_at_;
    /// While this instance leads and has not learnt yet what was spent.
    std::optional<core::time_point> learns_until_;
    std::optional<core::instance_id> followed_;
    core::time_point sent_at_{};
    core::time_point full_sent_at_{};
    bool digest_changed_ = true;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    kernel::gauge& leads_gauge_;
    kernel::gauge& waiting_gauge_;
    kernel::gauge& running_gauge_;
};

} // namespace gooseberryfall::edge
