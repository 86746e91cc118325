#include "kernel/worker_thread.hpp"

#include <cassert>
#include <csignal>
#include <pthread.h>
#include <utility>

namespace gooseberryfall::kernel {

namespace {

constexpr std::size_t name_length_max = 15;

/// Blocks all signals in the calling thread for the lifetime of the object. A thread that is
/// started in the meantime inherits the signal mask.
class scoped_signal_block {
public:
    scoped_signal_block()
    {
        sigset_t all_signals{};
        sigfillset(&all_signals);
        pthread_sigmask(SIG_SETMASK, &all_signals, &previous_mask_);
    }
    ~scoped_signal_block() { pthread_sigmask(SIG_SETMASK, &previous_mask_, nullptr); }
    scoped_signal_block(const scoped_signal_block&) = delete;
    scoped_signal_block& operator=(const scoped_signal_block&) = delete;
    scoped_signal_block(scoped_signal_block&&) = delete;
    scoped_signal_block& operator=(scoped_signal_block&&) = delete;

private:
    sigset_t previous_mask_{};
};

} // namespace

worker_thread::worker_thread(const std::string& name, std::function<void(std::stop_token)> body)
{
    assert(body);
    const scoped_signal_block signal_block;
    thread_ = std::jthread(std::move(body));
    pthread_setname_np(thread_.native_handle(), name.substr(0, name_length_max).c_str());
}

worker_thread::~worker_thread()
{
    assert(!is_current());
    thread_.request_stop();
    thread_.join();
}

void worker_thread::request_stop()
{
    thread_.request_stop();
}

bool worker_thread::is_current() const
{
    return thread_.get_id() == std::this_thread::get_id();
}

} // namespace gooseberryfall::kernel
