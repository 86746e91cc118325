#include "http/upload_admission.hpp"

#include <tuple>
#include <utility>

namespace gooseberryfall::http {

upload_admission::upload::upload(std::shared_ptr<upload_admission> admission, std::string group,
                                 std::function<void()> on_evicted, time_point now)
    : admission_(std::move(admission)),
      reservation_(admission_->account_, memory_kind::requests, std::move(group)),
      on_evicted_(std::move(on_evicted)), progress_at_(now)
{
    admission_->uploads_.insert(this);
}

upload_admission::upload::~upload()
{
    admission_->uploads_.erase(this);
}

upload_admission::outcome upload_admission::upload::grow(std::size_t received_bytes, time_point now)
{
    const upload_settings& settings = admission_->settings_;
    if (evicted_) {
        ++admission_->counts_.refusals;
        return outcome::refused;
    }
    if (received_bytes > received_ || paused_since_) {
        // A paused upload waits for this process, so it is not a stalled one.
        progress_at_ = now;
    }
    const std::size_t bytes = received_bytes * settings.copies;
    if (reservation_.resize(bytes, admission_->limit_for(received_bytes))) {
        received_ = received_bytes;
        if (paused_since_) {
            paused_ += now - *paused_since_;
            paused_since_.reset();
        }
        return outcome::granted;
    }
    admission_->evict_for(*this, bytes, now);
    if (!paused_since_) {
        paused_since_ = now;
        ++admission_->counts_.pauses;
    }
    if (paused_ + (now - *paused_since_) >= settings.pause_max) {
        ++admission_->counts_.refusals;
        return outcome::refused;
    }
    return outcome::paused;
}

void upload_admission::upload::complete()
{
    complete_ = true;
    on_evicted_ = nullptr;
}

upload_admission::upload_admission(upload_settings settings)
    : settings_(settings), account_(std::make_shared<memory_account>(settings.capacity_bytes))
{
}

std::unique_ptr<upload_admission::upload>
upload_admission::open(std::string group, std::function<void()> on_evicted, time_point now)
{
    return std::make_unique<upload>(shared_from_this(), std::move(group), std::move(on_evicted),
                                    now);
}

std::size_t upload_admission::request_bytes_max() const
{
    return limit_for(settings_.small_bytes + 1) / settings_.copies;
}

std::size_t upload_admission::limit_for(std::size_t received_bytes) const
{
    const std::size_t capacity = settings_.capacity_bytes;
    return received_bytes <= settings_.small_bytes
               ? capacity
               : capacity - capacity / settings_.small_share_divisor;
}

void upload_admission::evict_for(const upload& wanting, std::size_t bytes, time_point now)
{
    if (now - searched_at_ < settings_.search_interval) {
        return;
    }
    searched_at_ = now;
    const std::size_t own_bytes =
        account_->group_used(wanting.reservation_.group()) + bytes - wanting.reservation_.bytes();
    upload* chosen = nullptr;
    std::tuple<std::size_t, bool, std::size_t> chosen_rank;
    for (upload* candidate : uploads_) {
        if (candidate == &wanting || candidate->complete_ || candidate->reservation_.bytes() == 0) {
            continue;
        }
        if (candidate->evicted_) {
            // Its bytes are given back as soon as its session runs.
            return;
        }
        const std::string& group = candidate->reservation_.group();
        const bool stalled =
            !candidate->paused_since_ && now - candidate->progress_at_ >= settings_.stall_time;
        const std::size_t group_bytes = account_->group_used(group);
        // A group gives way only to one that has less; within a group, stalled uploads do.
        const bool gives_way =
            group == wanting.reservation_.group() ? stalled : group_bytes > own_bytes;
        if (!gives_way) {
            continue;
        }
        const std::tuple rank(group_bytes, stalled, candidate->reservation_.bytes());
        if (chosen == nullptr || rank > chosen_rank) {
            chosen = candidate;
            chosen_rank = rank;
        }
    }
    if (chosen != nullptr) {
        ++counts_.evictions;
        chosen->evicted_ = true;
        if (const auto callback = std::exchange(chosen->on_evicted_, nullptr)) {
            callback();
        }
    }
}

} // namespace gooseberryfall::http
