#include "callers/job_upload.hpp"

#include <criterion/criterion.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace callers = gooseberryfall::callers;
namespace core = gooseberryfall::core;
namespace http = gooseberryfall::http;

namespace {

/// Gives a body in pieces of a fixed size.
class piece_reader : public http::body_reader {
public:
    piece_reader(std::string body, std::size_t size) : body_(std::move(body)), size_(size) {}

    void read(std::function<void(http::body_piece)> callback) override
    {
        if (position_ == body_.size()) {
            callback({{}, true, false});
            return;
        }
        http::body_piece piece{body_.substr(position_, size_), false, false};
        position_ += piece.bytes.size();
        callback(std::move(piece));
    }

private:
    std::string body_;
    std::size_t size_;
    std::size_t position_ = 0;
};

struct outcome {
    std::vector<std::string> items;
    std::size_t chunks = 0;
    std::optional<core::digest> content;
    std::string error;
};

outcome upload(const std::string& body, std::size_t piece, callers::upload_limits limits = {})
{
    outcome result;
    std::shared_ptr<callers::job_upload> running;
    callers::job_upload::observer observer;
    observer.on_items = [&](core::upload_items chunk) {
        ++result.chunks;
        result.items.insert(result.items.end(), chunk.items.begin(), chunk.items.end());
    };
    observer.on_end = [&](const core::upload_end& end) { result.content = end.content; };
    observer.on_error = [&](core::refusal_code, const std::string& text) { result.error = text; };
    observer.on_gone = [] {};
    running = std::make_shared<callers::job_upload>(1, std::make_shared<piece_reader>(body, piece),
                                                    limits, "m repeatable 0", observer);
    for (std::size_t step = 0; step < 10'000 && !result.content && result.error.empty(); ++step) {
        running->go_on();
    }
    return result;
}

} // namespace

// Guards against items or digests that depend on where the network cuts the body.
Test(job_upload, reads_the_same_in_any_pieces)
{
    const std::string body = "{\"a\":1}\n\n{\"b\":2}\r\n{\"c\":3}";
    const outcome whole = upload(body, body.size());
    cr_assert_eq(whole.items.size(), 3U);
    cr_assert(whole.content.has_value());
    for (std::size_t piece = 1; piece < body.size(); ++piece) {
        const outcome cut = upload(body, piece);
        cr_assert(cut.items == whole.items, "pieces of %zu", piece);
        cr_assert(cut.content == whole.content, "pieces of %zu", piece);
    }
}

// Guards against chunks above what one log record holds.
Test(job_upload, keeps_chunks_small)
{
    std::string body;
    for (int item = 0; item < 1000; ++item) {
        body += "{\"text\":\"" + std::string(1000, 'x') + "\"}\n";
    }
    callers::upload_limits limits;
    limits.chunk_bytes = 100'000;
    const outcome result = upload(body, 8192, limits);
    cr_assert_eq(result.items.size(), 1000U);
    cr_assert_geq(result.chunks, 10U);
}

// Guards against bad submissions that are taken in part, and against a message without the place.
Test(job_upload, names_the_bad_line)
{
    callers::upload_limits limits;
    limits.item_bytes = 50;
    limits.job_items = 3;
    const std::string item = "{\"a\":1}\n";
    cr_assert(upload("", 10, limits).error == "the job has no items");
    cr_assert(upload("\n\n", 10, limits).error == "the job has no items");
    cr_assert(upload(item + "[1]\n", 5, limits).error == "line 2 is no JSON object");
    cr_assert(upload(item + "{\"a\":\n", 5, limits).error == "line 2 is no JSON object");
    cr_assert(upload(item + std::string(60, 'x'), 7, limits).error ==
              "line 2 is longer than 50 bytes");
    cr_assert(upload(item + item + item + item, 100, limits).error == "a job has at most 3 items");
}
