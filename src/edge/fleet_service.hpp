#pragma once

#include "edge/evacuation_service.hpp"
#include "edge/peer_socket.hpp"
#include "edge/protocol.hpp"
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

/// Settings of `fleet_service` that can change while it runs.
struct dynamic_fleet_settings {
    /// An instance whose last successful read of the store is older is not eligible as leader.
    std::chrono::milliseconds store_age_max{1300};
    /// A leader resigns if another instance has read the store later by more than this. Greater
    /// than the read interval: during an outage of the store for all instances, the ages of their
    /// last reads differ by less, so that the leader stays.
    std::chrono::milliseconds store_age_margin{900};
    serving::limit_tolerance tolerance;
    /// What a cold target takes in a second beyond the rate of its service.
    serving::cold_tolerance cold;

    bool operator==(const dynamic_fleet_settings&) const = default;
};

/// Settings of `fleet_service`.
struct fleet_settings {
    /// Time in which a new leader collects from reports how much of the rate limits was used. The
    /// instances report as soon as they receive its first heartbeat.
    std::chrono::milliseconds limit_recovery_time{250};
    /// Without a leader, requests wait for this long before they are placed locally, and this
    /// instance then reads the list of targets itself. Most elections end sooner.
    std::chrono::milliseconds leader_wait{200};
    serving::leadership_settings leadership;
    serving::roster_settings roster;
    serving::scheduler_settings scheduler;
};

/// State of this instance that it reports to the leader.
struct instance_status {
    bool ready = false;
    bool leaving = false;
    std::vector<serving::owned_partition> partitions;
    std::vector<serving::reported_run> runs;
    serving::team_sent_requests recent_requests;
};

/// Callbacks of `fleet_service`; invoked on the event loop's thread.
struct fleet_callbacks {
    /// Returns the current state of this instance.
    std::function<instance_status()> local_status;
    /// A message about a request or run of this instance: a reply, an acknowledgement or a
    /// preemption order.
    std::function<void(const serving::peer_message&)> on_admission_message;
    /// The leader has a newer desired state than this instance.
    std::function<void(const core::instance_id& leader, std::uint64_t version)> on_newer_state;
    /// While this instance leads: an instance that owns job partitions has stopped reporting.
    std::function<void(const core::instance_id&)> on_owner_unresponsive;
    /// While this instance leads: a member has been unresponsive for so long that it is removed.
    std::function<void(const serving::fleet_member&)> on_member_removed;
};

/// Takes part in leader election and membership of the fleet and, while this instance leads, places
/// the requests of all instances. To be used on the event loop's thread only.
class fleet_service {
public:
    fleet_service(http::event_loop& loop, kernel::logger& logger, kernel::metrics& metrics,
                  fleet_settings settings, serving::fleet_member self, fleet_callbacks callbacks);
    ~fleet_service();
    fleet_service(const fleet_service&) = delete;
    fleet_service& operator=(const fleet_service&) = delete;
    fleet_service(fleet_service&&) = delete;
    fleet_service& operator=(fleet_service&&) = delete;

    /// Binds the socket to the address in this instance's id. Returns the reason on failure.
    tl::expected<void, std::string> start();

    /// Runs elections and sends due heartbeats, reports and updates. To be called about
    /// every 20 ms.
    void tick(core::time_point now);

    /// Replaces the dynamic settings.
    void set_dynamic_settings(const dynamic_fleet_settings& dynamic);

    /// Replaces the desired state in force.
    void set_state(const serving::desired_state& state);

    /// Replaces the targets by those in the store. Ignored unless `must_read_targets()`.
    void set_targets(const std::vector<serving::target_entry>& targets);

    /// Replaces the registered instances.
    void set_members(const std::vector<serving::fleet_member>& members);

    /// Sets when this instance sent its latest successful read of the store; unset if there has
    /// been none.
    void set_store_read_at(std::optional<core::time_point> read_at) { store_read_at_ = read_at; }

    /// Latest known time at which any instance read the store; unset if none is known.
    std::optional<core::time_point> fleet_store_read_at() const { return fleet_store_read_at_; }

    /// Makes the next tick send a report, because the status of this instance has changed.
    void trigger_report() { report_triggered_ = true; }

    /// Sends a message to the leader, or handles it directly if this instance leads. Returns false
    /// if no leader is known.
    bool send_to_leader(const serving::peer_message& message);

    /// Tells the leader that nothing listens at an instance's address, so that the leader need not
    /// wait for its reports to time out.
    void report_instance_exited(const core::instance_id& instance);

    /// Sends a message to another instance.
    void send(const core::instance_id& to, const serving::peer_message& message);

    const core::instance_id& self_id() const { return leadership_.self().id; }
    bool leads() const { return leadership_.leads(); }
    bool has_leader() const;

    /// Largest capacity of the instances that may own job partitions now, as the leader knows them;
    /// unset if there is no leader or it doesn't know all instances.
    std::optional<double> largest_owner_capacity() const;

    /// Whether the search for a leader has lasted less than `leader_wait`, so that one is likely
    /// to be found soon.
    bool expects_leader() const;

    /// Whether this instance has to read the list of targets from the store: it leads, or no leader
    /// is known or expected.
    bool must_read_targets() const { return leads() || (!has_leader() && !expects_leader()); }

    /// Instances known to be alive and ready for callers.
    std::vector<serving::fleet_member> ready_members() const;

    /// What this instance knows about requests that crash targets, bounded in number.
    serving::crash_marks crash_marks(core::time_point now) const;

    /// Adds what other sources know about requests that crash targets.
    void merge_crash_marks(const serving::crash_marks& marks, core::time_point now)
    {
        placement_.merge_crash_marks(marks, now);
    }

    /// The process that now serves as a target, as far as the list tells.
    serving::target_process identify_process(const core::target_id& target) const;

    /// A target has said in its answer to a request of this instance that it leaves: it gets no new
    /// work, and the leader is told. `target`: as `identify_process` gave it when the request was
    /// sent, since a later process may have taken its place in the list by now.
    void on_target_leaving(const serving::target_process& target, const std::string& request_id);

    /// A target has answered a request of this instance that was sent at `sent_at`, and the flags
    /// have what it says about its limit and whether it is cold. `target`: as in
    /// `on_target_leaving`.
    void on_target_response(const serving::target_process& target,
                            const target_response_flags& flags, core::time_point sent_at);

    /// Whether a process of a target has said that it leaves.
    bool is_leaving(const serving::target_process& process) const
    {
        return conditions_.is_leaving(process);
    }

    /// The evacuated data centres.
    evacuation_service& evacuations() { return evacuations_; }

    /// Whether a target is in an evacuated data centre, as far as this instance knows. Of a large
    /// fleet it knows a part of the targets; for the others the leader decides.
    bool is_evacuated(const core::target_id& target) const;

    /// Known owner of a job partition; null if unknown.
    const serving::partition_owner* owner_of(std::uint32_t partition) const
    {
        return roster_.owner_of(partition);
    }

    /// Targets last received from the leader or read from the store.
    const std::vector<serving::target_entry>& known_targets() const { return targets_; }

    /// Those of them at which this instance may place work on its own.
    std::vector<serving::target_entry> local_targets(core::time_point now) const;

    /// What cold targets may get from this instance when it places on its own, by service.
    std::map<core::service_id, serving::cold_rate> local_cold_rates() const
    {
        return cold_limits_.holder_rates(member_count());
    }

    /// Number of instances that share the work: the larger of the leader's count and the known
    /// members.
    std::size_t member_count() const;

    /// Resigns if this instance leads, and never leads again.
    void leave();

    /// Closes the socket; nothing is received afterwards.
    void stop();

private:
    void on_message(const core::instance_id& from, serving::peer_message message);
    void apply_report(const core::instance_id& from, const serving::instance_report& report,
                      core::time_point now);
    void check_state_version(const core::instance_id& sender, std::uint64_t version);
    void on_heartbeat(const serving::leader_heartbeat& heartbeat);
    void on_update(serving::fleet_update update);
    void on_leader_query(const core::instance_id& from, const serving::leader_query& query);
    void on_leader_hint(const serving::leader_hint& hint);
    void deliver(const std::vector<serving::addressed_message>& messages);
    void log_rejection(const core::instance_id& to, const serving::peer_message& message);
    void log_quarantine_events();
    void update_leadership(core::time_point now);
    /// Ends the leadership of a process that has stalled, before it decides anything.
    void end_stalled_leadership(core::time_point now);
    void become_leader(core::time_point now);
    void tick_leader(core::time_point now);
    /// Updates the metrics of the teams' shares and logs those over their share.
    void report_shares(core::time_point now);
    void tick_follower(const core::instance_id& leader, core::time_point now);
    void recover_limits(core::time_point now);
    void remove_expired_members(core::time_point now);
    void apply_targets(std::vector<serving::target_entry> targets);
    void on_evacuations_changed();
    /// Takes over what targets have said. Returns whether that changes what is known.
    bool apply_statements(const std::vector<serving::target_statement>& statements,
                          serving::statement_source source, const char* source_name,
                          core::time_point now);
    /// Takes over that targets are cold by their entries in the store, if the entries are new.
    void apply_cold_entries(const std::vector<serving::target_entry>& targets);
    void log_statement(const serving::target_statement& statement, const char* source) const;
    /// Marks the target of a run that has lost its connection as cold until its next answer.
    void note_lost_connection(const serving::slot_release& release, core::time_point now);
    void apply_cold_limits();
    /// Time for which a target is cold after its start; unset if it never is.
    std::optional<std::chrono::milliseconds>
    cold_start_of(const serving::target_process& target) const;
    serving::instance_report make_report(core::time_point now) const;
    serving::leader_heartbeat make_heartbeat(core::time_point now) const;
    void send_heartbeat(bool resigning, core::time_point now);
    /// Sends heartbeats to instances that have not reported yet, often while the term is new.
    void announce_to_unreported_peers(core::time_point now);
    void send_updates(core::time_point now);
    void send_update(const core::instance_id& to, core::time_point now);
    double limit_share() const;
    void record_store_read(core::time_point read_at);
    std::chrono::milliseconds store_age(core::time_point now) const;
    std::chrono::milliseconds uptime(core::time_point now) const;
    /// Whether the last successful read of the store is recent enough to lead.
    bool is_store_readable(core::time_point now) const;
    /// Whether another instance has read the store later by more than the margin.
    bool peers_have_newer_read() const;

    http::event_loop& loop_;
    kernel::logger& logger_;
    fleet_settings settings_;
    dynamic_fleet_settings dynamic_;
    fleet_callbacks callbacks_;
    peer_socket socket_;
    serving::leadership leadership_;
    serving::fleet_placement placement_;
    serving::fleet_roster roster_;
    /// Last view received from the leader, while another instance leads.
    serving::fleet_view leader_view_;
    /// All listed targets, and those that get new work.
    std::vector<serving::target_entry> listed_targets_;
    std::vector<serving::target_entry> targets_;
    evacuation_service evacuations_;
    serving::target_conditions conditions_;
    serving::cold_limits cold_limits_;
    /// When the next cold target gets warm.
    std::optional<core::time_point> next_warm_at_;
    std::uint64_t state_version_ = 0;
    std::optional<core::time_point> store_read_at_;
    std::optional<core::time_point> fleet_store_read_at_;
    bool was_leader_ = false;
    core::time_point started_at_;
    /// Set while this instance leads and has not yet recovered the usage of the limits.
    std::optional<core::time_point> limit_recovery_deadline_;
    /// A new leader sends no view updates before this time, so that the instances can report first.
    core::time_point updates_allowed_at_{};
    core::time_point updates_sent_at_{};
    std::uint64_t sent_revision_ = 0;
    std::optional<core::instance_id> followed_leader_;
    /// Leader to which the last report was sent.
    std::optional<core::instance_id> reported_to_;
    std::chrono::milliseconds report_interval_{0};
    /// Number of alive instances in the leader's last heartbeat.
    std::size_t announced_members_ = 0;
    /// `leader_heartbeat::largest_capacity` of that heartbeat.
    std::optional<double> announced_owner_capacity_;
    /// The list of all instances has been read from the store.
    bool members_listed_ = false;
    /// When this instance last became the leader.
    core::time_point leading_since_{};
    core::time_point term_announced_at_{};
    /// A new desired state is announced by a heartbeat ahead of its time.
    bool heartbeat_triggered_ = false;
    /// When the last heartbeat (as leader) or report (as follower) was sent.
    core::time_point last_sent_at_{};
    bool report_triggered_ = false;
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    kernel::gauge& leads_gauge_;
    kernel::gauge& waiting_gauge_;
    kernel::gauge& running_gauge_;
    kernel::gauge& slots_gauge_;
    kernel::gauge& targets_gauge_;
    kernel::gauge& refused_traits_gauge_;
    kernel::gauge& limited_targets_gauge_;
    kernel::gauge& cold_targets_gauge_;
    kernel::counter& leaving_heard_counter_;
    core::time_point shares_reported_at_{};
    kernel::gauge& teams_over_share_gauge_;
    kernel::counter_family share_refusals_;
};

} // namespace gooseberryfall::edge
