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

/// Settings of `fleet_service` that may change while it runs.
struct dynamic_fleet_settings {
    /// An instance whose last answer of the store is older is no fit leader.
    std::chrono::milliseconds store_age_max{1300};
    /// A leader gives way to an instance whose last answer of the store is newer by this. More than
    /// the interval of the reads: while the store is away for all, ages differ by less.
    std::chrono::milliseconds store_age_margin{900};
    serving::limit_tolerance tolerance;

    bool operator==(const dynamic_fleet_settings&) const = default;
};

/// Settings of `fleet_service`.
struct fleet_settings {
    /// Time in which a new leader gathers what the instances have spent of the limits. They report
    /// as soon as they hear it.
    std::chrono::milliseconds limit_recovery_time{250};
    /// Time without a leader for which work waits for one before it is placed here, and after which
    /// this instance reads the list of targets itself. A search ends sooner in most cases.
    std::chrono::milliseconds leader_wait{200};
    serving::leadership_settings leadership;
    serving::roster_settings roster;
    serving::scheduler_settings scheduler;
};

/// What this instance tells about itself.
struct instance_status {
    bool ready = false;
    bool leaving = false;
    std::vector<serving::owned_partition> partitions;
    std::vector<serving::reported_run> runs;
    serving::team_counts spent;
};

/// Callbacks of `fleet_service`, on the loop's thread.
struct fleet_callbacks {
    std::function<instance_status()> local_status;
    /// A message for this instance's own work: a reply to a call or an order to yield.
    std::function<void(const serving::peer_message&)> on_admission_message;
    /// The leader has a newer desired state than this instance.
    std::function<void(const core::instance_id& leader, std::uint64_t version)> on_newer_state;
    /// An instance that owned job partitions has fallen silent, as this one notes as the leader.
    std::function<void(const core::instance_id&)> on_owner_unresponsive;
    /// A member is removed.
    std::function<void(const serving::fleet_member&)> on_member_removed;
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

    /// Replaces the bounds.
    void set_dynamic_settings(const dynamic_fleet_settings& dynamic);

    /// The desired state in force.
    void set_state(const serving::desired_state& state);

    /// Targets as the store lists them. Ignored while another instance leads.
    void set_targets(const std::vector<serving::target_entry>& targets);

    /// All instances that are registered.
    void set_members(const std::vector<serving::fleet_member>& members);

    /// When the newest answer of the store to this instance was asked for; unset if there has been
    /// none.
    void set_store_read_at(std::optional<core::time_point> at) { store_read_at_ = at; }

    /// When any instance has read the store, as far as known.
    std::optional<core::time_point> fleet_store_read_at() const { return fleet_store_read_at_; }

    /// The next report is sent at once: what this instance tells about itself has changed.
    void trigger_report() { report_hurried_ = true; }

    /// Gives a message to the leader. False if none is known.
    bool send_to_leader(const serving::peer_message& message);

    /// Nothing listens at an instance's address: the leader need not wait for its silence.
    void report_instance_exited(const core::instance_id& instance);

    /// Sends a message to another instance.
    void send(const core::instance_id& to, const serving::peer_message& message);

    const core::instance_id& self_id() const { return leadership_.self().id; }
    bool leads() const { return leadership_.leads(); }
    bool has_leader() const;

    /// Whether a leader is likely to be found in a moment.
    bool expects_leader() const;

    /// Whether the store's list of targets has to be read by this instance.
    bool must_read_targets() const { return leads() || (!has_leader() && !expects_leader()); }

    /// Instances that live and take callers, as far as known.
    std::vector<serving::fleet_member> ready_members() const;

    /// A job partition's owner, as far as known, or null.
    const serving::partition_owner* owner_of(std::uint32_t partition) const
    {
        return roster_.owner_of(partition);
    }

    /// Targets for placing without the leader.
    const std::vector<serving::target_entry>& known_targets() const { return targets_; }

    /// Number of instances that share the work.
    std::size_t member_count() const;

    /// Tells the others that this instance goes.
    void leave();

    /// Stops to send and receive.
    void stop();

private:
    void on_message(const core::instance_id& from, serving::peer_message message);
    void take_report(const core::instance_id& from, const serving::instance_report& report,
                     core::time_point now);
    void check_version(const core::instance_id& of, std::uint64_t version);
    void on_digest(const serving::fleet_digest& digest);
    void on_update(serving::fleet_update update);
    void on_question(const core::instance_id& from, const serving::leader_question& question);
    void on_hint(const serving::leader_hint& hint);
    void deliver(const std::vector<serving::addressed_message>& messages);
    void log_denial(const core::instance_id& to, const serving::peer_message& message);
    void update_leadership(core::time_point now);
    void begin_leading(core::time_point now);
    void lead(core::time_point now);
    void follow(const core::instance_id& leader, core::time_point now);
    void learn_spending(core::time_point now);
    void check_members(core::time_point now);
    void use_targets(const std::vector<serving::target_entry>& targets);
    serving::instance_report make_report(core::time_point now) const;
    serving::fleet_digest make_digest(core::time_point now) const;
    void send_digest(bool resigning, core::time_point now);
    void send_updates(core::time_point now);
    void send_update(const core::instance_id& to, core::time_point now);
    double limit_share() const;
    void note_fleet_read(core::time_point at);
    std::chrono::milliseconds store_age(core::time_point now) const;
    std::chrono::milliseconds uptime(core::time_point now) const;
    /// Whether this instance can read the store.
    bool is_fit(core::time_point now) const;
    bool others_know_more() const;

    http::event_loop& loop_;
    kernel::logger& logger_;
    fleet_settings settings_;
    dynamic_fleet_settings dynamic_;
    fleet_callbacks callbacks_;
    peer_socket socket_;
    serving::leadership leadership_;
    serving::fleet_placement placement_;
    serving::fleet_roster roster_;
    /// What the leader has told, while another instance leads.
    serving::fleet_view view_;
    std::vector<serving::target_entry> targets_;
    std::uint64_t state_version_ = 0;
    std::optional<core::time_point> store_read_at_;
    std::optional<core::time_point> fleet_store_read_at_;
    bool led_before_ = false;
    core::time_point started_at_;
    /// While this instance leads and has not learnt yet what was spent.
    std::optional<core::time_point> learns_until_;
    /// A new leader tells of the fleet only once the instances have had time to report.
    core::time_point updates_from_{};
    core::time_point updates_sent_at_{};
    std::uint64_t updates_revision_ = 0;
    std::optional<core::instance_id> followed_;
    std::chrono::milliseconds report_interval_{0};
    /// Living instances, as the leader counts them.
    std::size_t members_told_ = 0;
    core::time_point sent_at_{};
    bool report_hurried_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    kernel::gauge& leads_gauge_;
    kernel::gauge& waiting_gauge_;
    kernel::gauge& running_gauge_;
    kernel::gauge& slots_gauge_;
    kernel::gauge& targets_gauge_;
};

} // namespace gooseberryfall::edge
