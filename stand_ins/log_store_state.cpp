#include "stand_ins/log_store_state.hpp"

namespace gooseberryfall::stand_ins {

log_store_state::append_result log_store_state::append(const place& where,
                                                       const std::vector<std::string>& contents,
                                                       const std::string& writer,
                                                       std::uint64_t epoch, std::uint64_t sequence)
{
    partition& at = places_[where];
    if (!writer.empty()) {
        writer_state& known = at.writers[writer];
        if (epoch < known.epoch) {
            return {409, 0, 0, "fenced"};
        }
        const bool same_epoch = epoch == known.epoch && known.epoch > 0;
        if (same_epoch && sequence == known.sequence && sequence > 0) {
            return known.last;
        }
        if (same_epoch && sequence != known.sequence + 1) {
            return {409, 0, 0, "seq"};
        }
        known.epoch = epoch;
        known.sequence = sequence;
    }
    append_result result;
    result.offset = at.first + at.records.size();
    for (const std::string& content : contents) {
        const std::uint64_t offset = at.first + at.records.size();
        at.records.push_back(content);
        const std::size_t key_size =
            content.empty() ? 0 : static_cast<unsigned char>(content.front());
        if (content.size() < 1 + key_size) {
            continue;
        }
        const std::string key = content.substr(1, key_size);
        const std::string value = content.substr(1 + key_size);
        if (value.empty()) {
            at.newest.erase(key);
        }
        else {
            at.newest[key] = {value, offset};
        }
    }
    result.end = at.first + at.records.size();
    if (!writer.empty()) {
        at.writers[writer].last = result;
    }
    return result;
}

std::optional<std::vector<log_store_state::record>> log_store_state::read(const place& where,
                                                                          std::uint64_t from) const
{
    const auto found = places_.find(where);
    std::vector<record> result;
    if (found == places_.end()) {
        return result;
    }
    const partition& at = found->second;
    if (from < at.first) {
        return std::nullopt;
    }
    for (std::size_t index = from - at.first; index < at.records.size(); ++index) {
        result.push_back({at.records[index]});
    }
    return result;
}

std::vector<log_store_state::newest_record>
log_store_state::newest(const place& where, const std::string& after, std::size_t limit) const
{
    std::vector<newest_record> result;
    const auto found = places_.find(where);
    if (found == places_.end()) {
        return result;
    }
    for (auto entry = found->second.newest.upper_bound(after);
         entry != found->second.newest.end() && result.size() < limit; ++entry) {
        result.push_back({entry->first, entry->second.first, entry->second.second});
    }
    return result;
}

std::uint64_t log_store_state::end(const place& where) const
{
    const auto found = places_.find(where);
    return found == places_.end() ? 0 : found->second.first + found->second.records.size();
}

std::size_t log_store_state::key_count(const std::string& topics) const
{
    std::size_t count = 0;
    for (const auto& [where, at] : places_) {
        count += where.first.find(topics) == std::string::npos ? 0 : at.newest.size();
    }
    return count;
}

std::set<std::string> log_store_state::writer_names() const
{
    std::set<std::string> names;
    for (const auto& [where, at] : places_) {
        for (const auto& [name, writer] : at.writers) {
            names.insert(name);
        }
    }
    return names;
}

void log_store_state::forget_history()
{
    for (auto& [where, at] : places_) {
        at.first += at.records.size();
        at.records.clear();
    }
}

void log_store_state::expire(group_state& group, clock::time_point now) const
{
    const std::size_t before = group.members.size();
    std::erase_if(group.members, [now](const auto& entry) { return entry.second.until < now; });
    group.generation += group.members.size() == before ? 0 : 1;
}

std::pair<std::uint64_t, std::vector<log_store_state::place>>
log_store_state::join(const std::string& group, const std::string& member,
                      const std::vector<std::string>& topics, std::chrono::milliseconds lifetime,
                      clock::time_point now)
{
    group_state& joined = groups_[group];
    expire(joined, now);
    joined.generation += joined.members.contains(member) ? 0 : 1;
    joined.members[member].until = now + lifetime;
    joined.topics.insert(topics.begin(), topics.end());
    std::vector<place> mine;
    std::size_t index = 0;
    for (const std::string& topic : joined.topics) {
        for (std::uint32_t part = 0; part < partitions_; ++part, ++index) {
            const auto owner = std::next(
                joined.members.begin(), static_cast<std::ptrdiff_t>(index % joined.members.size()));
            if (owner->first == member) {
                mine.emplace_back(topic, part);
            }
        }
    }
    return {joined.generation, mine};
}

void log_store_state::leave(const std::string& group, const std::string& member)
{
    group_state& left = groups_[group];
    left.generation += left.members.erase(member);
}

} // namespace gooseberryfall::stand_ins
