#include "edge/crash_mark_backup.hpp"

#include "fleet_wire/fleet_wire.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

const topic_partition crash_partition{"crashes", 0};
constexpr const char* crash_key = "refused";

} // namespace

crash_mark_backup::crash_mark_backup(store& durable_store, kernel::logger& logger,
                                     std::uint64_t seed,
                                     std::function<serving::crash_marks()> known_marks,
                                     std::function<void(const serving::crash_marks&)> on_loaded)
    : store_(durable_store), logger_(logger), known_marks_(std::move(known_marks)),
      on_loaded_(std::move(on_loaded)), backoff_({}, seed)
{
}

crash_mark_backup::~crash_mark_backup()
{
    *alive_ = false;
}

crash_mark_backup::summary crash_mark_backup::summarize(const serving::crash_marks& refused)
{
    summary result;
    for (const serving::crash_mark& mark : refused) {
        result.emplace_back(mark.trait, mark.crashes);
    }
    std::sort(result.begin(), result.end());
    return result;
}

void crash_mark_backup::tick(bool leads, core::time_point now)
{
    if (!leads) {
        loaded_ = false;
        return;
    }
    if (calling_ || now < next_call_at_) {
        return;
    }
    if (!loaded_) {
        load();
        return;
    }
    serving::crash_marks refused = known_marks_();
    std::erase_if(refused, [](const serving::crash_mark& mark) { return !mark.refused; });
    if (summarize(refused) != saved_) {
        save(refused);
    }
}

void crash_mark_backup::load()
{
    calling_ = true;
    store_.read_latest(crash_partition, std::nullopt, timeout_.timeout(),
                       [this, alive = alive_](const store_result<log_page>& page) {
                           if (*alive) {
                               calling_ = false;
                               on_page(page);
                           }
                       });
}

void crash_mark_backup::on_page(const store_result<log_page>& page)
{
    if (!page) {
        timeout_.on_timeout();
        next_call_at_ = steady_clock::now() + backoff_.next_delay();
        return;
    }
    timeout_.on_response();
    backoff_.reset();
    loaded_ = true;
    saved_.clear();
    for (const keyed_record& record : page->records) {
        if (record.key != crash_key) {
            continue;
        }
        const auto marks = fleet_wire::decode_crash_record(record.value, system_clock::now());
        if (!marks) {
            logger_.write(kernel::log_level::warning, "crash_record_unreadable",
                          {{"reason", marks.error()}});
            continue;
        }
        saved_ = summarize(*marks);
        logger_.write(kernel::log_level::info, "crash_record_read",
                      {{"refused", std::to_string(marks->size())}});
        on_loaded_(*marks);
    }
}

void crash_mark_backup::save(const serving::crash_marks& refused)
{
    calling_ = true;
    store_.append(
        crash_partition,
        {{crash_key, fleet_wire::encode_crash_record(refused, system_clock::now())}}, std::nullopt,
        [this, alive = alive_,
         written = summarize(refused)](const store_result<std::uint64_t>& result) {
            if (!*alive) {
                return;
            }
            calling_ = false;
            logger_.write(kernel::log_level::info, "crash_record_written",
                          {{"refused", std::to_string(written.size())},
                           {"outcome", result ? "done" : to_text(result.error().failure)}});
            if (result) {
                saved_ = written;
                backoff_.reset();
                return;
            }
            next_call_at_ = steady_clock::now() + backoff_.next_delay();
        });
}

} // namespace gooseberryfall::edge
