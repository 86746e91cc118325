#pragma once

#include "edge/store.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace gooseberryfall::edge {

/// Keeps the refused traits in the platform's store, so that requests that crash targets are still
/// known after all instances have ended at once. Read by a new leader, which tells the others, and
/// written by the leader when they change. To be used on the event loop's thread only.
class crash_mark_backup {
public:
    /// `seed`: differs between instances. `known_marks` returns what this instance knows now;
    /// `on_loaded` gets the marks that were read.
    crash_mark_backup(store& durable_store, kernel::logger& logger, std::uint64_t seed,
                      std::function<serving::crash_marks()> known_marks,
                      std::function<void(const serving::crash_marks&)> on_loaded);
    ~crash_mark_backup();
    crash_mark_backup(const crash_mark_backup&) = delete;
    crash_mark_backup& operator=(const crash_mark_backup&) = delete;
    crash_mark_backup(crash_mark_backup&&) = delete;
    crash_mark_backup& operator=(crash_mark_backup&&) = delete;

    /// Reads or writes if this instance leads and that is due. To be called about every 20 ms.
    void tick(bool leads, core::time_point now);

private:
    /// What a record says, without the ages, to find out whether it has changed.
    using summary = std::vector<std::pair<serving::request_trait, std::uint32_t>>;
    static summary summarize(const serving::crash_marks& refused);

    void load();
    void save(const serving::crash_marks& refused);
    void on_page(const store_result<log_page>& page);

    store& store_;
    kernel::logger& logger_;
    std::function<serving::crash_marks()> known_marks_;
    std::function<void(const serving::crash_marks&)> on_loaded_;
    summary saved_;
    /// The record has been read in the current term of this instance as the leader.
    bool loaded_ = false;
    bool calling_ = false;
    core::time_point next_call_at_{};
    serving::retry_backoff backoff_;
    serving::adaptive_timeout timeout_;
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
