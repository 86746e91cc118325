#include "edge/member_registry.hpp"

#include "fleet_wire/fleet_wire.hpp"

#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;

const topic_partition members_partition{"members", 0};

/// Interval of attempts to register.
constexpr milliseconds register_retry_interval{200};

/// An entry is encoded as a report without runs, so that one codec serves for all descriptions of
/// an instance.
std::string encode_entry(const serving::fleet_member& member)
{
    serving::instance_report report;
    report.self = member;
    return fleet_wire::encode(report);
}

} // namespace

member_registry::member_registry(
    store& durable_store, kernel::logger& logger, serving::fleet_member self,
    std::function<void(const std::vector<serving::fleet_member>&)> on_members)
    : store_(durable_store), logger_(logger), self_(std::move(self)),
      on_members_(std::move(on_members)),
      follower_(durable_store, members_partition, core::stable_hash(self_.id.value()),
                {[this](const std::map<std::string, std::string>& snapshot) {
                     members_.clear();
                     for (const auto& [key, value] : snapshot) {
                         apply_entry(key, value);
                     }
                     notify();
                 },
                 [this](const std::string& key, const std::string& value) {
                     apply_entry(key, value);
                     notify();
                 },
                 [this](const std::optional<store_error>& failure) {
                     logger_.write(failure ? kernel::log_level::warning : kernel::log_level::info,
                                   failure ? "members_lost" : "members_reached",
                                   {{"reason", failure ? failure->reason : std::string()}});
                 }}),
      first_read_at_(std::chrono::steady_clock::now() +
                     serving::members_read_delay(self_.id, self_.capacity))
{
}

member_registry::~member_registry()
{
    *alive_ = false;
}

void member_registry::apply_entry(const std::string& key, const std::string& value)
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

void member_registry::notify()
{
    std::vector<serving::fleet_member> members;
    for (const auto& [key, member] : members_) {
        members.push_back(member);
    }
    on_members_(members);
}

void member_registry::tick(core::time_point now, milliseconds interval)
{
    if (!registered_ && !registering_ && !self_removed_ &&
        now - attempted_at_ >= register_retry_interval) {
        attempted_at_ = now;
        register_self();
    }
    if (now >= first_read_at_) {
        follower_.tick(now, interval);
    }
}

void member_registry::register_self()
{
    registering_ = true;
    store_.append(members_partition, {{self_.id.value(), encode_entry(self_)}}, std::nullopt,
                  [this, alive = alive_](const store_result<std::uint64_t>& result) {
                      if (!*alive) {
                          return;
                      }
                      registering_ = false;
                      registered_ = result.has_value();
                      if (registered_) {
                          follower_.trigger_read();
                      }
                  });
}

void member_registry::remove_self()
{
    self_removed_ = true;
    remove(self_);
}

void member_registry::remove(const serving::fleet_member& member)
{
    store_.append(members_partition, {{member.id.value(), {}}}, std::nullopt,
                  [](const store_result<std::uint64_t>&) {
                      // If this failed, the leader removes the entry later.
                  });
}

} // namespace gooseberryfall::edge
