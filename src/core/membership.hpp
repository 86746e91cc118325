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
    /// Time between rounds while there is fresh news, or a majority is first asked for. Takeover
    /// has 700 ms beside the silence bound and the takeover wait to stay within 6 s.
    duration urgent_interval = std::chrono::milliseconds(100);
    /// Members probed in a round: ring successors and one picked by the round number, and as many
    /// again whose last answer is missing. Keeps the cost independent of the number of members.
    std::uint32_t fan_out = 3;
    /// Probes that must be unanswered before a member is suspect, so that one lost message makes
    /// no suspicion.
    std::uint32_t unanswered_bound = 3;
    /// Silence after which a probed member is suspect.
    duration silence_bound = std::chrono::seconds(2);
    /// Part of the silence bound left when others are warned, so that the member can refute the
    /// suspicion before it takes effect.
    duration refutation_time = std::chrono::milliseconds(500);
    /// Time after which the warning about a member that stays silent is spread again, for members
    /// that missed it.
    duration warning_interval = std::chrono::seconds(5);
    /// Time without a tick after which this process was itself paused, so that the others' silence
    /// says nothing.
    duration pause_bound = std::chrono::seconds(1);
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
    /// Precondition: fan-out and intervals are above 0.
    explicit membership(membership_settings settings);

    /// Members in force. Suspicions of earlier incarnations are dropped.
    void set_members(const std::map<instance_id, member>& members, time_point now);

    /// The platform's list, which lags.
    void set_list(const std::vector<listed_instance>& list, time_point now);

    /// This instance is leaving; said with every probe and answer.
    void set_leaving();

    /// Sends due probes to `out`. `ask_all` asks every member in each round: needed while the log
    /// cannot be read or a majority's answer is awaited. The first such rounds come quickly.
    void tick(time_point now, log_offset applied_next, bool ask_all, std::vector<send_peer>& out);

    /// A probe came in; the answer goes to `out`. Its address is empty if the sender is not a
    /// member, as it is the case before its join; the caller knows it from the envelope.
    void on_probe(const incarnation_id& from, const probe& message, log_offset applied_next,
                  time_point now, std::vector<send_peer>& out);

    /// An answer came in. Nothing if it belongs to no probe of this instance, or does not come from
    /// the incarnation that is the member.
    std::optional<matched_answer> on_answer(const incarnation_id& from, const probe_answer& message,
                                            time_point now);

    /// Any message came in, which proves that the member is there.
    void on_heard(const incarnation_id& from, time_point now);

    /// Condition of a member; suspect if it is none. A member that was never heard is suspect only
    /// after the silence bound.
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

    /// Serving members in the order in which a caller should use them: by data centre, the near one
    /// first; within one the `preferred` members first, names rotated by `spread` for balance.
    /// Valid until the next `set_members`.
    std::vector<const member*> directory(const data_centre_id& near,
                                         const std::set<instance_id>& preferred,
                                         std::uint64_t spread, time_point now) const;

    /// Number of probes and answers sent.
    std::uint64_t messages_sent() const { return messages_sent_; }

    /// Bytes of memory that the state takes, estimated.
    std::size_t memory() const;

private:
    struct peer_state {
        member info;
        /// Since when the member is silent while probes are unanswered; unset if none is open.
        std::optional<time_point> silent_since;
        /// Probes sent since then.
        std::uint32_t unanswered = 0;
        std::optional<time_point> last_heard;
        /// When another member's warning came.
        std::optional<time_point> warned_at;
        /// When this instance last warned the others.
        std::optional<time_point> warning_sent;
        /// First list without the member.
        std::optional<time_point> unlisted_since;
        std::uint64_t refutation = 0;
        bool leaving = false;
        std::map<std::uint64_t, time_point> open_probes;
    };

    struct spreading_news {
        member_news news;
        /// Messages that still carry it.
        std::uint32_t left = 0;
    };

    bool is_self(const instance_id& id) const { return id == settings_.self.instance; }

    /// Member state of this very incarnation, or null.
    peer_state* find_peer(const incarnation_id& incarnation);
    bool is_suspect(const peer_state& peer, time_point now) const;
    bool round_due(time_point now, bool ask_all);
    bool spread_due(time_point now);
    std::set<instance_id> choose_probed(bool ask_all, time_point now);
    void add_successors(std::set<instance_id>& chosen) const;
    void add_unanswered(std::set<instance_id>& chosen, time_point now) const;
    void add_random(std::set<instance_id>& chosen, std::size_t count) const;
    void send_probe(const instance_id& id, log_offset applied_next, time_point now,
                    std::vector<send_peer>& out);
    void warn_of(peer_state& peer, time_point now);
    void heard(peer_state& peer, time_point now);
    void forget_silence(time_point now);
    void add_news(const member_news& news);
    std::vector<member_news> take_news();
    void apply_news(const std::vector<member_news>& news, time_point now);
    void apply_own_news(const member_news& news);
    void apply_peer_news(peer_state& peer, const member_news& news, time_point now);

    membership_settings settings_;
    /// All members, this instance included if it is one.
    std::map<instance_id, peer_state> peers_;
    /// The others, sorted.
    std::vector<instance_id> order_;
    /// Members whose probes are unanswered.
    std::set<instance_id> unanswered_;
    std::deque<spreading_news> news_;
    bool leaving_ = false;
    bool asked_all_ = false;
    /// Rounds of asking all that follow at the urgent interval.
    std::uint32_t urgent_rounds_ = 0;
    /// Rounds of spreading fresh news that follow at the urgent interval.
    std::uint32_t spread_rounds_ = 0;
    std::uint64_t round_ = 0;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t refutation_ = 0;
    std::optional<time_point> last_round_;
    std::optional<time_point> last_spread_;
    std::optional<time_point> last_tick_;
    std::optional<time_point> last_list_;
    std::uint64_t messages_sent_ = 0;
};

} // namespace gooseberryfall::core
