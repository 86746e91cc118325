#pragma once

#include <string>
#include <utility>

namespace gooseberryfall::config {

/// Notices that a file has changed when it is read again and again. A new content counts once two
/// reads in a row have seen it, so that a file that is being written is not taken in half.
/// Deterministic; not thread-safe.
class file_watch {
public:
    /// `content` is the one in use.
    explicit file_watch(std::string content) : used_(content), seen_(std::move(content)) {}

    /// A read has found this content. Returns whether it is to be used from now on.
    bool observe(const std::string& content);

    /// This content is used from now on, however often it was seen.
    void use(std::string content);

private:
    std::string used_;
    std::string seen_;
};

} // namespace gooseberryfall::config
