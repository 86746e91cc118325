#include "send_reckoning.hpp"

#include <algorithm>

send_reckoning::send_reckoning(double rate, double burst, time_point now)
    : rate_(rate), burst_(burst), level_(burst), filled_at_(now)
{
}

void send_reckoning::fill(time_point now)
{
    const double seconds = std::chrono::duration<double>(now - filled_at_).count();
    level_ = std::min(burst_, level_ + seconds * rate_);
    filled_at_ = now;
}

bool send_reckoning::on_send(time_point now)
{
    fill(now);
    const bool within = level_ >= 1;
    level_ -= 1;
    return within;
}

bool send_reckoning::on_refusal(time_point now)
{
    fill(now);
    level_ = std::min(burst_, level_ + 1);
    return level_ >= 1;
}
