#include "edge/state_backup.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* state_key = "state";

/// Largest copy that is written: the size of a record in the store, less its key.
constexpr std::size_t copy_bytes_max = 250U << 10U;

constexpr milliseconds save_retry_interval{500};

} // namespace

state_backup::state_backup(store& durable_store, kernel::logger& logger, std::uint64_t seed)
    : store_(durable_store), logger_(logger),
      load_backoff_({milliseconds(100), milliseconds(600)}, seed)
{
}

state_backup::~state_backup()
{
    *alive_ = false;
}

bool state_backup::is_save_due(std::uint64_t version, core::time_point now) const
{
    return std::any_of(copies_.begin(), copies_.end(),
                       [&](const copy& each) { return each.is_due(version, now); });
}

void state_backup::save(std::uint64_t version, const std::string& packed, core::time_point now)
{
    for (copy& each : copies_) {
        if (!each.is_due(version, now)) {
            continue;
        }
        if (packed.size() > copy_bytes_max) {
            each.saved_version = version;
            logger_.write(
                kernel::log_level::warning, "state_copy_too_large",
                {{"version", std::to_string(version)}, {"bytes", std::to_string(packed.size())}});
            continue;
        }
        save_copy(each, version, packed);
    }
}

void state_backup::save_copy(copy& destination, std::uint64_t version, const std::string& packed)
{
    destination.saving = true;
    store_.append(
        destination.partition, {{state_key, packed}}, std::nullopt,
        [this, alive = alive_, &destination, version](const store_result<std::uint64_t>& result) {
            if (!*alive) {
                return;
            }
            destination.saving = false;
            logger_.write(kernel::log_level::info, "state_copy_written",
                          {{"topic", destination.partition.topic},
                           {"version", std::to_string(version)},
                           {"outcome", result ? "done" : to_text(result.error().failure)}});
            if (result) {
                destination.saved_version = version;
                return;
            }
            destination.retry_at = steady_clock::now() + save_retry_interval;
        });
}

void state_backup::load(core::time_point now, std::function<void(const std::string&)> on_loaded)
{
    if (loading_ || now < load_at_) {
        return;
    }
    loading_ = true;
    const copy& source = copies_[loads_++ % copies_.size()];
    store_.read_latest(
        source.partition, std::nullopt, load_timeout_.timeout(),
        [this, alive = alive_, topic = source.partition.topic,
         on_loaded = std::move(on_loaded)](const store_result<log_page>& page) {
            if (!*alive) {
                return;
            }
            logger_.write(kernel::log_level::info, "state_copy_read",
                          {{"topic", topic},
                           {"records", page ? std::to_string(page->records.size()) : std::string()},
                           {"reason", page ? std::string() : page.error().reason}});
            on_page(page, on_loaded);
        });
}

void state_backup::on_page(const store_result<log_page>& page,
                           const std::function<void(const std::string&)>& on_loaded)
{
    loading_ = false;
    if (loads_ % copies_.size() == 0) {
        load_at_ = steady_clock::now() + load_backoff_.next_delay();
    }
    if (!page) {
        load_timeout_.on_timeout();
        return;
    }
    for (const keyed_record& record : page->records) {
        if (record.key != state_key) {
            continue;
        }
        const auto encoded = http::decompress(record.value, state_bytes_max);
        if (!encoded) {
            logger_.write(kernel::log_level::warning, "state_copy_unreadable",
                          {{"reason", encoded.error()}});
            continue;
        }
        on_loaded(*encoded);
    }
}

} // namespace gooseberryfall::edge
