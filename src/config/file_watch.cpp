#include "config/file_watch.hpp"

namespace gooseberryfall::config {

bool file_watch::observe(const std::string& content)
{
    const bool is_stable = content == last_read_;
    last_read_ = content;
    if (!is_stable || content == current_) {
        return false;
    }
    current_ = content;
    return true;
}

void file_watch::set_current(std::string content)
{
    current_ = std::move(content);
    last_read_ = current_;
}

} // namespace gooseberryfall::config
