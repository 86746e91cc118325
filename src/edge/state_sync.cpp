#include "edge/state_sync.hpp"

#include "core/visitors.hpp"

#include <charconv>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Time after the start for which the list of instances is awaited before the first read.
constexpr milliseconds members_wait{700};

/// Time limits of a fetch from another instance. Longer than the usual ones between instances for
/// the response, because a small instance compresses the state first.
constexpr milliseconds fetch_connect_timeout{300};
constexpr milliseconds fetch_response_timeout{1000};
constexpr milliseconds fetch_progress_timeout{500};

constexpr const char* offset_header = "State-Offset";
constexpr const char* retry_header = "Retry-After-Ms";
constexpr const char* location_scheme = "http://";
constexpr unsigned status_redirect = 307;

std::optional<std::uint64_t> parse_number(const std::string& text)
{
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

/// Instance that a `Location` header names; empty if it names none.
core::instance_id parse_location(const std::string& location)
{
    const std::string prefix = location_scheme;
    const std::string suffix = state_sync::path;
    if (!location.starts_with(prefix) || !location.ends_with(suffix) ||
        location.size() <= prefix.size() + suffix.size()) {
        return {};
    }
    return core::instance_id(
        location.substr(prefix.size(), location.size() - prefix.size() - suffix.size()));
}

} // namespace

state_sync::state_sync(kernel::logger& logger, store& durable_store, http::client& peers,
                       topic_partition partition, std::string key, core::instance_id self,
                       state_sync_callbacks callbacks)
    : logger_(logger), peers_(peers), key_(std::move(key)), self_(std::move(self)),
      callbacks_(std::move(callbacks)),
      follower_(durable_store, std::move(partition), core::stable_hash(self_.value()),
                {[this](const std::map<std::string, std::string>& snapshot) {
                     if (callbacks_.on_snapshot) {
                         callbacks_.on_snapshot(follower_.next_offset().value_or(0), snapshot);
                     }
                     const auto found = snapshot.find(key_);
                     if (found != snapshot.end()) {
                         take(found->second, follower_.next_offset(), "store");
                     }
                 },
                 [this](const std::string& changed_key, const std::string& value) {
                     if (callbacks_.on_record) {
                         callbacks_.on_record(follower_.next_offset().value_or(0), changed_key,
                                              value);
                     }
                     if (changed_key == key_) {
                         take(value, follower_.next_offset(), "store");
                     }
                 },
                 callbacks_.on_reachability}),
      backup_(durable_store, logger, core::stable_hash(self_.value())), fetcher_(self_),
      started_at_(steady_clock::now())
{
}

state_sync::~state_sync()
{
    *alive_ = false;
}

void state_sync::take(const std::string& value, std::optional<std::uint64_t> offset,
                      const char* source)
{
    if (value == encoded_) {
        return;
    }
    const std::optional<std::uint64_t> version = callbacks_.on_state(value, source);
    if (!version) {
        return;
    }
    version_ = *version;
    encoded_ = value;
    compressed_.clear();
    offset_ = offset;
    distributor_.set_version(version_);
    fetcher_.set_version(version_);
}

const std::string& state_sync::compressed_state()
{
    if (compressed_.empty()) {
        compressed_ = http::compress(encoded_);
    }
    return compressed_;
}

void state_sync::on_announcement(const core::instance_id& from, std::uint64_t version,
                                 std::size_t members)
{
    const core::time_point now = steady_clock::now();
    const bool was_behind = fetcher_.is_behind();
    fetcher_.on_announcement(from, version, members, now);
    if (!was_behind && fetcher_.is_behind()) {
        store_read_allowed_at_ = now + interval_;
    }
    fetch_if_due(now);
}

bool state_sync::may_read_store(core::time_point now, const state_sync_status& status)
{
    if (status.leads) {
        return true;
    }
    if (version_ != 0) {
        return !fetcher_.is_behind() || now >= store_read_allowed_at_;
    }
    if (!status.members_known && now - started_at_ < members_wait) {
        return false;
    }
    if (!first_read_at_) {
        first_read_at_ = now + serving::first_read_delay(self_, status.members);
    }
    return now >= *first_read_at_;
}

void state_sync::tick(core::time_point now, milliseconds interval, const state_sync_status& status)
{
    interval_ = interval;
    if (may_read_store(now, status)) {
        follower_.tick(now, interval);
        if (version_ == 0 && follower_.is_failing()) {
            backup_.load(now,
                         [this](const std::string& value) { take(value, std::nullopt, "copy"); });
        }
    }
    if (status.leads && version_ != 0 && backup_.is_save_due(version_, now)) {
        backup_.save(version_, compressed_state(), now);
    }
    fetch_if_due(now);
}

void state_sync::fetch_if_due(core::time_point now)
{
    const std::optional<core::instance_id> source = fetcher_.take_due_fetch(now);
    if (!source) {
        return;
    }
    http::client_request request;
    request.address = source->value();
    request.target = std::string(path) + "?from=" + self_.value();
    request.headers.set("Accept-Encoding", http::compression_name);
    request.timeouts.connect = fetch_connect_timeout;
    request.timeouts.first_byte = fetch_response_timeout;
    request.timeouts.between_bytes = fetch_progress_timeout;
    http::call_observer observer;
    observer.on_done = [this, alive = alive_, from = *source](const http::call_result& result) {
        if (*alive) {
            on_fetched(from, result);
        }
    };
    peers_.start(std::move(request), std::move(observer));
}

void state_sync::on_fetched(const core::instance_id& from, const http::call_result& result)
{
    const core::time_point now = steady_clock::now();
    const bool completed = result.outcome == http::call_outcome::completed;
    if (completed && result.head.status == status_redirect) {
        const core::instance_id holder = parse_location(result.head.headers.get("Location"));
        fetcher_.on_redirect(holder.empty() ? self_ : holder, now);
        fetch_if_due(now);
        return;
    }
    const auto retry_after = parse_number(result.head.headers.get(retry_header));
    if (completed && retry_after) {
        fetcher_.on_deferral(milliseconds(*retry_after), now);
        return;
    }
    const auto taken = take_response(result);
    if (taken) {
        fetcher_.on_fetched(now);
        return;
    }
    fetcher_.on_failure(now);
    // The store may answer sooner than the instance.
    store_read_allowed_at_ = now;
    logger_.write(kernel::log_level::warning, "state_not_fetched",
                  {{"instance", from.value()}, {"reason", taken.error()}});
}

tl::expected<void, std::string> state_sync::take_response(const http::call_result& result)
{
    if (result.outcome != http::call_outcome::completed) {
        return tl::unexpected(result.reason);
    }
    if (result.head.status != 200) {
        return tl::unexpected("status " + std::to_string(result.head.status));
    }
    const auto offset = parse_number(result.head.headers.get(offset_header));
    if (result.head.headers.get("Content-Encoding") != http::compression_name) {
        take(result.body, offset, "instance");
    }
    else {
        const auto value = http::decompress(result.body, state_bytes_max);
        if (!value) {
            return tl::unexpected("cannot decompress the state: " + value.error());
        }
        take(*value, offset, "instance");
    }
    if (offset && may_skip_to(*offset)) {
        follower_.skip_to(*offset);
    }
    return {};
}

bool state_sync::may_skip_to(std::uint64_t offset) const
{
    return !callbacks_.known_offset || callbacks_.known_offset() >= offset;
}

void state_sync::handle(const http::request& received,
                        const std::shared_ptr<http::responder>& caller)
{
    if (encoded_.empty()) {
        caller->send({503, {}, {}});
        return;
    }
    auto parts = http::parse_target(received.target);
    if (!parts || !parts->query.contains("from")) {
        // An instance of an earlier version does not name itself, and knows no redirects.
        caller->send({200, {}, encoded_});
        return;
    }
    const core::instance_id asker(parts->query["from"]);
    const bool compressed = received.headers.get("Accept-Encoding") == http::compression_name;
    std::visit(
        core::visitors{
            [&](const serving::state_transfer&) { send_state(asker, compressed, caller); },
            [&](const serving::state_redirect& redirect) {
                caller->send({status_redirect,
                              {{"Location", location_scheme + redirect.holder.value() + path}},
                              {}});
            },
            [&](const serving::state_deferral& deferral) {
                caller->send(
                    {503, {{retry_header, std::to_string(deferral.retry_after.count())}}, {}});
            },
        },
        distributor_.on_request(asker));
}

void state_sync::send_state(const core::instance_id& to, bool compressed,
                            const std::shared_ptr<http::responder>& caller)
{
    caller->when_ended([this, alive = alive_, to, version = version_](bool complete) {
        if (*alive) {
            distributor_.on_transfer_ended(to, version, complete);
        }
    });
    http::response response;
    if (offset_) {
        response.headers.set(offset_header, std::to_string(*offset_));
    }
    if (!compressed) {
        response.body = encoded_;
        caller->send(std::move(response));
        return;
    }
    response.headers.set("Content-Encoding", http::compression_name);
    response.body = compressed_state();
    caller->send(std::move(response));
}

} // namespace gooseberryfall::edge
