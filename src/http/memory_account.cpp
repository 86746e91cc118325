#include "http/memory_account.hpp"

#include <cassert>
#include <utility>

namespace gooseberryfall::http {

const char* to_text(memory_kind kind)
{
    return kind == memory_kind::requests ? "requests" : "heads";
}

std::size_t memory_account::used(memory_kind kind) const
{
    return by_kind_.at(static_cast<std::size_t>(kind));
}

std::size_t memory_account::group_used(const std::string& group) const
{
    const auto found = by_group_.find(group);
    return found == by_group_.end() ? 0 : found->second;
}

void memory_account::change(memory_kind kind, const std::string& group, std::size_t before,
                            std::size_t after)
{
    if (before == after) {
        return;
    }
    const auto apply = [before, after](std::size_t& total) {
        assert(total >= before);
        total = total - before + after;
    };
    std::size_t& of_group = by_group_[group];
    apply(used_);
    apply(by_kind_.at(static_cast<std::size_t>(kind)));
    apply(of_group);
    if (of_group == 0) {
        by_group_.erase(group);
    }
}

memory_account::reservation::reservation(std::shared_ptr<memory_account> account, memory_kind kind,
                                         std::string group)
    : account_(std::move(account)), kind_(kind), group_(std::move(group))
{
}

memory_account::reservation::~reservation()
{
    release();
}

memory_account::reservation::reservation(reservation&& other) noexcept
    : account_(std::move(other.account_)), kind_(other.kind_), group_(std::move(other.group_)),
      bytes_(std::exchange(other.bytes_, 0))
{
}

memory_account::reservation& memory_account::reservation::operator=(reservation&& other) noexcept
{
    if (this != &other) {
        release();
        account_ = std::move(other.account_);
        kind_ = other.kind_;
        group_ = std::move(other.group_);
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

bool memory_account::reservation::resize(std::size_t bytes, std::size_t limit)
{
    if (account_ == nullptr) {
        return true;
    }
    if (bytes > bytes_ && account_->used_ + (bytes - bytes_) > limit) {
        return false;
    }
    account_->change(kind_, group_, bytes_, bytes);
    bytes_ = bytes;
    return true;
}

void memory_account::reservation::release()
{
    if (account_ != nullptr && bytes_ > 0) {
        account_->change(kind_, group_, bytes_, 0);
        bytes_ = 0;
    }
}

} // namespace gooseberryfall::http
