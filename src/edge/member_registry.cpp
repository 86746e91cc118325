#include "edge/member_registry.hpp"

#include "fleet_wire/fleet_wire.hpp"

#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;

const topic_partition members_place{"members", 0};

/// Between two tries to enter.
constexpr milliseconds enter_pause{200};

/// An entry is a report without runs, so that there is one codec for what an instance is.
std::string to_value(const serving::fleet_member& member)
{
    serving::instance_report report;
    report.self = member;
    return fleet_wire::encode(report);
}

} // namespace

member_registry::member_registry(
    store& durable, kernel::logger& logger, serving::fleet_member self,
    std::function<void(const std::vector<serving::fleet_member>&)> on_members)
    : store_(durable), logger_(logger), self_(std::move(self)), on_members_(std::move(on_members)),
      follower_(durable, members_place,
                {[this](const std::map<std::string, std::string>& all) {
                     members_.clear();
                     for (const auto& [key, value] : all) {
                         take(key, value);
                     }
                     tell();
                 },
                 [this](const std::string& key, const std::string& value) {
                     take(key, value);
                     tell();
                 },
                 [this](const std::optional<store_error>& failure) {
                     logger_.write(failure ? kernel::log_level::warning : kernel::log_level::info,
                                   failure ? "members_lost" : "members_reached",
                                   {{"reason", failure ? failure->reason : std::string()}});
                 }})
{
}

member_registry::~member_registry()
{
    *alive_ = false;
}

void member_registry::take(const std::string& key, const std::string& value)
{
    if (value.empty()) {
        members_.erase(key);
        return;
    }
    auto message = fleet_wire::decode(value, core::instance_id(key));
    const auto* report = message ? std::get_if<serving::instance_report>(&*message) : nullptr;
    if (report == nullptr) {
        logger_.write(kernel::log_level::warning, "member_unreadable", {{"key", key}});
        return;
    }
    members_[key] = report->self;
}

void member_registry::tell()
{
    std::vector<serving::fleet_member> members;
    for (const auto& [key, member] : members_) {
        members.push_back(member);
    }
    on_members_(members);
}

void member_registry::tick(core::time_point now, milliseconds interval)
{
    if (!entered_ && !entering_ && !removed_ && now - tried_at_ >= enter_pause) {
        tried_at_ = now;
        enter();
    }
    follower_.tick(now, interval);
}

void member_registry::enter()
{
    entering_ = true;
    store_.append(members_place, {{self_.id.value(), to_value(self_)}}, std::nullopt,
                  [this, alive = alive_](const store_result<std::uint64_t>& result) {
                      if (!*alive) {
                          return;
                      }
                      entering_ = false;
                      entered_ = result.has_value();
                      if (entered_) {
                          follower_.trigger_read();
                      }
                  });
}

void member_registry::remove_self()
{
    removed_ = true;
    remove(self_);
}

void member_registry::remove(const serving::fleet_member& member)
{
    store_.append(members_place, {{member.id.value(), {}}}, std::nullopt,
                  [](const store_result<std::uint64_t>&) {
                      // The leader removes the entry later if this did not succeed.
                  });
}

} // namespace gooseberryfall::edge
