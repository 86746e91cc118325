#include "edge/target_list.hpp"

#include <utility>
#include <vector>

namespace gooseberryfall::edge {

using std::chrono::steady_clock;

target_list::target_list(store& durable_store, kernel::logger& logger, const protocol& translator,
                         fleet_service& fleet, std::chrono::milliseconds interval,
                         reachability_callback on_reachability)
    : logger_(logger), translator_(translator), fleet_(fleet), interval_(interval),
      follower_(durable_store, translator.target_partition(),
                core::stable_hash(fleet.self_id().value()),
                follower_callbacks{[this](const std::map<std::string, std::string>& snapshot) {
                                       apply_snapshot(snapshot);
                                   },
                                   [this](const std::string& key, const std::string& value) {
                                       apply_entry(key, value);
                                   },
                                   std::move(on_reachability)})
{
}

target_list::~target_list() = default;

void target_list::tick(core::time_point now, std::optional<core::time_point> local_read_at)
{
    update_follower(now);
    if (local_read_at) {
        targets_.outage_detector().on_local_read(*local_read_at);
    }
    if (const auto fleet_store_read_at = fleet_.fleet_store_read_at()) {
        targets_.outage_detector().on_fleet_read(*fleet_store_read_at);
    }
    targets_.expire(now);
    publish();
}

void target_list::update_follower(core::time_point now)
{
    const bool required = fleet_.must_read_targets();
    if (required && !following_) {
        // The targets last received from the leader are newer than what this instance read before
        // it paused.
        targets_.load_snapshot(fleet_.known_targets());
        follower_.reload();
    }
    if (!required && following_) {
        targets_.outage_detector().pause_target_list();
        loaded_ = false;
        published_revision_ = 0;
    }
    following_ = required;
    if (!required) {
        return;
    }
    follower_.tick(now, interval_);
    if (const auto list_read_at = follower_.last_read_sent_at(); list_read_at && loaded_) {
        targets_.outage_detector().on_target_list_read(*list_read_at);
    }
}

std::optional<serving::target_entry> target_list::decode_entry(const std::string& id,
                                                               const std::string& value) const
{
    auto entry = translator_.decode_target(id, value);
    if (!entry) {
        logger_.write(kernel::log_level::warning, "target_unreadable",
                      {{"target", id}, {"reason", entry.error()}});
        return std::nullopt;
    }
    return std::move(*entry);
}

void target_list::apply_entry(const std::string& id, const std::string& value)
{
    const core::time_point now = steady_clock::now();
    if (value.empty()) {
        const bool listed = targets_.find(core::target_id(id)) != nullptr;
        targets_.remove(core::target_id(id), now);
        if (listed) {
            logger_.write(kernel::log_level::info, "target_removed", {{"target", id}});
        }
        return;
    }
    const std::optional<serving::target_entry> entry = decode_entry(id, value);
    if (!entry) {
        return;
    }
    const serving::target_entry* previous = targets_.find(entry->id);
    if (previous == nullptr || !(*previous == *entry)) {
        logger_.write(kernel::log_level::info, "target_changed",
                      {{"target", id},
                       {"address", entry->address},
                       {"draining", entry->draining ? "yes" : "no"},
                       {"started_at", std::to_string(entry->started_at)}});
    }
    targets_.update(*entry);
}

void target_list::apply_snapshot(const std::map<std::string, std::string>& snapshot)
{
    std::vector<serving::target_entry> entries;
    for (const auto& [id, value] : snapshot) {
        if (auto entry = decode_entry(id, value)) {
            entries.push_back(std::move(*entry));
        }
    }
    targets_.replace_all(entries, steady_clock::now());
    loaded_ = true;
}

void target_list::publish()
{
    const std::uint64_t revision = targets_.revision();
    if (following_ && loaded_ && revision != published_revision_) {
        published_revision_ = revision;
        fleet_.set_targets(targets_.usable());
    }
}

} // namespace gooseberryfall::edge
