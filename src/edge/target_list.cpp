#include "edge/target_list.hpp"

#include <utility>
#include <vector>

namespace gooseberryfall::edge {

using std::chrono::steady_clock;

target_list::target_list(store& durable, kernel::logger& logger, const protocol& translator,
                         fleet_service& fleet, std::chrono::milliseconds interval,
                         reachability_callback on_reach)
    : logger_(logger), translator_(translator), fleet_(fleet), interval_(interval),
      follower_(durable, translator.target_place(),
                follower_callbacks{
                    [this](const std::map<std::string, std::string>& all) { take_all(all); },
                    [this](const std::string& key, const std::string& value) { take(key, value); },
                    std::move(on_reach)})
{
}

target_list::~target_list() = default;

void target_list::tick(core::time_point now, std::optional<core::time_point> own_read_at)
{
    follow(now);
    if (own_read_at) {
        targets_.watch().on_own_read(*own_read_at);
    }
    if (const auto fleet_store_read_at = fleet_.fleet_store_read_at()) {
        targets_.watch().on_fleet_read(*fleet_store_read_at);
    }
    targets_.expire(now);
    publish();
}

void target_list::follow(core::time_point now)
{
    const bool wanted = fleet_.must_read_targets();
    if (wanted && !follows_) {
        // What the leader told last is newer than what this instance has read before it paused.
        targets_.adopt(fleet_.known_targets());
        follower_.restart();
    }
    if (!wanted && follows_) {
        targets_.watch().pause_list();
        known_ = false;
        published_ = 0;
    }
    follows_ = wanted;
    if (!wanted) {
        return;
    }
    follower_.tick(now, interval_);
    if (const auto list_read_at = follower_.read_at(); list_read_at && known_) {
        targets_.watch().on_list_read(*list_read_at);
    }
}

std::optional<serving::target_entry> target_list::read(const std::string& id,
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

void target_list::take(const std::string& id, const std::string& value)
{
    const core::time_point now = steady_clock::now();
    if (value.empty()) {
        const bool known = targets_.find(core::target_id(id)) != nullptr;
        targets_.remove(core::target_id(id), now);
        if (known) {
            logger_.write(kernel::log_level::info, "target_removed", {{"target", id}});
        }
        return;
    }
    const std::optional<serving::target_entry> entry = read(id, value);
    if (!entry) {
        return;
    }
    const serving::target_entry* known = targets_.find(entry->id);
    if (known == nullptr || !(*known == *entry)) {
        logger_.write(kernel::log_level::info, "target_changed",
                      {{"target", id},
                       {"address", entry->address},
                       {"draining", entry->draining ? "yes" : "no"},
                       {"started_at", std::to_string(entry->started_at)}});
    }
    targets_.update(*entry);
}

void target_list::take_all(const std::map<std::string, std::string>& all)
{
    std::vector<serving::target_entry> entries;
    for (const auto& [id, value] : all) {
        if (auto entry = read(id, value)) {
            entries.push_back(std::move(*entry));
        }
    }
    targets_.replace_all(entries, steady_clock::now());
    known_ = true;
}

void target_list::publish()
{
    const std::uint64_t revision = targets_.revision();
    if (follows_ && known_ && revision != published_) {
        published_ = revision;
        fleet_.set_targets(targets_.usable());
    }
}

} // namespace gooseberryfall::edge
