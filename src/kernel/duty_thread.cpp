#include "kernel/duty_thread.hpp"

#include <cassert>
#include <csignal>
#include <pthread.h>
#include <utility>

namespace gooseberryfall::kernel {

namespace {

constexpr std::size_t name_limit = 15;

/// Blocks all signals of the calling thread while it exists; a thread started meanwhile inherits
/// the mask.
class signal_block {
public:
    signal_block()
    {
        sigset_t all{};
        sigfillset(&all);
        pthread_sigmask(SIG_SETMASK, &all, &previous_);
    }
    ~signal_block() { pthread_sigmask(SIG_SETMASK, &previous_, nullptr); }
    signal_block(const signal_block&) = delete;
    signal_block& operator=(const signal_block&) = delete;
    signal_block(signal_block&&) = delete;
    signal_block& operator=(signal_block&&) = delete;

private:
    sigset_t previous_{};
};

} // namespace

duty_thread::duty_thread(const std::string& name, std::function<void(std::stop_token)> body)
{
    assert(body);
    const signal_block block;
    thread_ = std::jthread(std::move(body));
    pthread_setname_np(thread_.native_handle(), name.substr(0, name_limit).c_str());
}

duty_thread::~duty_thread()
{
    assert(!is_current());
    thread_.request_stop();
    thread_.join();
}

void duty_thread::request_stop()
{
    thread_.request_stop();
}

bool duty_thread::is_current() const
{
    return thread_.get_id() == std::this_thread::get_id();
}

} // namespace gooseberryfall::kernel
