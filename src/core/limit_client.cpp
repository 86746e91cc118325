#include "core/limit_client.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>

namespace gooseberryfall::core {

namespace {

/// Time over which demand is averaged.
constexpr std::chrono::milliseconds demand_window{1000};

/// Time before its expiry at which a grant is given back: tokens that expire are lost to the team.
constexpr std::chrono::milliseconds expiry_lead{150};

/// Shortest wait before a portion without tokens is asked again.
constexpr std::chrono::milliseconds shortest_wait{2};

/// Longest wait before it is asked again; tokens may come back earlier than announced.
constexpr std::chrono::milliseconds longest_wait{1000};

/// Time for which an owner that left a question unanswered is asked last.
constexpr std::chrono::seconds slow_time{1};

/// Time for which a spend is kept back at least; it also bounds the number of reports.
constexpr std::chrono::milliseconds shortest_refund_time{5};

/// Wait before tokens are borrowed ahead again after the owner kept its own.
constexpr std::chrono::milliseconds ahead_backoff{100};

/// Share of a portion's burst from which on its tokens are plentiful.
constexpr double plentiful_share = 0.5;

/// Steps in which portions count as equally full.
constexpr double fullness_steps = 8;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

struct limit_client::round {
    team_state& entry;
    const std::set<shard_id>& local;
    time_point now;
    std::vector<limit_question>& out;
    /// Portions whose open question is to be sent now.
    std::set<std::uint32_t> asked;

    bool is_local(std::uint32_t portion) const
    {
        return local.contains(entry.portions[portion].shard);
    }

    /// Whether the time has come; if not, the team is looked at again then.
    bool reached(time_point at)
    {
        if (now >= at) {
            return true;
        }
        entry.due_at = std::min(entry.due_at, at);
        return false;
    }
};

limit_client::limit_client(limit_client_settings settings) : settings_(std::move(settings))
{
    assert(settings_.limit_shards > 0);
    assert(settings_.ahead_time <= settings_.idle_time);
    assert(settings_.grant_lifetime > 2 * settings_.answer_timeout);
}

void limit_client::set_fleet(const fleet& state)
{
    std::erase_if(teams_, [&](const auto& item) { return !state.teams.contains(item.first); });
    std::erase_if(active_, [&](const team_id& id) { return !state.teams.contains(id); });
    for (const auto& [id, limits] : state.teams) {
        const auto [position, inserted] = teams_.try_emplace(id);
        team_state& entry = position->second;
        if (!inserted && entry.limits == limits) {
            continue;
        }
        entry.limits = limits;
        const auto before = static_cast<std::uint32_t>(entry.portions.size());
        const std::uint32_t count = portion_count(limits, settings_.division);
        // Portions that are gone stay listed: their grants are valid until they expire.
        entry.portions.resize(std::max(before, count));
        for (std::uint32_t portion = before; portion < count; ++portion) {
            entry.portions[portion].shard = portion_shard(id, portion, settings_.limit_shards);
        }
        if (inserted) {
            // Instances begin with different portions.
            entry.first_portion =
                static_cast<std::uint32_t>(stable_hash(settings_.self.instance.value()) % count);
        }
        for (portion_state& portion : entry.portions) {
            portion.retry_at = {};
            portion.next_token_at.reset();
            portion.empty = false;
        }
        entry.due_at = {};
    }
}

void limit_client::touch(team_state& entry, time_point now) const
{
    entry.due_at = std::min(entry.due_at, now);
}

double limit_client::demand(const team_state& entry, time_point now) const
{
    const double age = seconds(now - entry.demand_at) / seconds(demand_window);
    return entry.demand * std::exp(-std::max(0.0, age));
}

std::optional<limit_token> limit_client::take(const team_id& team, time_point now)
{
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return std::nullopt;
    }
    team_state& entry = found->second;
    // Numbers rise with time, so that the first grant is the one that expires first.
    for (auto& [number, grant] : entry.grants) {
        if (grant.available() < 1 || now >= grant.expires_at) {
            continue;
        }
        const std::uint64_t token = next_token_++;
        grant.taken.insert(token);
        grant.last_use = now;
        entry.demand = demand(entry, now) + 1 / seconds(demand_window);
        entry.demand_at = now;
        touch(entry, now);
        return limit_token{team, grant.portion, number, token, grant.expires_at};
    }
    return std::nullopt;
}

void limit_client::give_back(const limit_token& token, time_point now)
{
    const auto found = teams_.find(token.team);
    if (found == teams_.end()) {
        return;
    }
    const auto position = found->second.grants.find(token.grant);
    if (position == found->second.grants.end()) {
        return;
    }
    grant_state& grant = position->second;
    touch(found->second, now);
    if (grant.taken.erase(token.number) > 0) {
        return;
    }
    // A spend that was reported cannot be taken back: the owner may have minted in its place.
    const auto spend =
        std::find_if(grant.unreported.begin(), grant.unreported.end(),
                     [&](const unreported_spend& entry) { return entry.token == token.number; });
    if (spend != grant.unreported.end()) {
        grant.unreported.erase(spend);
        grant.account.spent -= 1;
    }
}

bool limit_client::spend(const limit_token& token, time_point now)
{
    const auto found = teams_.find(token.team);
    if (found == teams_.end()) {
        return false;
    }
    const auto position = found->second.grants.find(token.grant);
    if (position == found->second.grants.end()) {
        return false;
    }
    grant_state& grant = position->second;
    if (now >= grant.expires_at || grant.taken.erase(token.number) == 0) {
        return false;
    }
    grant.account.spent += 1;
    grant.unreported.push_back({token.number, now});
    touch(found->second, now);
    return true;
}

void limit_client::want(const team_id& team, std::uint32_t waiting, time_point now)
{
    const auto found = teams_.find(team);
    if (found == teams_.end() || found->second.waiting == waiting) {
        return;
    }
    found->second.waiting = waiting;
    touch(found->second, now);
    active_.insert(team);
}

std::vector<limit_question> limit_client::questions(const std::set<shard_id>& local, time_point now)
{
    std::vector<limit_question> out;
    for (auto position = active_.begin(); position != active_.end();) {
        team_state& entry = teams_.at(*position);
        if (now < entry.due_at) {
            ++position;
            continue;
        }
        entry.due_at = time_point::max();
        round work{entry, local, now, out, {}};
        check_grants(work);
        check_questions(work);
        choose_question(work);
        add_messages(work);
        const bool idle =
            entry.waiting == 0 && entry.grants.empty() &&
            std::none_of(entry.portions.begin(), entry.portions.end(),
                         [](const portion_state& portion) { return portion.question.has_value(); });
        position = idle ? active_.erase(position) : std::next(position);
    }
    return out;
}

/// Drops expired grants and gives back tokens that are idle or close to their expiry.
void limit_client::check_grants(round& work) const
{
    std::erase_if(work.entry.grants,
                  [&](const auto& item) { return work.reached(item.second.expires_at); });
    for (auto& [number, grant] : work.entry.grants) {
        if (grant.account.closed) {
            continue;
        }
        if (work.reached(grant.expires_at - expiry_lead)) {
            // A request that is still queued takes a new token when it leaves the queue.
            grant.taken.clear();
            grant.account.returned += grant.available();
            continue;
        }
        if (grant.available() > 0 && work.reached(grant.last_use + settings_.idle_time)) {
            grant.account.returned += grant.available();
        }
    }
}

/// Repeats questions that were not answered in time, or gives them up.
void limit_client::check_questions(round& work) const
{
    for (std::uint32_t portion = 0; portion < work.entry.portions.size(); ++portion) {
        portion_state& state = work.entry.portions[portion];
        if (!state.question || !work.reached(state.question->asked_at + settings_.answer_timeout)) {
            continue;
        }
        state.slow_until = work.now + slow_time;
        const bool late = work.now >= state.question->first_asked_at + settings_.grant_lifetime / 2;
        if (late || work.entry.waiting == 0) {
            give_up_question(work.entry, portion);
            continue;
        }
        state.question->asked_at = work.now;
        work.asked.insert(portion);
    }
}

/// The answer may be lost and the tokens with it: the grant is closed by a report.
void limit_client::give_up_question(team_state& entry, std::uint32_t portion) const
{
    portion_state& state = entry.portions[portion];
    grant_state lost;
    lost.portion = portion;
    lost.account.closed = true;
    lost.expires_at = state.question->first_asked_at + settings_.grant_lifetime;
    entry.grants[state.question->grant] = lost;
    state.question.reset();
}

void limit_client::choose_question(round& work)
{
    team_state& entry = work.entry;
    double missing = entry.waiting;
    double available = 0;
    bool asking = false;
    for (const auto& [number, grant] : entry.grants) {
        available += std::max(0.0, grant.available());
    }
    for (const portion_state& portion : entry.portions) {
        if (portion.question && work.now < portion.slow_until) {
            continue;
        }
        if (portion.question) {
            missing -= portion.question->wanted;
            asking = true;
        }
    }
    missing -= available;
    if (missing > 0) {
        if (const auto portion = choose_portion(work)) {
            open(work, *portion, missing, 0);
        }
        return;
    }
    if (asking || entry.waiting > 0) {
        return;
    }
    // Half of the time for which tokens are held is left for the answer to arrive.
    const double target = std::floor(demand(entry, work.now) * seconds(settings_.ahead_time));
    if (target < 1 || available > target / 2) {
        return;
    }
    const auto portion = choose_portion(work);
    if (!portion || work.is_local(*portion) ||
        share_left(entry, *portion, work.now) < plentiful_share) {
        return;
    }
    if (work.reached(entry.portions[*portion].ahead_at)) {
        open(work, *portion, 0, target - available);
    }
}

/// Share of the portion's burst that the owner should have by now.
double limit_client::share_left(const team_state& entry, std::uint32_t portion,
                                time_point now) const
{
    const portion_state& state = entry.portions[portion];
    const portion_limits limits = limits_of(entry.limits, portion, settings_.division);
    if (limits.burst <= 0) {
        return 0;
    }
    const double minted = limits.rate * seconds(now - state.left_at) / limits.burst;
    return std::clamp(state.left + minted, 0.0, 1.0);
}

/// Portion to ask next: the fullest ones first, since a full portion mints nothing while another is
/// empty; among them those of local owners.
std::optional<std::uint32_t> limit_client::choose_portion(round& work) const
{
    team_state& entry = work.entry;
    const std::uint32_t count = portion_count(entry.limits, settings_.division);
    std::optional<std::uint32_t> chosen;
    std::tuple<bool, int, bool> lowest;
    for (std::uint32_t step = 0; step < count; ++step) {
        const std::uint32_t portion = (entry.first_portion + step) % count;
        const portion_state& state = entry.portions[portion];
        if (state.question || !work.reached(state.retry_at)) {
            continue;
        }
        const int fullness =
            static_cast<int>(share_left(entry, portion, work.now) * fullness_steps);
        const std::tuple<bool, int, bool> order{work.now < state.slow_until, -fullness,
                                                !work.is_local(portion)};
        if (!chosen || order < lowest) {
            chosen = portion;
            lowest = order;
        }
    }
    return chosen;
}

void limit_client::open(round& work, std::uint32_t portion, double wanted, double ahead)
{
    // A question for waiting requests also brings the tokens of the requests that follow them.
    if (wanted > 0 && !work.is_local(portion)) {
        ahead = std::floor(demand(work.entry, work.now) * seconds(settings_.ahead_time));
    }
    open_question question;
    question.grant = next_grant_++;
    question.wanted = wanted;
    question.ahead = ahead;
    question.first_asked_at = work.now;
    question.asked_at = work.now;
    work.entry.portions[portion].question = question;
    work.entry.first_portion = portion + 1;
    work.asked.insert(portion);
    work.reached(work.now + settings_.answer_timeout);
}

/// Time for which a spend is kept back from reports. A short interval between tokens leaves less of
/// it, because the next request may need what is minted in place of the spent token.
duration limit_client::refund_time(const team_state& entry, std::uint32_t portion) const
{
    const double rate = limits_of(entry.limits, portion, settings_.division).rate;
    if (rate <= 0) {
        return settings_.refund_time;
    }
    const auto quarter =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(0.25 / rate));
    return std::clamp<duration>(quarter, shortest_refund_time, settings_.refund_time);
}

/// Whether a report of the grant has to leave now, by itself if need be.
bool limit_client::report_due(round& work, const grant_state& grant) const
{
    if (grant.account.returned != grant.sent.returned ||
        grant.account.closed != grant.sent.closed) {
        return true;
    }
    if (!grant.unreported.empty()) {
        const bool patient = !work.is_local(grant.portion) &&
                             work.entry.portions[grant.portion].left >= plentiful_share;
        const duration wait =
            patient ? settings_.plentiful_report_time : refund_time(work.entry, grant.portion);
        if (work.reached(grant.unreported.front().at + wait)) {
            return true;
        }
    }
    return grant.sent != grant.confirmed && work.reached(grant.sent_at + settings_.answer_timeout);
}

void limit_client::add_messages(round& work)
{
    std::set<std::uint32_t> reporting = work.asked;
    for (const auto& [number, grant] : work.entry.grants) {
        if (report_due(work, grant)) {
            reporting.insert(grant.portion);
        }
    }
    for (const std::uint32_t portion : reporting) {
        const portion_state& state = work.entry.portions[portion];
        limit_request request;
        request.team = work.entry.limits.id;
        request.portion = portion;
        if (work.asked.contains(portion)) {
            request.grant = state.question->grant;
            request.wanted = state.question->wanted;
            request.ahead = state.question->ahead;
        }
        else {
            request.grant = next_grant_++;
        }
        add_reports(work, portion, request);
        work.out.push_back({state.shard, std::move(request)});
    }
}

void limit_client::add_reports(round& work, std::uint32_t portion, limit_request& request) const
{
    for (auto& [number, grant] : work.entry.grants) {
        if (grant.portion != portion) {
            continue;
        }
        const duration kept = refund_time(work.entry, portion);
        while (!grant.unreported.empty() && work.now - grant.unreported.front().at >= kept) {
            grant.last_spend = grant.unreported.front().at;
            grant.unreported.pop_front();
        }
        const grant_account report{grant.account.spent -
                                       static_cast<double>(grant.unreported.size()),
                                   grant.account.returned, grant.account.closed};
        if (report == grant.confirmed) {
            continue;
        }
        grant.sent = report;
        grant.sent_with = request.grant;
        grant.sent_at = work.now;
        work.reached(work.now + settings_.answer_timeout);
        request.reports.push_back(
            {number, report.spent, report.returned, work.now - grant.last_spend, report.closed});
    }
}

/// The answer shows that the reports sent with its question arrived.
void limit_client::confirm_reports(team_state& entry, const limit_grant& answer) const
{
    for (auto& [number, grant] : entry.grants) {
        if (grant.sent_with == answer.grant) {
            grant.confirmed = grant.sent;
        }
    }
    std::erase_if(entry.grants, [](const auto& item) {
        const grant_state& grant = item.second;
        const double reported = grant.confirmed.spent + grant.confirmed.returned;
        return grant.confirmed.closed || (grant.tokens > 0 && reported >= grant.tokens);
    });
}

bool limit_client::on_grant(const limit_grant& grant, time_point now)
{
    const auto found = teams_.find(grant.team);
    if (found == teams_.end() || grant.portion >= found->second.portions.size()) {
        return false;
    }
    team_state& entry = found->second;
    touch(entry, now);
    portion_state& state = entry.portions[grant.portion];
    if (grant.owner) {
        state.left = std::isfinite(grant.left) ? grant.left : 0.0;
        state.left_at = now;
        confirm_reports(entry, grant);
    }
    if (!state.question || state.question->grant != grant.grant) {
        return false;
    }
    const open_question question = *state.question;
    state.question.reset();
    state.no_owner = !grant.owner;
    if (!grant.owner) {
        state.left = 0;
        state.left_at = now;
        state.retry_at = now + settings_.empty_backoff;
        return false;
    }
    state.slow_until = now;
    state.empty = grant.tokens < question.wanted;
    state.next_token_at.reset();
    if (state.empty) {
        const bool known = grant.next_token > duration::zero();
        if (known) {
            state.next_token_at = now + grant.next_token;
        }
        const duration wait = known ? grant.next_token : settings_.empty_backoff;
        state.retry_at = now + std::clamp<duration>(wait, shortest_wait, longest_wait);
    }
    if (grant.tokens < question.wanted + question.ahead) {
        state.ahead_at = now + ahead_backoff;
    }
    const time_point expires_at = question.first_asked_at + settings_.grant_lifetime;
    if (grant.tokens < 1 || now >= expires_at) {
        return false;
    }
    grant_state& added = entry.grants[grant.grant];
    added.portion = grant.portion;
    added.tokens = grant.tokens;
    added.last_use = now;
    added.expires_at = expires_at;
    return true;
}

limit_shortage limit_client::shortage(const team_id& team, time_point now) const
{
    limit_shortage result;
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return result;
    }
    const team_state& entry = found->second;
    const std::uint32_t count = portion_count(entry.limits, settings_.division);
    result.exhausted = true;
    // An open question may bring a token at any time.
    bool known = true;
    std::optional<time_point> next;
    for (std::uint32_t portion = 0; portion < count; ++portion) {
        const portion_state& state = entry.portions[portion];
        result.pending = result.pending || state.question || !state.no_owner;
        result.exhausted = result.exhausted && state.empty && !state.no_owner;
        known = known && state.next_token_at && !state.question;
        if (state.next_token_at && (!next || *state.next_token_at < *next)) {
            next = state.next_token_at;
        }
    }
    if (result.exhausted && known) {
        result.next_token = std::max(duration::zero(), *next - now);
    }
    return result;
}

std::vector<shard_id> limit_client::shards_of(const team_id& team) const
{
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return {};
    }
    std::vector<shard_id> result;
    const std::uint32_t count = portion_count(found->second.limits, settings_.division);
    for (std::uint32_t portion = 0; portion < count; ++portion) {
        result.push_back(found->second.portions[portion].shard);
    }
    return result;
}

} // namespace gooseberryfall::core
