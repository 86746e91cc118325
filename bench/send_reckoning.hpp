#pragma once

#include <chrono>

/// A caller's own reckoning of its team's rate and burst: a token bucket over what it sends. Not
/// thread-safe.
class send_reckoning {
public:
    using time_point = std::chrono::steady_clock::time_point;

    send_reckoning(double rate, double burst, time_point now);

    /// Charges a request; returns whether it is within rate and burst.
    bool on_send(time_point now);

    /// Takes back the charge of a request that was refused as not run. Returns whether the team is
    /// within its limit even if everything unanswered is counted as run: the refusal is wrongful.
    bool on_refusal(time_point now);

private:
    void fill(time_point now);

    double rate_;
    double burst_;
    double level_;
    time_point filled_at_;
};
