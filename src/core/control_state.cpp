#include "core/control_state.hpp"

#include <bit>
#include <cassert>
#include <set>

namespace gooseberryfall::core {

namespace {

/// Bytes of the numbers of one entry in a checkpoint, with the list's pointer to it, at most.
constexpr std::size_t entry_bytes = 48;

std::size_t text_bytes(const std::string& text)
{
    // Text is stored with a pointer and a closing zero, and padded to words.
    return 16 + text.size();
}

struct entry_size {
    std::size_t operator()(const team& entry) const { return text_bytes(entry.id.value()); }
    std::size_t operator()(const api_key& entry) const
    {
        return text_bytes(entry.id.value()) + text_bytes(entry.team.value()) + entry.hash.size();
    }
    std::size_t operator()(const model& entry) const { return text_bytes(entry.id.value()); }
    std::size_t operator()(const service& entry) const
    {
        return text_bytes(entry.id.value()) + text_bytes(entry.model.value()) +
               text_bytes(entry.path_prefix);
    }
    std::size_t operator()(const target& entry) const
    {
        return text_bytes(entry.id.value()) + text_bytes(entry.service.value()) +
               text_bytes(entry.address) + text_bytes(entry.data_centre.value());
    }
};

template <class Entries>
std::size_t bytes_of(const Entries& entries)
{
    std::size_t sum = 0;
    for (const auto& [id, entry] : entries) {
        sum += entry_bytes + entry_size{}(entry);
    }
    return sum;
}

std::size_t bytes_of(const fleet& state)
{
    return bytes_of(state.teams) + bytes_of(state.keys) + bytes_of(state.models) +
           bytes_of(state.services) + bytes_of(state.targets);
}

std::size_t bytes_of(const audit_entry& entry)
{
    std::size_t sum = entry_bytes + text_bytes(entry.author) + text_bytes(entry.comment) +
                      text_bytes(entry.refused);
    for (const std::string& name : entry.entries) {
        sum += text_bytes(name);
    }
    return sum;
}

/// Text of an operator, cut so that one change cannot fill the audit trail.
std::string cut(const std::string& text)
{
    constexpr std::size_t longest_text = 1000;
    return text.substr(0, longest_text);
}

/// Names of what a change touches.
std::vector<std::string> names_of(const fleet_difference& change)
{
    std::vector<std::string> names;
    for (const fleet_entry& entry : change.upserts) {
        names.push_back(to_text(key_of(entry)));
    }
    for (const entry_key& key : change.removals) {
        names.push_back("-" + to_text(key));
    }
    if (names.size() > control_state::audit_names_limit) {
        const std::size_t more = names.size() - control_state::audit_names_limit;
        names.resize(control_state::audit_names_limit);
        names.push_back("and " + std::to_string(more) + " more");
    }
    return names;
}

/// First entry that the change names twice.
std::optional<std::string> find_repeated(const fleet_difference& change)
{
    std::set<entry_key> seen;
    for (const fleet_entry& entry : change.upserts) {
        if (!seen.insert(key_of(entry)).second) {
            return to_text(key_of(entry));
        }
    }
    for (const entry_key& key : change.removals) {
        if (!seen.insert(key).second) {
            return to_text(key);
        }
    }
    return std::nullopt;
}

/// Folds values into a hash.
class state_hasher {
public:
    void add(std::uint64_t value)
    {
        value_ = (value_ ^ value) * 0x9e3779b97f4a7c15ULL;
        value_ ^= value_ >> 29U;
    }
    void add(double value) { add(std::bit_cast<std::uint64_t>(value)); }
    void add(const std::string& text) { add(stable_hash(text, text.size())); }
    template <class Tag>
    void add(const basic_id<Tag>& id)
    {
        add(id.value());
    }
    void add(const digest& bytes)
    {
        for (const std::uint8_t byte : bytes) {
            add(std::uint64_t{byte});
        }
    }
    void add(const incarnation_id& id)
    {
        add(id.instance);
        add(id.number);
    }
    void add(const shard_id& id)
    {
        add(static_cast<std::uint64_t>(id.kind));
        add(std::uint64_t{id.index});
    }
    void add(const team& entry)
    {
        add(entry.id);
        add(entry.rate);
        add(entry.burst);
        add(entry.weight);
        add(std::uint64_t{entry.queue_limit});
    }
    void add(const api_key& entry)
    {
        add(entry.id);
        add(entry.team);
        add(entry.hash);
    }
    void add(const model& entry)
    {
        add(entry.id);
        add(std::uint64_t{entry.expected_tokens});
    }
    void add(const service& entry)
    {
        add(entry.id);
        add(static_cast<std::uint64_t>(entry.kind));
        add(entry.model);
        add(entry.path_prefix);
        add(std::uint64_t{entry.open});
        add(std::uint64_t{entry.repeatable});
    }
    void add(const target& entry)
    {
        add(entry.id);
        add(entry.service);
        add(entry.address);
        add(std::uint64_t{entry.port});
        add(entry.data_centre);
        add(std::uint64_t{entry.slots});
        add(std::uint64_t{entry.checks_fencing});
    }
    void add(const member& entry)
    {
        add(entry.incarnation);
        add(entry.data_centre);
        add(entry.caller_address);
        add(entry.peer_address);
    }
    void add(const lease& entry)
    {
        add(entry.holder);
        add(entry.epoch);
        add(entry.claimed_at);
        add(std::uint64_t{entry.released});
    }
    void add(const limit_level& entry)
    {
        add(entry.team);
        add(std::uint64_t{entry.portion});
        add(entry.level);
        add(entry.outstanding);
    }
    void add(const audit_entry& entry)
    {
        add(entry.offset);
        add(static_cast<std::uint64_t>(entry.at.time_since_epoch().count()));
        add(entry.author);
        add(entry.comment);
        add(entry.base);
        add(entry.version);
        add(entry.refused);
        add_all(entry.entries);
    }
    template <class Value>
    void add(const std::vector<Value>& values)
    {
        add_all(values);
    }
    template <class Key, class Value>
    void add(const std::map<Key, Value>& values)
    {
        add(std::uint64_t{values.size()});
        for (const auto& [key, value] : values) {
            add(key);
            add(value);
        }
    }
    template <class Values>
    void add_all(const Values& values)
    {
        add(std::uint64_t{values.size()});
        for (const auto& value : values) {
            add(value);
        }
    }

    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

} // namespace

control_changes control_state::apply(const control_group& group)
{
    assert(group.offset == next_offset_);
    control_changes changes;
    for (const control_record& record : group.records) {
        if (!apply_record(group, record, changes)) {
            ++changes.ignored;
        }
    }
    next_offset_ = group.offset + 1;
    return changes;
}

void control_state::start_at(log_offset earliest)
{
    assert(next_offset_ == 0);
    next_offset_ = earliest;
    complete_ = earliest == 0;
}

const std::vector<limit_level>& control_state::released_levels(const shard_id& shard) const
{
    static const std::vector<limit_level> none;
    const auto found = released_levels_.find(shard);
    return found == released_levels_.end() ? none : found->second;
}

control_checkpoint control_state::checkpoint() const
{
    assert(complete_ && next_offset_ > 0);
    control_checkpoint body;
    body.covers = next_offset_ - 1;
    body.state = fleet_;
    for (const auto& [id, info] : members_) {
        body.members.push_back(info);
    }
    body.members_changed_at = members_changed_at_;
    body.leases = leases_;
    body.released_levels = released_levels_;
    body.audit.assign(audit_.begin(), audit_.end());
    for (const auto& [writer, sequence] : writers_) {
        body.writers.push_back({writer, sequence});
    }
    return body;
}

bool control_state::adopt(const control_checkpoint& snapshot)
{
    const log_offset next = snapshot.covers + 1;
    if (next < next_offset_ || (complete_ && next == next_offset_)) {
        return false;
    }
    control_state covered;
    covered.install(snapshot);
    covered.next_offset_ = next;
    *this = std::move(covered);
    return true;
}

std::uint64_t control_state::state_hash() const
{
    state_hasher hasher;
    hasher.add(next_offset_);
    hasher.add(fleet_.version);
    hasher.add(fleet_.teams);
    hasher.add(fleet_.keys);
    hasher.add(fleet_.models);
    hasher.add(fleet_.services);
    hasher.add(fleet_.targets);
    hasher.add(members_);
    hasher.add(members_changed_at_);
    hasher.add(leases_);
    hasher.add(released_levels_);
    hasher.add_all(audit_);
    hasher.add(writers_);
    return hasher.value();
}

std::size_t control_state::memory() const
{
    // Each map node has about 48 bytes beside its value, and names are held as key and in the
    // value.
    constexpr std::size_t node = 48;
    std::size_t sum = sizeof(*this) + bytes_of(fleet_) + audit_bytes_;
    sum += fleet_.teams.size() * (node + sizeof(std::pair<team_id, team>));
    sum += fleet_.keys.size() * (node + sizeof(std::pair<key_id, api_key>));
    sum += fleet_.models.size() * (node + sizeof(std::pair<model_id, model>));
    sum += fleet_.services.size() * (node + sizeof(std::pair<service_id, service>));
    sum += fleet_.targets.size() * (node + sizeof(std::pair<target_id, target>));
    sum += members_.size() * (node + sizeof(std::pair<instance_id, member>) + 64);
    sum += leases_.size() * (node + sizeof(std::pair<shard_id, lease>) + 32);
    sum += writers_.size() * (node + sizeof(std::pair<incarnation_id, std::uint64_t>) + 32);
    sum += audit_.size() * sizeof(audit_entry);
    for (const auto& [shard, levels] : released_levels_) {
        sum += node + levels.size() * (sizeof(limit_level) + 16);
    }
    return sum;
}

bool control_state::apply_record(const control_group& group, const control_record& record,
                                 control_changes& changes)
{
    if (std::holds_alternative<control_checkpoint>(record.body)) {
        return apply_checkpoint(group, record, changes);
    }
    if (!complete_ || !accept_sequence(record.writer, record.sequence)) {
        return false;
    }
    const auto apply_to = [&](const auto& body) {
        if constexpr (std::is_same_v<std::decay_t<decltype(body)>, control_checkpoint>) {
            return false;
        }
        else {
            return apply_body(group, body, changes);
        }
    };
    return std::visit(apply_to, record.body);
}

bool control_state::apply_body(const control_group& group, const config_change& body,
                               control_changes& changes)
{
    audit_entry entry{group.offset, group.appended_at,    body.author, body.comment, body.base, 0,
                      "",           names_of(body.change)};
    fleet result;
    entry.refused = cut(judge(body, result));
    const bool accepted = entry.refused.empty();
    if (accepted) {
        fleet_ = std::move(result);
        fleet_.version = group.offset + 1;
        entry.version = fleet_.version;
        changes.config = true;
    }
    add_audit(std::move(entry));
    return accepted;
}

bool control_state::apply_body(const control_group& group, const member_join& body,
                               control_changes& changes)
{
    const incarnation_id& joined = body.joined.incarnation;
    if (joined.instance.empty()) {
        return false;
    }
    const auto earlier = members_.find(joined.instance);
    const bool added = earlier == members_.end();
    if (added && body.base != members_changed_at_) {
        return false;
    }
    if (!added && earlier->second.incarnation.number >= joined.number) {
        return false;
    }
    members_[joined.instance] = body.joined;
    members_changed_at_ = group.offset + 1;
    changes.members = true;
    return true;
}

bool control_state::apply_body(const control_group& group, const member_leave& body,
                               control_changes& changes)
{
    if (!is_member(body.left) || body.base != members_changed_at_) {
        return false;
    }
    members_.erase(body.left.instance);
    members_changed_at_ = group.offset + 1;
    changes.members = true;
    return true;
}

bool control_state::apply_body(const control_group& group, const lease_claim& body,
                               control_changes& changes)
{
    if (!is_member(body.claimant)) {
        return false;
    }
    bool any = false;
    for (const lease_claim::item& item : body.shards) {
        any = claim_one(group, body.claimant, item) || any;
    }
    changes.leases = changes.leases || any;
    return any;
}

bool control_state::apply_body(const control_group&, const lease_release& body,
                               control_changes& changes)
{
    bool any = false;
    for (const lease_release::item& item : body.shards) {
        any = release_one(body.holder, item) || any;
    }
    changes.leases = changes.leases || any;
    return any;
}

bool control_state::apply_checkpoint(const control_group& group, const control_record& record,
                                     control_changes& changes)
{
    const auto& body = std::get<control_checkpoint>(record.body);
    const bool placed = group.records.size() == 1 && group.offset == body.covers + 1;
    if (!placed) {
        if (complete_) {
            accept_sequence(record.writer, record.sequence);
        }
        return false;
    }
    control_state covered;
    covered.install(body);
    covered.next_offset_ = group.offset;
    // A state that was replayed from the start is never replaced: a wrong checkpoint must not make
    // a configuration revert.
    const bool same = !complete_ || covered.state_hash() == state_hash();
    control_state& target_state = complete_ ? *this : covered;
    const bool fresh = target_state.accept_sequence(record.writer, record.sequence);
    if (complete_ || !fresh) {
        return same && fresh;
    }
    *this = std::move(covered);
    changes.config = true;
    changes.members = true;
    changes.leases = true;
    return true;
}

std::string control_state::judge(const config_change& body, fleet& result) const
{
    if (body.base != fleet_.version) {
        return "based on version " + std::to_string(body.base) + ", but version " +
               std::to_string(fleet_.version) + " by " + current_author() + " is in force";
    }
    if (const auto repeated = find_repeated(body.change)) {
        return *repeated + " is changed twice";
    }
    result = fleet_;
    for (const entry_key& key : body.change.removals) {
        if (!result.remove(key)) {
            return to_text(key) + " is to be removed, but does not exist";
        }
    }
    for (const fleet_entry& entry : body.change.upserts) {
        result.upsert(entry);
    }
    if (const auto error = result.find_error()) {
        return *error;
    }
    if (const std::size_t size = bytes_of(result); size > fleet_bytes_limit) {
        return "the fleet would take " + std::to_string(size) + " bytes, the limit is " +
               std::to_string(fleet_bytes_limit);
    }
    return "";
}

std::string control_state::current_author() const
{
    if (fleet_.version == 0) {
        return "nobody";
    }
    for (auto entry = audit_.rbegin(); entry != audit_.rend(); ++entry) {
        if (entry->version == fleet_.version) {
            return entry->author;
        }
    }
    return "an author no longer in the audit trail";
}

bool control_state::claim_one(const control_group& group, const incarnation_id& claimant,
                              const lease_claim::item& item)
{
    const auto found = leases_.find(item.shard);
    const lease_epoch epoch = found == leases_.end() ? 0 : found->second.epoch;
    if (epoch != item.expected) {
        return false;
    }
    const bool handed_over = found != leases_.end() && found->second.released;
    if (!handed_over) {
        released_levels_.erase(item.shard);
    }
    leases_[item.shard] = lease{claimant, epoch + 1, group.offset, false};
    return true;
}

bool control_state::release_one(const incarnation_id& holder, const lease_release::item& item)
{
    const auto found = leases_.find(item.shard);
    if (found == leases_.end() || found->second.released) {
        return false;
    }
    if (found->second.holder != holder || found->second.epoch != item.epoch) {
        return false;
    }
    found->second.released = true;
    released_levels_.erase(item.shard);
    if (!item.levels.empty()) {
        released_levels_[item.shard] = item.levels;
    }
    return true;
}

bool control_state::is_member(const incarnation_id& incarnation) const
{
    const auto found = members_.find(incarnation.instance);
    return found != members_.end() && found->second.incarnation == incarnation;
}

bool control_state::accept_sequence(const incarnation_id& writer, std::uint64_t sequence)
{
    const auto [place, added] = writers_.try_emplace(writer, sequence);
    if (added) {
        forget_former_writer();
        return true;
    }
    if (sequence <= place->second) {
        return false;
    }
    place->second = sequence;
    return true;
}

void control_state::forget_former_writer()
{
    if (writers_.size() <= members_.size() + former_writers_limit) {
        return;
    }
    auto oldest = writers_.end();
    for (auto writer = writers_.begin(); writer != writers_.end(); ++writer) {
        const bool older = oldest == writers_.end() || writer->first.number < oldest->first.number;
        if (older && !is_member(writer->first)) {
            oldest = writer;
        }
    }
    if (oldest != writers_.end()) {
        writers_.erase(oldest);
    }
}

void control_state::add_audit(audit_entry entry)
{
    audit_bytes_ += bytes_of(entry);
    audit_.push_back(std::move(entry));
    while (audit_.size() > audit_limit || (audit_bytes_ > audit_bytes_limit && audit_.size() > 1)) {
        audit_bytes_ -= bytes_of(audit_.front());
        audit_.pop_front();
    }
}

void control_state::install(const control_checkpoint& body)
{
    fleet_ = body.state;
    for (const member& info : body.members) {
        members_[info.incarnation.instance] = info;
    }
    members_changed_at_ = body.members_changed_at;
    leases_ = body.leases;
    released_levels_ = body.released_levels;
    for (const audit_entry& entry : body.audit) {
        add_audit(entry);
    }
    for (const writer_position& position : body.writers) {
        writers_[position.writer] = position.sequence;
    }
}

} // namespace gooseberryfall::core
