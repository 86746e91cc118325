#include "core/node_parts.hpp"

#include "core/rendezvous.hpp"

#include <array>
#include <cstdio>
#include <cstring>

namespace gooseberryfall::core {

namespace {

shard_settings make_shard_settings(const node_settings& settings)
{
    shard_settings result;
    result.self = settings.self;
    result.limit_shards = settings.limit_shards;
    result.batch_partitions = settings.batch_partitions;
    result.takeover_wait =
        settings.currency_bound + settings.grant_lifetime + settings.clock_margin;
    return result;
}

limit_owner_settings make_owner_settings(const node_settings& settings)
{
    limit_owner_settings result;
    result.limit_shards = settings.limit_shards;
    result.grant_lifetime = settings.grant_lifetime;
    result.clock_margin = settings.clock_margin;
    result.raise_delay = settings.currency_bound + settings.grant_lifetime + settings.clock_margin;
    return result;
}

limit_client_settings make_client_settings(const node_settings& settings)
{
    limit_client_settings result;
    result.self = settings.self;
    result.limit_shards = settings.limit_shards;
    result.grant_lifetime = settings.grant_lifetime;
    return result;
}

membership_settings make_membership_settings(const node_settings& settings)
{
    membership_settings result = settings.members;
    result.self = settings.self;
    result.data_centre = settings.data_centre;
    return result;
}

std::uint64_t digest_prefix(const digest& value)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, value.data(), sizeof(prefix));
    return prefix;
}

/// The first bytes of a digest as hexadecimal digits, for log lines.
std::string prefix_text(const digest& value)
{
    constexpr int digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%0*llx", digits,
                  static_cast<unsigned long long>(digest_prefix(value)));
    return text.data();
}

/// Compares without a branch on the content, so that timing tells nothing about the digest.
bool equal_constant_time(const digest& left, const digest& right)
{
    unsigned difference = 0;
    for (std::size_t position = 0; position < left.size(); ++position) {
        difference |= static_cast<unsigned>(left[position] ^ right[position]);
    }
    return difference == 0;
}

} // namespace

refusal not_current(std::chrono::milliseconds retry_after)
{
    return {refusal_code::not_current,
            "this instance does not know the configuration in force; use another one",
            run_verdict::not_run, retry_after};
}

node_parts::node_parts(const node_settings& node_configuration)
    : settings(node_configuration),
      freshness({node_configuration.self, node_configuration.currency_bound}),
      members(make_membership_settings(node_configuration)),
      shards(make_shard_settings(node_configuration)),
      owner(make_owner_settings(node_configuration)),
      borrower(make_client_settings(node_configuration)), targets(node_configuration.routing),
      governor(node_configuration.governor), retries(node_configuration.retries),
      crashes(node_configuration.crashes)
{
}

void node_parts::send(const instance_id& to, peer_message message)
{
    outbox_[to].push_back(std::move(message));
}

void node_parts::broadcast(const peer_message& message, time_point at)
{
    for (const instance_id& other : members.reachable(at)) {
        if (other != settings.self.instance) {
            send(other, message);
        }
    }
}

void node_parts::record_death(const digest& fingerprint, const target_id& target, bool alone,
                              time_point now)
{
    const crash_notice notice = crashes.on_death(fingerprint, alone, now);
    emit(log_line{"target_death",
                  {{"fingerprint", prefix_text(fingerprint)},
                   {"target", target.value()},
                   {"alone", alone ? "true" : "false"},
                   {"deaths", std::to_string(notice.deaths)},
                   {"deaths_alone", std::to_string(notice.deaths_alone)}}});
    broadcast(notice, now);
}

void node_parts::remember_address(const incarnation_id& from, const std::string& address)
{
    addresses_[from.instance] = {from, address};
}

void node_parts::flush_messages()
{
    for (auto& [to, messages] : outbox_) {
        send_peer sending;
        const member* known = members.find(to);
        if (known != nullptr) {
            sending.address = known->peer_address;
            sending.envelope.to = known->incarnation;
        }
        // An instance that has restarted writes before its new run is a member.
        const auto heard = addresses_.find(to);
        const bool newer = heard != addresses_.end() &&
                           (known == nullptr || known->incarnation < heard->second.first);
        if (newer) {
            sending.envelope.to = heard->second.first;
            sending.address = heard->second.second;
        }
        if (sending.address.empty()) {
            continue;
        }
        sending.envelope.from = settings.self;
        sending.envelope.from_address = settings.peer_address;
        counters.peer_messages_sent += messages.size();
        sending.envelope.messages = std::move(messages);
        emit(std::move(sending));
    }
    outbox_.clear();
}

std::uint64_t node_parts::append_control(control_body body)
{
    core::append_control appending;
    appending.append = next_append_++;
    const std::uint64_t sequence = next_sequence_++;
    appending.records.push_back({settings.self, sequence, std::move(body)});
    emit(std::move(appending));
    return sequence;
}

std::uint64_t node_parts::append_batch(std::uint32_t partition, std::vector<batch_body> bodies)
{
    core::append_batch appending;
    appending.append = next_append_++;
    appending.partition = partition;
    for (batch_body& body : bodies) {
        appending.records.push_back({settings.self, next_sequence_++, std::move(body)});
    }
    const std::uint64_t number = appending.append;
    emit(std::move(appending));
    return number;
}

void node_parts::refuse(request_id request, refusal reason)
{
    ++counters.refused_by_code[static_cast<std::size_t>(reason.code)];
    emit(core::refuse{request, std::move(reason)});
}

bool node_parts::closed_to_new(time_point now) const
{
    return leaving_since && now >= *leaving_since + settings.directory_validity;
}

std::optional<refusal> node_parts::check_open(time_point now) const
{
    if (closed_to_new(now)) {
        return refusal{refusal_code::leaving,
                       "this instance is leaving; ask the directory for another one",
                       run_verdict::not_run, std::chrono::milliseconds(0)};
    }
    if (!is_current(now)) {
        return not_current();
    }
    return std::nullopt;
}

std::pair<std::optional<api_key>, refusal>
node_parts::find_key(const std::optional<digest>& key) const
{
    if (!key) {
        return {std::nullopt, refusal{refusal_code::key_missing, "this route needs a key",
                                      run_verdict::not_run, std::nullopt}};
    }
    const auto [first, last] = keys_.equal_range(digest_prefix(*key));
    for (auto candidate = first; candidate != last; ++candidate) {
        if (equal_constant_time(candidate->second.hash, *key)) {
            return {candidate->second, refusal{}};
        }
    }
    return {std::nullopt,
            refusal{refusal_code::key_unknown, "the key is not known or was withdrawn",
                    run_verdict::not_run, std::nullopt}};
}

void node_parts::on_fleet_changed(time_point now)
{
    const fleet& current = state.current();
    keys_.clear();
    for (const auto& [id, key] : current.keys) {
        keys_.emplace(digest_prefix(key.hash), key);
    }
    owner.set_fleet(current, now);
    borrower.set_fleet(current);
    targets.set_fleet(current);
}

std::optional<instance_id> node_parts::holder_of(const shard_id& shard, time_point now) const
{
    const auto found = state.leases().find(shard);
    if (found == state.leases().end() || found->second.released) {
        return std::nullopt;
    }
    const incarnation_id& holder = found->second.holder;
    if (holder == settings.self) {
        return holder.instance;
    }
    const member* known = members.find(holder.instance);
    if (known == nullptr || known->incarnation != holder) {
        return std::nullopt;
    }
    if (members.condition(holder.instance, now) == member_condition::suspect) {
        return std::nullopt;
    }
    return holder.instance;
}

instance_id node_parts::governor_of(const target_id& id, time_point now) const
{
    return rendezvous(id.value(), members.serving(now));
}

std::set<target_id> node_parts::targets_to_avoid(const service_id& service, time_point now) const
{
    // All instances see both lists in the same order.
    const std::vector<instance_id> instances = members.serving(now);
    const std::vector<target_id> all = targets.targets_of(service);
    std::set<target_id> avoided;
    const bool any_sound = targets.any_sound(service, now);
    for (std::size_t index = 0; index < all.size(); ++index) {
        const bool own =
            !instances.empty() && instances[index % instances.size()] == settings.self.instance;
        if (!own || (any_sound && !targets.sound(all[index], now))) {
            avoided.insert(all[index]);
        }
    }
    return avoided;
}

} // namespace gooseberryfall::core
