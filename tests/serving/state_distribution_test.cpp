/// Tests how a large fleet gets a new desired state, with a store of limited bandwidth.

#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};
constexpr milliseconds step{5};

/// A desired state of 1,700 routes: as the store sends it, and as instances send it.
constexpr double state_bytes = 530e3;
constexpr double compressed_bytes = 50e3;
constexpr double store_bytes_per_s = 80e6;
constexpr std::size_t fleet_size = 300;
/// A fifth of the instances have large links.
constexpr std::size_t large_instances = 60;
constexpr double large_link_bytes_per_s = 75e6;
constexpr double small_link_bytes_per_s = 3.75e6;

core::instance_id id_of(std::size_t number)
{
    return core::instance_id("10.0.0." + std::to_string(number) + ":7360");
}

std::size_t number_of(const core::instance_id& id)
{
    const std::string text = id.value().substr(std::string("10.0.0.").size());
    return std::stoul(text.substr(0, text.find(':')));
}

/// Responds to reads in the order of their arrival. A read that its caller has given up still takes
/// its share of the bandwidth.
class slow_store {
public:
    /// Starts a read and returns when it is answered.
    core::time_point read(core::time_point now)
    {
        ++calls;
        const auto duration = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(state_bytes / store_bytes_per_s));
        busy_until_ = std::max(busy_until_, now) + duration;
        return busy_until_;
    }

    std::size_t calls = 0;

private:
    core::time_point busy_until_{};
};

/// Reads the state at once and again at a fixed interval after each timeout, as instances did that
/// knew nothing of each other.
struct independent_reader {
    static constexpr milliseconds timeout{550};
    static constexpr milliseconds retry_interval{150};

    void tick(slow_store& store, core::time_point now)
    {
        if (has_state) {
            return;
        }
        if (answer_at && (now >= *answer_at || now - sent_at >= timeout)) {
            has_state = now >= *answer_at && *answer_at - sent_at < timeout;
            answer_at.reset();
        }
        if (!answer_at && !has_state && now - sent_at >= timeout + retry_interval) {
            sent_at = now;
            answer_at = store.read(now);
        }
    }

    bool has_state = false;
    core::time_point sent_at{};
    std::optional<core::time_point> answer_at;
};

/// A fleet whose instances take the state from the store or from each other.
class distributing_fleet {
public:
    /// `version`: the version that all instances have at first; 0 for none.
    explicit distributing_fleet(std::uint64_t version)
    {
        for (std::size_t number = 0; number < fleet_size; ++number) {
            instances_.push_back(std::make_unique<instance>(number));
            set_version(*instances_.back(), version);
        }
    }

    /// Runs until every running instance has the version; returns the time that it took.
    std::optional<milliseconds> run_until_all_have(std::uint64_t version, milliseconds limit)
    {
        for (milliseconds elapsed{0}; elapsed <= limit; elapsed += step) {
            advance();
            const bool all =
                std::all_of(instances_.begin(), instances_.end(), [version](const auto& each) {
                    return !each->running || each->version >= version;
                });
            if (all) {
                return elapsed;
            }
        }
        return std::nullopt;
    }

    void run_for(milliseconds length)
    {
        for (milliseconds elapsed{0}; elapsed < length; elapsed += step) {
            advance();
        }
    }

    /// The leader begins to announce its version.
    void lead(std::size_t number) { leader_ = number; }

    void kill(std::size_t number)
    {
        instance& killed = *instances_[number];
        killed.running = false;
        for (const upload& broken : std::exchange(killed.uploads, {})) {
            instances_[broken.to]->fetcher.on_failure(now_);
        }
    }

    void learn(std::size_t number, std::uint64_t version)
    {
        stored_version_ = version;
        set_version(*instances_[number], version);
    }

    void set_stored_version(std::uint64_t version) { stored_version_ = version; }

    std::size_t store_calls() const { return store_.calls; }
    std::size_t uploads_max() const { return uploads_max_; }
    std::size_t asked_max() const
    {
        std::size_t most = 0;
        for (const auto& each : instances_) {
            most = std::max(most, each->asked);
        }
        return most;
    }

private:
    struct upload {
        std::size_t to;
        std::uint64_t version;
        double bytes_left;
    };
    struct instance {
        explicit instance(std::size_t number)
            : fetcher(id_of(number)),
              link(number < large_instances ? large_link_bytes_per_s : small_link_bytes_per_s)
        {
        }
        serving::state_fetcher fetcher;
        serving::state_distributor distributor;
        serving::adaptive_timeout timeout;
        double link;
        bool running = true;
        std::uint64_t version = 0;
        std::vector<upload> uploads;
        std::size_t asked = 0;
        std::optional<core::time_point> read_answer_at;
        core::time_point read_sent_at{};
    };

    static void set_version(instance& at, std::uint64_t version)
    {
        at.version = std::max(at.version, version);
        at.fetcher.set_version(at.version);
        at.distributor.set_version(at.version);
    }

    void advance()
    {
        now_ += step;
        if (leader_ && instances_[*leader_]->running && now_ >= announced_at_ + announce_interval) {
            announced_at_ = now_;
            for (std::size_t number = 0; number < fleet_size; ++number) {
                if (number != *leader_) {
                    instances_[number]->fetcher.on_announcement(
                        id_of(*leader_), instances_[*leader_]->version, fleet_size, now_);
                }
            }
        }
        for (std::size_t number = 0; number < fleet_size; ++number) {
            if (instances_[number]->running) {
                read_store(number);
                fetch(number);
                send(*instances_[number]);
            }
        }
    }

    void read_store(std::size_t number)
    {
        instance& at = *instances_[number];
        const bool may_read = leader_ == number ||
                              now_ >= start + serving::first_read_delay(id_of(number), fleet_size);
        if (at.read_answer_at && now_ >= *at.read_answer_at) {
            at.read_answer_at.reset();
            set_version(at, stored_version_);
        }
        if (at.version == 0 && !at.read_answer_at && may_read) {
            at.read_sent_at = now_;
            at.read_answer_at = store_.read(now_);
        }
    }

    void fetch(std::size_t number)
    {
        instance& at = *instances_[number];
        const auto source = at.fetcher.take_due_fetch(now_);
        if (!source) {
            return;
        }
        ++at.asked;
        instance& from = *instances_[number_of(*source)];
        if (!from.running || from.version == 0) {
            at.fetcher.on_failure(now_);
            return;
        }
        const serving::state_answer answer = from.distributor.on_request(id_of(number));
        if (std::holds_alternative<serving::state_transfer>(answer)) {
            from.uploads.push_back({number, from.version, compressed_bytes});
            uploads_max_ = std::max(uploads_max_, from.uploads.size());
        }
        else if (const auto* redirect = std::get_if<serving::state_redirect>(&answer)) {
            at.fetcher.on_redirect(redirect->holder, now_);
        }
        else {
            at.fetcher.on_deferral(std::get<serving::state_deferral>(answer).retry_after, now_);
        }
    }

    void send(instance& from)
    {
        const double share = from.link * std::chrono::duration<double>(step).count() /
                             static_cast<double>(std::max<std::size_t>(1, from.uploads.size()));
        std::vector<upload> open;
        for (upload each : from.uploads) {
            each.bytes_left -= share;
            if (each.bytes_left > 0) {
                open.push_back(each);
                continue;
            }
            from.distributor.on_transfer_ended(id_of(each.to), each.version, true);
            instance& to = *instances_[each.to];
            set_version(to, each.version);
            to.fetcher.on_fetched(now_);
        }
        from.uploads = std::move(open);
    }

    static constexpr milliseconds announce_interval{300};

    core::time_point now_ = start;
    core::time_point announced_at_{};
    slow_store store_;
    std::uint64_t stored_version_ = 1;
    std::optional<std::size_t> leader_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::size_t uploads_max_ = 0;
};

} // namespace

// Shows the load that the distribution answers: without it, the reads of a fleet that starts at
// once end after their time limit, and their retries keep the store busy for good.
Test(state_distribution, independent_reads_of_a_large_fleet_never_end)
{
    slow_store store;
    std::vector<independent_reader> readers(fleet_size);
    for (core::time_point now = start; now < start + seconds(20); now += step) {
        for (independent_reader& reader : readers) {
            reader.tick(store, now);
        }
    }
    const auto served = std::count_if(readers.begin(), readers.end(),
                                      [](const auto& reader) { return reader.has_state; });
    cr_assert_lt(static_cast<std::size_t>(served), fleet_size / 2);
    cr_assert_gt(store.calls, 10 * fleet_size);
}

// Guards against a fleet that does not serve after the loss of all instances, because their reads
// of a large state keep each other from ending.
Test(state_distribution, all_have_the_state_soon_after_a_start_of_all)
{
    distributing_fleet fleet(0);
    // Time of an election.
    fleet.run_for(milliseconds(150));
    fleet.lead(0);
    const auto took = fleet.run_until_all_have(1, seconds(10));
    cr_assert(took.has_value());
    cr_assert_leq((*took + milliseconds(150)).count(), 2000);
    cr_assert_leq(fleet.store_calls(), fleet_size);
    cr_assert_leq(fleet.asked_max(), 10UL);
    cr_assert_leq(fleet.uploads_max(), 8UL, "each upload holds a copy of the state in memory");
}

// Guards against the same in a fleet whose leader has a small link, since all large instances are
// gone.
Test(state_distribution, a_leader_with_a_small_link_is_relieved_by_others)
{
    distributing_fleet fleet(1);
    fleet.lead(fleet_size - 1);
    fleet.learn(fleet_size - 1, 2);
    const auto took = fleet.run_until_all_have(2, seconds(10));
    cr_assert(took.has_value());
    // Alone, the leader would need 4 s.
    cr_assert_leq(took->count(), 2000);
}

// Guards against a new state that every instance reads from the store.
Test(state_distribution, a_change_is_read_from_the_store_once)
{
    distributing_fleet fleet(1);
    fleet.lead(0);
    fleet.learn(0, 2);
    const auto took = fleet.run_until_all_have(2, seconds(10));
    cr_assert(took.has_value());
    cr_assert_leq(took->count(), 1500);
    cr_assert_eq(fleet.store_calls(), 0UL);
}

// Guards against instances that keep asking a leader that has ended.
Test(state_distribution, the_next_leader_goes_on)
{
    distributing_fleet fleet(1);
    fleet.lead(fleet_size - 1);
    fleet.learn(fleet_size - 1, 2);
    fleet.run_for(milliseconds(450));
    fleet.kill(fleet_size - 1);
    fleet.learn(1, 2);
    fleet.lead(1);
    const auto took = fleet.run_until_all_have(2, seconds(10));
    cr_assert(took.has_value());
    cr_assert_leq(took->count(), 2000);
}

// Guards against a series of changes in which each is fetched by all before the next one is
// noticed.
Test(state_distribution, a_series_of_changes_ends_with_the_last)
{
    distributing_fleet fleet(1);
    fleet.lead(0);
    for (std::uint64_t version = 2; version < 27; ++version) {
        fleet.learn(0, version);
        fleet.run_for(milliseconds(60));
    }
    const auto took = fleet.run_until_all_have(26, seconds(10));
    cr_assert(took.has_value());
    cr_assert_leq(took->count(), 1500);
    // The leader announces a version six times; each takes a question, a deferral and a redirect.
    cr_assert_leq(fleet.asked_max(), 18UL);
}

// Guards against a small fleet that waits although its reads cannot overload the store.
Test(state_distribution, a_small_fleet_reads_at_once)
{
    for (std::size_t number = 0; number < 24; ++number) {
        cr_assert_eq(serving::first_read_delay(id_of(number), 24).count(), 0);
    }
    milliseconds longest{0};
    for (std::size_t number = 0; number < fleet_size; ++number) {
        longest = std::max(longest, serving::first_read_delay(id_of(number), fleet_size));
    }
    cr_assert_gt(longest.count(), 2000);
}

// Guards against reads of a list with an entry for each instance by every instance, before a leader
// is found; and against a fleet without large instances that finds none.
Test(state_distribution, small_instances_leave_the_list_to_larger_ones)
{
    std::size_t early = 0;
    for (std::size_t number = 0; number < fleet_size; ++number) {
        cr_assert_eq(serving::members_read_delay(id_of(number), 0.5).count(), 0);
        const milliseconds small = serving::members_read_delay(id_of(number), 0.12);
        cr_assert(small >= milliseconds(150) && small <= milliseconds(450));
        early += small < milliseconds(165) ? 1 : 0;
    }
    cr_assert(early > 0 && early < fleet_size / 10);
}

// Guards against instances that fail together and retry together, and against pauses that never
// become shorter again.
Test(retry_backoff, delays_grow_apart_and_start_over)
{
    const serving::backoff_settings settings{milliseconds(100), milliseconds(1000), 0.5};
    std::vector<milliseconds> first;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        serving::retry_backoff backoff(settings, seed);
        first.push_back(backoff.next_delay());
        cr_assert(first.back() >= milliseconds(50) && first.back() <= milliseconds(100));
        for (int failure = 0; failure < 40; ++failure) {
            backoff.next_delay();
        }
        const milliseconds late = backoff.next_delay();
        cr_assert(late >= milliseconds(500) && late <= milliseconds(1000));
        backoff.reset();
        cr_assert_eq(backoff.next_delay().count(), first.back().count());
    }
    std::sort(first.begin(), first.end());
    const auto distinct = std::unique(first.begin(), first.end()) - first.begin();
    cr_assert_gt(distinct, 20);
}

// Guards against a time limit that a read behind the reads of a whole fleet can never meet.
Test(retry_backoff, a_timeout_grows_until_a_response)
{
    serving::adaptive_timeout timeout;
    cr_assert_eq(timeout.timeout().count(), 550);
    for (int count = 0; count < 10; ++count) {
        timeout.on_timeout();
    }
    cr_assert_eq(timeout.timeout().count(), 4400);
    timeout.on_response();
    cr_assert_eq(timeout.timeout().count(), 550);
}
