#include "stand_ins/log_store_state.hpp"

namespace gooseberryfall::stand_ins {

log_store_state::append_result log_store_state::append(const topic_partition& log_partition,
                                                       const std::vector<std::string>& new_records,
                                                       const std::string& writer,
                                                       std::uint64_t epoch, std::uint64_t sequence)
{
    partition_log& log = partition_logs_[log_partition];
    if (!writer.empty()) {
        writer_state& previous = log.writers[writer];
        if (epoch < previous.epoch) {
            return {409, 0, 0, "fenced"};
        }
        const bool same_epoch = epoch == previous.epoch && previous.epoch > 0;
        if (same_epoch && sequence == previous.sequence && sequence > 0) {
            return previous.last_result;
        }
        if (same_epoch && sequence != previous.sequence + 1) {
            return {409, 0, 0, "seq"};
        }
        previous.epoch = epoch;
        previous.sequence = sequence;
    }
    append_result result;
    result.offset = log.first_offset + log.records.size();
    for (const std::string& content : new_records) {
        const std::uint64_t offset = log.first_offset + log.records.size();
        log.records.push_back(content);
        const std::size_t key_size =
            content.empty() ? 0 : static_cast<unsigned char>(content.front());
        if (content.size() < 1 + key_size) {
            continue;
        }
        const std::string key = content.substr(1, key_size);
        const std::string value = content.substr(1 + key_size);
        if (value.empty()) {
            log.latest_by_key.erase(key);
        }
        else {
            log.latest_by_key[key] = {value, offset};
        }
    }
    result.end_offset = log.first_offset + log.records.size();
    if (!writer.empty()) {
        log.writers[writer].last_result = result;
    }
    return result;
}

std::optional<std::vector<log_store_state::record>>
log_store_state::read(const topic_partition& log_partition, std::uint64_t from_offset) const
{
    const auto found = partition_logs_.find(log_partition);
    std::vector<record> result;
    if (found == partition_logs_.end()) {
        return result;
    }
    const partition_log& log = found->second;
    if (from_offset < log.first_offset) {
        return std::nullopt;
    }
    for (std::size_t index = from_offset - log.first_offset; index < log.records.size(); ++index) {
        result.push_back({log.records[index]});
    }
    return result;
}

std::vector<log_store_state::latest_record>
log_store_state::read_latest(const topic_partition& log_partition, const std::string& after_key,
                             std::size_t limit, std::size_t bytes_max) const
{
    std::vector<latest_record> result;
    std::size_t bytes = 0;
    const auto found = partition_logs_.find(log_partition);
    if (found == partition_logs_.end()) {
        return result;
    }
    for (auto entry = found->second.latest_by_key.upper_bound(after_key);
         entry != found->second.latest_by_key.end() && result.size() < limit; ++entry) {
        bytes += entry->second.first.size();
        if (!result.empty() && bytes > bytes_max) {
            break;
        }
        result.push_back({entry->first, entry->second.first, entry->second.second});
    }
    return result;
}

std::uint64_t log_store_state::end_offset(const topic_partition& log_partition) const
{
    const auto found = partition_logs_.find(log_partition);
    return found == partition_logs_.end()
               ? 0
               : found->second.first_offset + found->second.records.size();
}

std::size_t log_store_state::key_count(const std::string& topic_substring) const
{
    std::size_t count = 0;
    for (const auto& [log_partition, log] : partition_logs_) {
        count += log_partition.first.find(topic_substring) == std::string::npos
                     ? 0
                     : log.latest_by_key.size();
    }
    return count;
}

std::set<std::string> log_store_state::writer_names() const
{
    std::set<std::string> names;
    for (const auto& [log_partition, log] : partition_logs_) {
        for (const auto& [name, writer] : log.writers) {
            names.insert(name);
        }
    }
    return names;
}

void log_store_state::compact()
{
    for (auto& [log_partition, log] : partition_logs_) {
        log.first_offset += log.records.size();
        log.records.clear();
    }
}

void log_store_state::expire_members(group_state& group, clock::time_point now) const
{
    const std::size_t previous_count = group.members.size();
    std::erase_if(group.members,
                  [now](const auto& entry) { return entry.second.expires_at < now; });
    group.generation += group.members.size() == previous_count ? 0 : 1;
}

std::pair<std::uint64_t, std::vector<log_store_state::topic_partition>>
log_store_state::join(const std::string& group, const std::string& member,
                      const std::vector<std::string>& topics, std::chrono::milliseconds lifetime,
                      clock::time_point now)
{
    group_state& joined = groups_[group];
    expire_members(joined, now);
    joined.generation += joined.members.contains(member) ? 0 : 1;
    joined.members[member].expires_at = now + lifetime;
    joined.topics.insert(topics.begin(), topics.end());
    std::vector<topic_partition> assigned;
    std::size_t index = 0;
    for (const std::string& topic : joined.topics) {
        for (std::uint32_t part = 0; part < partition_count_; ++part, ++index) {
            const auto owner = std::next(
                joined.members.begin(), static_cast<std::ptrdiff_t>(index % joined.members.size()));
            if (owner->first == member) {
                assigned.emplace_back(topic, part);
            }
        }
    }
    return {joined.generation, assigned};
}

void log_store_state::leave(const std::string& group, const std::string& member)
{
    group_state& state = groups_[group];
    state.generation += state.members.erase(member);
}

} // namespace gooseberryfall::stand_ins
