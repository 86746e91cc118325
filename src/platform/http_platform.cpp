#include "platform/http_platform.hpp"

#include "platform/log_wire.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gooseberryfall::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned doublings_max = 16;

std::string records_path(const std::string& stream)
{
    return "/v1/streams/" + stream + "/records";
}

milliseconds doubled(milliseconds first, unsigned times, milliseconds limit)
{
    return std::min(limit, first * (1U << std::min(times, doublings_max)));
}

/// Why an answer is not a success, or nothing.
std::string failure_text(const http::call_result& result)
{
    if (result.outcome != http::call_outcome::completed) {
        return std::string(http::to_text(result.outcome)) + ": " + result.reason;
    }
    return result.head.status == 200 ? "" : "status " + std::to_string(result.head.status);
}

unsigned count_timeout(unsigned timeouts, const http::call_result& result)
{
    return result.outcome == http::call_outcome::timed_out ? timeouts + 1 : timeouts;
}

} // namespace

http_platform::http_platform(http_platform_settings settings, platform_observer observer)
    : settings_(std::move(settings)), observer_(std::move(observer)), random_(settings_.seed),
      loop_("platform"), client_(loop_)
{
    if (observer_.on_instances) {
        loop_.post([this] { ask_list(); });
    }
}

http_platform::~http_platform()
{
    loop_.run_and_wait([this] { stopped_ = true; });
}

void http_platform::append(const std::string& stream, std::string bytes,
                           std::function<void(core::log_offset)> acknowledged)
{
    assert(bytes.size() <= settings_.record_limit);
    pending_append added{std::move(bytes), std::move(acknowledged)};
    loop_.post([this, stream, added = std::move(added)]() mutable {
        append_queue& queue = appends_[stream];
        queue.entries.push_back(std::move(added));
        if (queue.entries.size() == 1) {
            send_append(stream);
        }
    });
}

void http_platform::send_append(const std::string& stream)
{
    const append_queue& queue = appends_[stream];
    auto request = make_request("POST", records_path(stream));
    request.timeouts.first_byte =
        doubled(settings_.answer_first, queue.timeouts, settings_.append_answer_limit);
    request.headers.set("Content-Type", "application/octet-stream");
    request.body = queue.entries.front().bytes;
    start(std::move(request),
          [this, stream](const http::call_result& result) { on_append_done(stream, result); });
}

void http_platform::on_append_done(const std::string& stream, const http::call_result& result)
{
    append_queue& queue = appends_[stream];
    std::string reason = failure_text(result);
    core::log_offset offset = 0;
    if (reason.empty()) {
        const auto parsed = parse_append_answer(result.body);
        reason = parsed ? "" : parsed.error();
        offset = parsed.value_or(0);
    }
    if (!reason.empty()) {
        queue.timeouts = count_timeout(queue.timeouts, result);
        ++queue.failures;
        report(platform_operation::append, stream, reason, queue.failures);
        after(backoff(queue.failures), [this, stream] { send_append(stream); });
        return;
    }
    const pending_append done = std::move(queue.entries.front());
    queue.entries.pop_front();
    queue.failures = 0;
    queue.timeouts = 0;
    if (!queue.entries.empty()) {
        send_append(stream);
    }
    if (done.acknowledged) {
        done.acknowledged(offset);
    }
}

void http_platform::follow(const std::string& stream, core::log_offset from,
                           std::function<void(stream_read)> callback)
{
    assert(callback);
    loop_.post([this, stream, from, callback = std::move(callback)]() mutable {
        follower& reader = followers_[stream];
        if (reader.call != nullptr) {
            reader.call->cancel();
        }
        reader = follower();
        reader.number = ++last_follower_;
        reader.next = from;
        reader.callback = std::move(callback);
        ask(stream, reader.number);
    });
}

void http_platform::stop_following(const std::string& stream)
{
    const auto stop = [this, stream] {
        const auto found = followers_.find(stream);
        if (found == followers_.end()) {
            return;
        }
        if (found->second.call != nullptr) {
            found->second.call->cancel();
        }
        followers_.erase(found);
    };
    if (loop_.is_current()) {
        stop();
        return;
    }
    loop_.post(stop);
}

http_platform::follower* http_platform::find_follower(const std::string& stream,
                                                      std::uint64_t number)
{
    const auto found = followers_.find(stream);
    const bool same = found != followers_.end() && found->second.number == number;
    return same ? &found->second : nullptr;
}

void http_platform::ask(const std::string& stream, std::uint64_t number)
{
    follower* reader = find_follower(stream, number);
    if (reader == nullptr) {
        return;
    }
    const std::string target = records_path(stream) + "?from=" + std::to_string(reader->next) +
                               "&max_bytes=" + std::to_string(settings_.read_bytes) +
                               "&wait_ms=" + std::to_string(settings_.read_wait.count());
    auto request = make_request("GET", target);
    request.timeouts.first_byte =
        settings_.read_wait +
        doubled(settings_.answer_first, reader->timeouts, settings_.read_answer_limit);
    const auto asked_at = steady_clock::now();
    reader->call = start(std::move(request),
                         [this, stream, number, asked_at](const http::call_result& result) {
                             on_read_done(stream, number, asked_at, result);
                         });
}

void http_platform::on_read_done(const std::string& stream, std::uint64_t number,
                                 core::time_point asked_at, const http::call_result& result)
{
    follower* reader = find_follower(stream, number);
    if (reader == nullptr) {
        return;
    }
    reader->call = nullptr;
    auto answer = check_read(result, reader->next);
    if (!answer) {
        reader->timeouts = count_timeout(reader->timeouts, result);
        ++reader->failures;
        report(platform_operation::follow, stream, answer.error(), reader->failures);
        reader = find_follower(stream, number);
        if (reader != nullptr) {
            after(backoff(reader->failures), [this, stream, number] { ask(stream, number); });
        }
        return;
    }
    reader->failures = 0;
    reader->timeouts = 0;
    if (answer->expired) {
        reader->next = answer->earliest;
    }
    deliver(*reader, asked_at, std::move(*answer));
    ask(stream, number);
}

void http_platform::deliver(follower& reader, core::time_point asked_at, read_answer answer)
{
    stream_read read;
    read.asked_at = asked_at;
    read.from = reader.next;
    read.head = answer.head;
    read.earliest = answer.earliest;
    read.records = std::move(answer.records);
    reader.next += read.records.size();
    // The callback may end or replace the follower.
    const auto callback = reader.callback;
    callback(std::move(read));
}

tl::expected<http_platform::read_answer, std::string>
http_platform::check_read(const http::call_result& result, core::log_offset from)
{
    const bool expired =
        result.outcome == http::call_outcome::completed && result.head.status == 410;
    const std::string reason = failure_text(result);
    if (!reason.empty() && !expired) {
        return tl::make_unexpected(reason);
    }
    const auto head = parse_offset(result.head.headers.get("Log-Head"));
    const auto earliest = parse_offset(result.head.headers.get("Log-Earliest"));
    if (!head || !earliest) {
        return tl::make_unexpected(std::string("malformed answer: no head or earliest offset"));
    }
    if (*earliest > *head || expired != (from < *earliest) || (!expired && from > *head)) {
        return tl::make_unexpected("malformed answer: from " + std::to_string(from) +
                                   ", earliest " + std::to_string(*earliest) + ", head " +
                                   std::to_string(*head));
    }
    read_answer answer;
    answer.head = *head;
    answer.earliest = *earliest;
    answer.expired = expired;
    if (!expired) {
        auto records = parse_records(result.body, from, *head);
        if (!records) {
            return tl::make_unexpected(records.error());
        }
        answer.records = std::move(*records);
    }
    return answer;
}

void http_platform::read_record(
    const std::string& stream, core::log_offset offset,
    std::function<void(tl::expected<log_record, record_error>)> callback)
{
    assert(callback);
    auto query = std::make_shared<record_query>();
    query->stream = stream;
    query->offset = offset;
    query->callback = std::move(callback);
    loop_.post([this, query] {
        record_queue_.push_back(query);
        start_record_reads();
    });
}

void http_platform::start_record_reads()
{
    while (!record_queue_.empty() && record_reads_ < settings_.record_reads) {
        const auto query = record_queue_.front();
        record_queue_.pop_front();
        ++record_reads_;
        send_record_query(query);
    }
}

void http_platform::send_record_query(const std::shared_ptr<record_query>& query)
{
    const std::string target =
        records_path(query->stream) + "?from=" + std::to_string(query->offset) + "&max_bytes=1";
    auto request = make_request("GET", target);
    request.timeouts.first_byte =
        doubled(settings_.answer_first, query->failures, settings_.read_answer_limit);
    start(std::move(request),
          [this, query](const http::call_result& result) { on_record_done(query, result); });
}

void http_platform::on_record_done(const std::shared_ptr<record_query>& query,
                                   const http::call_result& result)
{
    auto answer = check_read(result, query->offset);
    if (!answer) {
        ++query->failures;
        report(platform_operation::read_record, query->stream, answer.error(), query->failures);
        if (query->failures >= settings_.record_tries) {
            end_record_query(*query, tl::make_unexpected(record_error::unavailable));
            return;
        }
        after(backoff(query->failures), [this, query] { send_record_query(query); });
        return;
    }
    if (answer->expired) {
        end_record_query(*query, tl::make_unexpected(record_error::expired));
    }
    else if (answer->records.empty()) {
        end_record_query(*query, tl::make_unexpected(record_error::absent));
    }
    else {
        end_record_query(*query, std::move(answer->records.front()));
    }
}

void http_platform::end_record_query(record_query& query,
                                     tl::expected<log_record, record_error> result)
{
    --record_reads_;
    start_record_reads();
    query.callback(std::move(result));
}

void http_platform::ask_list()
{
    start(make_request("GET", "/v1/instances"),
          [this](const http::call_result& result) { on_list_done(result); });
}

void http_platform::on_list_done(const http::call_result& result)
{
    after(settings_.list_interval, [this] { ask_list(); });
    const std::string reason = failure_text(result);
    auto list = reason.empty()
                    ? parse_instances(result.body)
                    : tl::expected<core::instance_list, std::string>(tl::make_unexpected(reason));
    if (!list) {
        ++list_failures_;
        report(platform_operation::list, "", list.error(), list_failures_);
        return;
    }
    list_failures_ = 0;
    observer_.on_instances(std::move(*list));
}

http::client_request http_platform::make_request(const std::string& method,
                                                 const std::string& target) const
{
    http::client_request request;
    request.address = settings_.address;
    request.method = method;
    request.target = target;
    request.timeouts.first_byte = settings_.answer_first;
    request.timeouts.between_bytes = settings_.answer_first;
    // The first record of a read may exceed the bytes asked for.
    request.body_limit = settings_.read_bytes + settings_.record_limit + 2 * record_header_size;
    return request;
}

std::shared_ptr<http::ongoing_call>
http_platform::start(http::client_request request,
                     std::function<void(const http::call_result&)> done)
{
    http::call_observer observer;
    observer.on_done = [this, done = std::move(done)](const http::call_result& result) {
        if (!stopped_) {
            done(result);
        }
    };
    return client_.start(std::move(request), std::move(observer));
}

void http_platform::after(milliseconds delay, std::function<void()> task)
{
    loop_.post_after(delay, [this, task = std::move(task)] {
        if (!stopped_) {
            task();
        }
    });
}

milliseconds http_platform::backoff(unsigned failures)
{
    assert(failures > 0);
    const milliseconds full =
        doubled(settings_.backoff_first, failures - 1, settings_.backoff_limit);
    // A random part keeps the instances from asking at the same time after an outage.
    std::uniform_int_distribution<std::int64_t> part(full.count() / 2, full.count());
    return milliseconds(part(random_));
}

void http_platform::report(platform_operation operation, const std::string& stream,
                           const std::string& reason, unsigned tries)
{
    if (kernel::counter* failures = counter_of(operation)) {
        failures->add();
    }
    if (observer_.on_failure) {
        observer_.on_failure({operation, stream, reason, tries});
    }
}

kernel::counter* http_platform::counter_of(platform_operation operation)
{
    if (settings_.metrics == nullptr) {
        return nullptr;
    }
    return &settings_.metrics->add_counter("platform_failures_total",
                                           "Calls of the platform that failed.",
                                           {{"operation", to_text(operation)}});
}

} // namespace gooseberryfall::platform
