#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberryfall::targets {

/// Follows the server-sent events of an engine's answer: collects the text generated, the number of
/// tokens, and whether the end mark came. Not thread-safe.
class event_stream {
public:
    /// Longest event that is kept; a longer one counts as malformed and is skipped.
    static constexpr std::size_t event_limit = 1U << 20U;

    /// Whether the text is kept. Without it only the end mark and the tokens are followed.
    explicit event_stream(bool keep_text) : keep_text_(keep_text) {}

    /// Takes the next bytes of the answer.
    void feed(std::string_view bytes);

    /// Whether the end mark `[DONE]` came.
    bool done() const { return done_; }

    /// Whether the engine sent an error event.
    bool failed() const { return failed_; }

    /// Text generated so far.
    const std::string& text() const { return text_; }

    /// Reason for which the engine ended, for example `stop`; empty before.
    const std::string& finish_reason() const { return finish_reason_; }

    /// Tokens by the engine's own count, or the number of pieces if it gave none.
    std::uint32_t tokens() const { return usage_ == 0 ? pieces_ : usage_; }

private:
    void on_line(std::string_view line);
    void on_data(std::string_view data);

    bool keep_text_;
    bool done_ = false;
    bool failed_ = false;
    std::string pending_;
    std::string text_;
    std::string finish_reason_;
    std::uint32_t pieces_ = 0;
    std::uint32_t usage_ = 0;
};

} // namespace gooseberryfall::targets
