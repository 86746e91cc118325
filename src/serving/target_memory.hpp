#pragma once

#include <cstdint>

namespace gooseberryfall::serving {

/// Account of a target's memory in tokens: the prompts and expected outputs of what runs there.
///
/// Load pattern: prompts that fill the memory of targets before their slots. A target whose memory
/// runs out preempts its newest request, even in the middle of a stream.
/// Deterministic; not thread-safe.
class target_memory {
public:
    /// Sets the size of the memory; 0: not counted.
    void set_capacity(std::uint64_t tokens) { capacity_ = tokens; }

    /// Whether a request fits beside those that run. One larger than the whole memory fits
    /// anywhere: it can't run at any target, and the target rejects it by itself.
    bool fits(std::uint64_t tokens) const { return fits_without(tokens, 0); }

    /// Whether a request fits once a run that holds `freed` tokens has ended.
    bool fits_without(std::uint64_t tokens, std::uint64_t freed) const
    {
        return capacity_ == 0 || exceeds_all(tokens) ||
               (used_ > freed ? used_ - freed : 0) + tokens <= capacity_;
    }

    /// Whether a request is larger than the whole memory.
    bool exceeds_all(std::uint64_t tokens) const { return capacity_ > 0 && tokens > capacity_; }

    /// Adds a run.
    void charge(std::uint64_t tokens) { used_ += tokens; }

    /// Removes a run that was charged.
    void release(std::uint64_t tokens) { used_ -= tokens < used_ ? tokens : used_; }

    /// Removes all runs.
    void clear() { used_ = 0; }

    std::uint64_t capacity() const { return capacity_; }
    std::uint64_t used() const { return used_; }

private:
    std::uint64_t capacity_ = 0;
    std::uint64_t used_ = 0;
};

} // namespace gooseberryfall::serving
