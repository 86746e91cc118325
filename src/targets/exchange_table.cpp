#include "targets/exchange_table.hpp"

#include <cassert>

namespace gooseberryfall::targets {

exchange::exchange(core::request_id number, http::request received,
                   std::shared_ptr<http::responder> answer_to)
    : id(number), request(std::move(received)), responder(std::move(answer_to)),
      received_at(std::chrono::steady_clock::now())
{
}

bool exchange::begin_stream()
{
    state expected = state::open;
    return state_.compare_exchange_strong(expected, state::stream);
}

bool exchange::begin_whole()
{
    state expected = state::open;
    return state_.compare_exchange_strong(expected, state::whole);
}

void exchange::refuse(const core::refusal& reason)
{
    const http::error_details details{core::http_status(reason.code), core::to_text(reason.code),
                                      reason.text, core::to_text(reason.verdict),
                                      reason.retry_after};
    if (begin_whole()) {
        http::response answer = http::error_response(details);
        answer.headers.set("Request-Id", std::to_string(id));
        responder->send(std::move(answer));
        return;
    }
    if (state_ == state::stream) {
        if (events_) {
            responder->write("data: " + http::error_json(details) + "\n\n");
        }
        responder->abort();
    }
}

void exchange_table::add(std::shared_ptr<exchange> added)
{
    const std::lock_guard lock(mutex_);
    const core::request_id id = added->id;
    const bool inserted = exchanges_.emplace(id, std::move(added)).second;
    assert(inserted);
    static_cast<void>(inserted);
}

std::shared_ptr<exchange> exchange_table::find(core::request_id id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : found->second;
}

std::shared_ptr<exchange> exchange_table::take(core::request_id id)
{
    const std::lock_guard lock(mutex_);
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return nullptr;
    }
    std::shared_ptr<exchange> taken = std::move(found->second);
    exchanges_.erase(found);
    return taken;
}

std::size_t exchange_table::size() const
{
    const std::lock_guard lock(mutex_);
    return exchanges_.size();
}

} // namespace gooseberryfall::targets
