#include "callers/job_upload.hpp"

#include <boost/json.hpp>

#include <openssl/evp.h>

namespace gooseberryfall::callers {

namespace json = boost::json;

struct content_digest::context {
    EVP_MD_CTX* value = EVP_MD_CTX_new();
};

content_digest::content_digest() : context_(std::make_unique<context>())
{
    EVP_DigestInit_ex(context_->value, EVP_sha256(), nullptr);
}

content_digest::~content_digest()
{
    EVP_MD_CTX_free(context_->value);
}

void content_digest::add(const std::string& text)
{
    EVP_DigestUpdate(context_->value, text.data(), text.size());
}

core::digest content_digest::finish()
{
    core::digest result{};
    unsigned length = 0;
    EVP_DigestFinal_ex(context_->value, result.data(), &length);
    return result;
}

job_upload::job_upload(core::request_id request, std::shared_ptr<http::body_reader> reader,
                       upload_limits limits, const std::string& options, observer callbacks)
    : request_(request), reader_(std::move(reader)), limits_(limits),
      callbacks_(std::move(callbacks))
{
    digest_.add(options + "\n");
}

void job_upload::go_on()
{
    if (ended_) {
        return;
    }
    if (!take_lines()) {
        return;
    }
    if (chunk_full() || (whole_ && !items_.empty())) {
        core::upload_items chunk{request_, std::move(items_)};
        items_.clear();
        bytes_ = 0;
        callbacks_.on_items(std::move(chunk));
        return;
    }
    if (whole_) {
        finish();
        return;
    }
    read();
}

void job_upload::read()
{
    reader_->read(
        [self = shared_from_this()](const http::body_piece& piece) { self->on_piece(piece); });
}

void job_upload::on_piece(const http::body_piece& piece)
{
    if (piece.failed) {
        ended_ = true;
        callbacks_.on_gone();
        return;
    }
    pending_ += piece.bytes;
    if (piece.end) {
        whole_ = true;
        if (!pending_.empty()) {
            pending_ += '\n';
        }
    }
    go_on();
}

bool job_upload::chunk_full() const
{
    return items_.size() >= limits_.chunk_items || bytes_ >= limits_.chunk_bytes;
}

bool job_upload::take_lines()
{
    std::size_t begin = 0;
    while (!chunk_full()) {
        const std::size_t end = pending_.find('\n', begin);
        if (end == std::string::npos) {
            break;
        }
        if (!take_line(pending_.substr(begin, end - begin))) {
            return false;
        }
        begin = end + 1;
    }
    pending_.erase(0, begin);
    if (pending_.size() > limits_.item_bytes && pending_.find('\n') == std::string::npos) {
        fail(core::refusal_code::body_too_large, "line " + std::to_string(lines_ + 1) +
                                                     " is longer than " +
                                                     std::to_string(limits_.item_bytes) + " bytes");
        return false;
    }
    return true;
}

bool job_upload::take_line(std::string line)
{
    ++lines_;
    if (line.ends_with('\r')) {
        line.pop_back();
    }
    if (line.empty()) {
        return true;
    }
    const std::string place = "line " + std::to_string(lines_);
    if (line.size() > limits_.item_bytes) {
        fail(core::refusal_code::body_too_large,
             place + " is longer than " + std::to_string(limits_.item_bytes) + " bytes");
        return false;
    }
    boost::system::error_code error;
    const json::value parsed = json::parse(line, error);
    if (error || !parsed.is_object()) {
        fail(core::refusal_code::bad_request, place + " is no JSON object");
        return false;
    }
    if (count_ == limits_.job_items) {
        fail(core::refusal_code::body_too_large,
             "a job has at most " + std::to_string(limits_.job_items) + " items");
        return false;
    }
    ++count_;
    digest_.add(line + "\n");
    bytes_ += line.size();
    items_.push_back(std::move(line));
    return true;
}

void job_upload::finish()
{
    if (count_ == 0) {
        fail(core::refusal_code::bad_request, "the job has no items");
        return;
    }
    ended_ = true;
    callbacks_.on_end({request_, digest_.finish()});
}

void job_upload::fail(core::refusal_code code, const std::string& text)
{
    ended_ = true;
    callbacks_.on_error(code, text);
}

} // namespace gooseberryfall::callers
