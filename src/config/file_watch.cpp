#include "config/file_watch.hpp"

namespace gooseberryfall::config {

bool file_watch::observe(const std::string& content)
{
    const bool settled = content == seen_;
    seen_ = content;
    if (!settled || content == used_) {
        return false;
    }
    used_ = content;
    return true;
}

void file_watch::use(std::string content)
{
    used_ = std::move(content);
    seen_ = used_;
}

} // namespace gooseberryfall::config
