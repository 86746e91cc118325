#pragma once

#include <functional>
#include <stop_token>
#include <string>
#include <thread>

namespace gooseberryfall::kernel {

/// A named thread that is asked to stop and joined on destruction. All signals are blocked in it,
/// so that the main thread receives them.
class duty_thread {
public:
    /// Starts `body`, which returns soon after its token is triggered and must not throw. The
    /// system keeps the first 15 characters of `name`.
    duty_thread(const std::string& name, std::function<void(std::stop_token)> body);

    /// Requests the stop and waits for the end. Must not be called by the thread itself.
    ~duty_thread();

    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;
    duty_thread(duty_thread&&) = delete;
    duty_thread& operator=(duty_thread&&) = delete;

    /// Triggers the token. Thread-safe.
    void request_stop();

    /// Whether the caller is this thread. Thread-safe.
    bool is_current() const;

private:
    std::jthread thread_;
};

} // namespace gooseberryfall::kernel
