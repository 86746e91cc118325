#pragma once

#include "core/core.hpp"
#include "http/http.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gooseberryfall::callers {

/// Limits of submissions.
struct upload_limits {
    std::uint32_t job_items = 250'000;
    std::size_t item_bytes = 960U << 10U;
    /// Bytes and items of one chunk.
    std::size_t chunk_bytes = 256U << 10U;
    std::size_t chunk_items = 500;
};

/// Running SHA-256.
class content_digest {
public:
    content_digest();
    ~content_digest();
    content_digest(const content_digest&) = delete;
    content_digest& operator=(const content_digest&) = delete;
    content_digest(content_digest&&) = delete;
    content_digest& operator=(content_digest&&) = delete;

    /// Adds text.
    void add(const std::string& text);

    /// The digest. May be called once.
    core::digest finish();

private:
    struct context;
    std::unique_ptr<context> context_;
};

/// Reads the items of a submission, newline-delimited JSON objects, chunk by chunk. Lives on the
/// server's loop; all methods must be called on its thread.
class job_upload : public std::enable_shared_from_this<job_upload> {
public:
    /// What the upload reports to.
    struct observer {
        /// A chunk is to be written; `go_on` is called once it was.
        std::function<void(core::upload_items)> on_items;
        /// All items have been read and written.
        std::function<void(core::upload_end)> on_end;
        /// The submission is malformed or too large.
        std::function<void(core::refusal_code, const std::string&)> on_error;
        /// The caller is gone.
        std::function<void()> on_gone;
    };

    job_upload(core::request_id request, std::shared_ptr<http::body_reader> reader,
               upload_limits limits, const std::string& options, observer callbacks);

    /// Reads on until the next chunk is whole.
    void go_on();

private:
    void read();
    void on_piece(const http::body_piece& piece);
    /// Cuts lines off the text read so far; false if one is bad.
    bool take_lines();
    bool take_line(std::string line);
    bool chunk_full() const;
    void finish();
    void fail(core::refusal_code code, const std::string& text);

    core::request_id request_;
    std::shared_ptr<http::body_reader> reader_;
    upload_limits limits_;
    observer callbacks_;
    content_digest digest_;
    std::string pending_;
    std::vector<std::string> items_;
    std::size_t bytes_ = 0;
    std::size_t lines_ = 0;
    std::uint32_t count_ = 0;
    bool whole_ = false;
    bool ended_ = false;
};

} // namespace gooseberryfall::callers
