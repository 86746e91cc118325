#pragma once

#include <string>
#include <utility>

namespace gooseberryfall::config {

/// Detects changes of a file that is polled. New content is accepted once two consecutive reads
/// have returned it, so that a partially written file is not used. Deterministic; not thread-safe.
class file_watch {
public:
    /// `content` is the content that is currently in use.
    explicit file_watch(std::string content) : current_(content), last_read_(std::move(content)) {}

    /// Reports the content that a read returned. Returns true if it is new and stable; it is the
    /// current content from then on.
    bool observe(const std::string& content);

    /// Makes this the current content without waiting for a second read.
    void set_current(std::string content);

private:
    std::string current_;
    std::string last_read_;
};

} // namespace gooseberryfall::config
