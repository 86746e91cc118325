#pragma once

#include "edge/store.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gooseberryfall::edge {

/// Largest desired state that is taken from another instance or from a copy, decompressed.
constexpr std::size_t state_bytes_max = 16U << 20U;

/// Copies of the desired state in topics of this system. The store can be down in part: without a
/// copy, a fleet that starts while the operator's topic is down would reject all requests until it
/// is back, although it could serve by the last state. To be used on the event loop's thread only.
class state_backup {
public:
    /// `seed`: differs between instances.
    state_backup(store& durable_store, kernel::logger& logger, std::uint64_t seed);
    ~state_backup();
    state_backup(const state_backup&) = delete;
    state_backup& operator=(const state_backup&) = delete;
    state_backup(state_backup&&) = delete;
    state_backup& operator=(state_backup&&) = delete;

    /// Whether a copy does not have this version yet and may be written now.
    bool is_save_due(std::uint64_t version, core::time_point now) const;

    /// Writes all copies that do not have this version yet. `packed`: the state as returned by
    /// `http::compress`. To be called by the leader.
    void save(std::uint64_t version, const std::string& packed, core::time_point now);

    /// Reads a copy, the next one each time, unless a read is in progress or all have been tried
    /// just now. `on_loaded` is called if there is a copy. To be called about every 20 ms.
    void load(core::time_point now, std::function<void(const std::string& encoded)> on_loaded);

private:
    struct copy {
        topic_partition partition;
        std::uint64_t saved_version = 0;
        bool saving = false;
        core::time_point retry_at{};

        bool is_due(std::uint64_t version, core::time_point now) const
        {
            return saved_version < version && !saving && now >= retry_at;
        }
    };

    void save_copy(copy& destination, std::uint64_t version, const std::string& packed);
    void on_page(const store_result<log_page>& page,
                 const std::function<void(const std::string&)>& on_loaded);

    store& store_;
    kernel::logger& logger_;
    /// In different topics, so that they are rarely down together: in an outage of a quarter of the
    /// partitions, all four in one of 256 cases.
    std::array<copy, 4> copies_{copy{{"state0", 0}}, copy{{"state1", 0}}, copy{{"state2", 0}},
                                copy{{"state3", 0}}};
    serving::retry_backoff load_backoff_;
    serving::adaptive_timeout load_timeout_;
    std::size_t loads_ = 0;
    bool loading_ = false;
    core::time_point load_at_{};
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
