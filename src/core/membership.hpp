#pragma once

#include "core/actions.hpp"
#include "core/events.hpp"
#include "core/messages.hpp"
#include "core/records.hpp"
#include "core/types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberryfall::core {

/// Settings of `membership`.
struct membership_settings {
    incarnation_id self;
    data_centre_id data_centre;
    /// Time between rounds of probes.
    duration probe_interval = std::chrono::milliseconds(500);
    /// Members probed in a round: ring successors and one picked by the round number. Keeps the
    /// cost independent of the number of members.
    std::uint32_t fan_out = 4;
    /// Silence after which a probed member is suspect.
    duration silence_bound = std::chrono::seconds(2);
    /// Time that a member must be missing from the platform's list before it counts as ended.
    duration unlisted_bound = std::chrono::seconds(30);
    /// News entries carried by one probe.
    std::uint32_t news_limit = 8;
};

/// A probe's answer, matched to its question.
struct matched_answer {
    instance_id member;
    time_point asked_at;
    log_offset applied_next = 0;
};

/// Finds out which members are there: probes them, spreads news, and follows the platform's list.
/// Cost for each round does not depend on the number of members, but for rounds that ask all. Not
/// thread-safe.
class membership {
public:
    explicit membership(membership_settings settings);

    /// Members in force. Suspicions of earlier incarnations are dropped.
    void set_members(const std::map<instance_id, member>& members, time_point now);

    /// The platform's list, which lags.
    void set_list(const std::vector<listed_instance>& list, time_point now);

    /// This instance is leaving; said with every probe and answer.
    void set_leaving();

    /// Sends due probes to `out`. `ask_all` asks every member in each round: needed while the log
    /// cannot be read or a majority's answer is awaited.
    void tick(time_point now, log_offset applied_next, bool ask_all, std::vector<send_peer>& out);

    /// A probe came in; the answer goes to `out`.
    void on_probe(const incarnation_id& from, const probe& message, log_offset applied_next,
                  time_point now, std::vector<send_peer>& out);

    /// An answer came in. Nothing if it belongs to no probe of this instance.
    std::optional<matched_answer> on_answer(const incarnation_id& from, const probe_answer& message,
                                            time_point now);

    /// Any message came in, which proves that the member is there.
    void on_heard(const incarnation_id& from, time_point now);

    /// Condition of a member. A member that was never heard is suspect only after the silence
    /// bound.
    member_condition condition(const instance_id& id, time_point now) const;

    /// Members that are alive and not leaving, this instance included if it is a member and not
    /// leaving. Sorted.
    std::vector<instance_id> serving(time_point now) const;

    /// Members that are not suspect, leaving ones included. Sorted.
    std::vector<instance_id> reachable(time_point now) const;

    /// Members that have ended by the platform's list.
    std::vector<incarnation_id> ended(time_point now) const;

    /// A member by name, or null. Valid until the next `set_members`.
    const member* find(const instance_id& id) const;

    /// Serving members in the order in which a caller should use them: `preferred` ones first
    /// within the caller's data centre, then by data centre, names rotated by `spread` for balance.
    std::vector<const member*> directory(const data_centre_id& near,
                                         const std::set<instance_id>& preferred,
                                         std::uint64_t spread, time_point now) const;

    /// Number of probes and answers sent.
    std::uint64_t messages_sent() const { return messages_sent_; }

private:
    struct peer_state {
        member info;
        /// When the first unanswered probe was sent; unset if none is open.
        std::optional<time_point> silent_since;
        std::optional<time_point> last_heard;
        std::optional<time_point> suspected_by_news;
        std::optional<time_point> unlisted_since;
        std::uint64_t refutation = 0;
        bool leaving = false;
        std::map<std::uint64_t, time_point> open_probes;
    };

    membership_settings settings_;
    std::map<instance_id, peer_state> peers_;
    std::deque<member_news> news_;
    bool self_is_member_ = false;
    bool leaving_ = false;
    std::uint64_t round_ = 0;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t refutation_ = 0;
    std::optional<time_point> last_round_;
    std::uint64_t messages_sent_ = 0;
};

} // namespace gooseberryfall::core
