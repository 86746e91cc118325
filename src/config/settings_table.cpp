#include "config/settings_table.hpp"

namespace gooseberryfall::config {

namespace {

using settings = daemon_settings;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kib = 1U << 10U;
constexpr std::uint64_t mib = 1U << 20U;

/// An append to the log holds at most 1 MiB; the difference is left for the framing.
constexpr std::uint64_t record_body_bytes_max = 960 * kib;

/// Accessor of a member of a nested struct, for the `Access` parameter of the field functions.
#define GOOSEBERRYFALL_MEMBER(path) ([](auto& object) -> auto& { return object.path; })

std::string endpoint_text(const ip_endpoint& value)
{
    return to_text(value);
}

std::string endpoint_text(const std::optional<ip_endpoint>& value)
{
    return value ? to_text(*value) : "";
}

template <class Access>
field<settings> endpoint_field(std::string name, Access access)
{
    return {
        std::move(name), "an address such as \"127.0.0.1:8080\" or \"[::1]:8080\"",
        [access](settings& object, const raw_value& value) {
            const auto* text = std::get_if<std::string>(&value);
            const auto parsed = text != nullptr ? parse_endpoint(*text) : std::nullopt;
            if (parsed) {
                access(object) = *parsed;
            }
            return parsed.has_value();
        },
        [access](const settings& object) -> raw_value { return endpoint_text(access(object)); }};
}

std::optional<ip_endpoint> parse_endpoint_with_port(const std::string& text)
{
    const auto parsed = parse_endpoint(text);
    return parsed && parsed->port != 0 ? parsed : std::nullopt;
}

settings_section instance_section()
{
    return {"instance",
            "Who and where this instance is.",
            {text_field<settings>("name", GOOSEBERRYFALL_MEMBER(node.self.instance), name_rule)
                 .as_required()
                 .described_as(
                     "Name of the instance, unique in the deployment; the platform's instance "
                     "list uses the same name."),
             text_field<settings>("data_centre", GOOSEBERRYFALL_MEMBER(node.data_centre), name_rule)
                 .as_required()
                 .described_as("Data centre that the instance stands in."),
             text_field<settings>("region", GOOSEBERRYFALL_MEMBER(region), name_rule)
                 .as_required()
                 .described_as("Region of the deployment.")}};
}

settings_section callers_section()
{
    return {
        "callers",
        "Listener for callers.",
        {endpoint_field("listen", GOOSEBERRYFALL_MEMBER(callers.listen))
             .as_required()
             .described_as("Address to listen on; port 0 lets the system choose."),
         endpoint_field("advertise", GOOSEBERRYFALL_MEMBER(callers.advertise))
             .described_as(
                 "Address that the directory names, if it is not the listening one; port 0 "
                 "stands for the listening port."),
         count_field<settings>("connections", GOOSEBERRYFALL_MEMBER(http.caller_connections), 1,
                               100'000)
             .described_as("Connections of callers at once; more are closed on arrival."),
         duration_field<settings>("read_timeout", GOOSEBERRYFALL_MEMBER(http.caller_read_timeout),
                                  milliseconds(100), minutes(5))
             .described_as(
                 "Time in which a caller has to send a whole header, or the next part of a "
                 "body."),
         duration_field<settings>("write_timeout", GOOSEBERRYFALL_MEMBER(http.caller_write_timeout),
                                  milliseconds(100), minutes(5))
             .described_as("Time that a caller may take to accept the next part of an answer."),
         duration_field<settings>("idle_timeout", GOOSEBERRYFALL_MEMBER(http.caller_idle_timeout),
                                  seconds(1), hours(1))
             .described_as("Time that a caller's connection may rest between requests."),
         duration_field<settings>("directory_validity",
                                  GOOSEBERRYFALL_MEMBER(node.directory_validity), seconds(1),
                                  minutes(1))
             .described_as(
                 "Time for which callers may cache a directory answer; a leaving instance "
                 "goes on serving for as long.")}};
}

settings_section peers_section()
{
    return {
        "peers",
        "Listener for other instances, and how they are watched.",
        {endpoint_field("listen", GOOSEBERRYFALL_MEMBER(peers.listen))
             .as_required()
             .described_as("Address to listen on; port 0 lets the system choose."),
         endpoint_field("advertise", GOOSEBERRYFALL_MEMBER(peers.advertise))
             .described_as("Address that other instances are told, if it is not the listening one; "
                           "port 0 stands for the listening port."),
         list_field<settings>(
             "seeds", GOOSEBERRYFALL_MEMBER(peer_seeds),
             "a list of addresses such as [\"127.0.0.1:7000\"] with ports from 1 on",
             parse_endpoint_with_port, [](const ip_endpoint& value) { return to_text(value); })
             .described_as(
                 "Addresses of other instances, which are asked for the control state at start "
                 "while the log cannot be read."),
         duration_field<settings>("probe_interval",
                                  GOOSEBERRYFALL_MEMBER(node.members.probe_interval),
                                  milliseconds(10), seconds(30))
             .described_as(
                 "Time between rounds of probes; at most half of currency.bound, so that a "
                 "majority can answer within it."),
         count_field<settings>("fan_out", GOOSEBERRYFALL_MEMBER(node.members.fan_out), 1, 64)
             .described_as("Members probed in one round."),
         duration_field<settings>("silence_bound",
                                  GOOSEBERRYFALL_MEMBER(node.members.silence_bound),
                                  milliseconds(20), minutes(1))
             .described_as("Silence after which a probed member is suspect; at least twice "
                           "peers.probe_interval."),
         duration_field<settings>("unlisted_bound",
                                  GOOSEBERRYFALL_MEMBER(node.members.unlisted_bound), seconds(1),
                                  hours(1))
             .described_as(
                 "Time that a member has to be missing from the platform's list before it "
                 "counts as ended."),
         count_field<settings>("news_limit", GOOSEBERRYFALL_MEMBER(node.members.news_limit), 1, 64)
             .described_as("Membership updates carried by one probe.")}};
}

settings_section operators_section()
{
    return {"operators",
            "Listener for operators.",
            {endpoint_field("listen", GOOSEBERRYFALL_MEMBER(operators))
                 .as_required()
                 .described_as("Address to listen on; port 0 lets the system choose."),
             digest_field<settings>("token_sha256", GOOSEBERRYFALL_MEMBER(operator_token))
                 .as_required()
                 .as_secret()
                 .described_as(
                     "SHA-256 of the operators' token; the token itself is stored nowhere.")}};
}

settings_section tls_section()
{
    return {
        "tls",
        "TLS for callers and operators; plain TCP without these settings.",
        {text_field<settings>("certificate", GOOSEBERRYFALL_MEMBER(tls.certificate), file_path_rule)
             .described_as("Path of the certificate chain in PEM form."),
         text_field<settings>("key", GOOSEBERRYFALL_MEMBER(tls.key), file_path_rule)
             .described_as("Path of the private key in PEM form.")}};
}

settings_section platform_section()
{
    return {
        "platform",
        "The platform's log service and instance list.",
        {list_field<settings>(
             "addresses", GOOSEBERRYFALL_MEMBER(platform.addresses),
             "a list of addresses such as [\"127.0.0.1:7000\"] with ports from 1 on",
             parse_endpoint_with_port, [](const ip_endpoint& value) { return to_text(value); })
             .as_required()
             .described_as("Addresses of the platform, tried in their order."),
         duration_field<settings>("read_wait", GOOSEBERRYFALL_MEMBER(platform.read_wait),
                                  milliseconds(10), seconds(30))
             .described_as("Time that a read of the log waits for a new record; at most half of "
                           "currency.bound, so that a quiet log keeps the instance current."),
         duration_field<settings>("call_timeout", GOOSEBERRYFALL_MEMBER(platform.call_timeout),
                                  milliseconds(100), minutes(1))
             .described_as("Time after which a call without an answer is given up; above "
                           "platform.read_wait."),
         duration_field<settings>("list_interval", GOOSEBERRYFALL_MEMBER(platform.list_interval),
                                  milliseconds(50), minutes(1))
             .described_as("Time between two reads of the instance list.")}};
}

settings_section deployment_section()
{
    return {
        "deployment",
        "Numbers that are the same on all instances and fixed when a deployment is created.",
        {count_field<settings>("limit_shards", GOOSEBERRYFALL_MEMBER(node.limit_shards), 1, 1024)
             .described_as("Shards that the teams' limits are spread over."),
         count_field<settings>("batch_partitions", GOOSEBERRYFALL_MEMBER(node.batch_partitions), 1,
                               1024)
             .described_as("Partitions that the batch jobs are spread over.")}};
}

settings_section currency_section()
{
    return {
        "currency",
        "When an instance may act; the same on all instances. The wait after a shard is taken "
        "over is derived: currency.bound + limits.grant_lifetime + currency.clock_margin.",
        {duration_field<settings>("bound", GOOSEBERRYFALL_MEMBER(node.currency_bound),
                                  milliseconds(200), seconds(30))
             .described_as("Age up to which control state counts as current."),
         duration_field<settings>("clock_margin", GOOSEBERRYFALL_MEMBER(node.clock_margin),
                                  milliseconds(1), seconds(10))
             .described_as("Allowance for differences between the rates of two clocks; at least 1% "
                           "of currency.bound + limits.grant_lifetime.")}};
}

settings_section limits_section()
{
    return {
        "limits",
        "Token grants of the teams' limits; the same on all instances.",
        {duration_field<settings>("grant_lifetime", GOOSEBERRYFALL_MEMBER(node.grant_lifetime),
                                  milliseconds(100), seconds(30))
             .described_as("Lifetime of a grant of limit tokens."),
         duration_field<settings>("token_wait", GOOSEBERRYFALL_MEMBER(node.token_wait),
                                  milliseconds(0), seconds(10))
             .described_as("Time that a request waits for a limit token; at most queue.wait.")}};
}

settings_section queue_section()
{
    return {"queue",
            "Queue of online requests.",
            {duration_field<settings>("wait", GOOSEBERRYFALL_MEMBER(node.queue_wait),
                                      milliseconds(0), minutes(10))
                 .described_as("Time that a request waits for a target."),
             choice_field<settings>("order", GOOSEBERRYFALL_MEMBER(node.order), {"fair", "arrival"})
                 .described_as(
                     "Order between teams; arrival is the baseline of the performance tests.")}};
}

settings_section timeouts_section()
{
    return {"timeouts",
            "Time limits of one dispatch to a target.",
            {duration_field<settings>("connect", GOOSEBERRYFALL_MEMBER(node.timeouts.connect),
                                      milliseconds(10), minutes(1))
                 .described_as("Time to connect."),
             duration_field<settings>("write", GOOSEBERRYFALL_MEMBER(node.timeouts.write),
                                      milliseconds(10), minutes(5))
                 .described_as("Time to send the request."),
             duration_field<settings>("first_byte", GOOSEBERRYFALL_MEMBER(node.timeouts.first_byte),
                                      milliseconds(10), hours(1))
                 .described_as("Time from the end of the request to the first byte of the answer."),
             duration_field<settings>("between_bytes",
                                      GOOSEBERRYFALL_MEMBER(node.timeouts.between_bytes),
                                      milliseconds(10), hours(1))
                 .described_as("Time between two parts of the answer.")}};
}

settings_section routing_section()
{
    return {
        "routing",
        "Choice between targets.",
        {choice_field<settings>("policy", GOOSEBERRYFALL_MEMBER(node.routing.policy),
                                {"affinity", "random"})
             .described_as(
                 "How a target is chosen; random is the baseline of the performance tests."),
         number_field<settings>("affinity_bound",
                                GOOSEBERRYFALL_MEMBER(node.routing.affinity_bound), 1, 10)
             .described_as(
                 "Load of the target with the prompt's prefix, relative to the mean, up to "
                 "which it is preferred."),
         duration_field<settings>("report_half_life",
                                  GOOSEBERRYFALL_MEMBER(node.routing.report_half_life),
                                  milliseconds(10), minutes(1))
             .described_as("Age at which a load report counts half."),
         duration_field<settings>("suspect_time", GOOSEBERRYFALL_MEMBER(node.routing.suspect_time),
                                  milliseconds(10), minutes(1))
             .described_as(
                 "Time for which a target that failed is avoided; doubled with each failure "
                 "in a row."),
         duration_field<settings>("suspect_limit",
                                  GOOSEBERRYFALL_MEMBER(node.routing.suspect_limit),
                                  milliseconds(10), minutes(10))
             .described_as("Longest time for which a target is avoided; at least "
                           "routing.suspect_time."),
         count_field<settings>("overcommit", GOOSEBERRYFALL_MEMBER(node.routing.overcommit), 0,
                               1000)
             .described_as("Online requests that wait inside a target beyond its slots at most.")}};
}

settings_section targets_section()
{
    return {
        "targets",
        "Connections to targets.",
        {duration_field<settings>("load_interval", GOOSEBERRYFALL_MEMBER(load_interval),
                                  milliseconds(20), seconds(30))
             .described_as("Time between two questions for a target's load."),
         count_field<settings>("connections", GOOSEBERRYFALL_MEMBER(http.target_connections), 1,
                               10'000)
             .described_as("Connections to one target at once."),
         duration_field<settings>("idle_timeout", GOOSEBERRYFALL_MEMBER(http.target_idle_timeout),
                                  milliseconds(100), minutes(5))
             .described_as(
                 "Time after which a resting connection is not used for requests that may "
                 "not be repeated."),
         duration_field<settings>("user_timeout", GOOSEBERRYFALL_MEMBER(http.tcp_user_timeout),
                                  milliseconds(100), minutes(5))
             .described_as("Time that sent bytes may stay unacknowledged before a connection is "
                           "closed, on both sides.")}};
}

settings_section http_section()
{
    return {
        "http",
        "Sizes on both sides.",
        {size_field<settings>("header_limit", GOOSEBERRYFALL_MEMBER(http.header_limit), kib,
                              256 * kib)
             .described_as("Bytes of a header."),
         size_field<settings>("body_limit", GOOSEBERRYFALL_MEMBER(http.body_limit), kib, 64 * mib)
             .described_as("Bytes of an online request's body."),
         size_field<settings>("stream_buffer", GOOSEBERRYFALL_MEMBER(http.stream_buffer), 4 * kib,
                              16 * mib)
             .described_as(
                 "Bytes of one answer that wait for a slow caller before reading from the "
                 "target pauses.")}};
}

settings_section governor_section()
{
    return {
        "governor",
        "How much batch work runs beside online work.",
        {count_field<settings>("headroom_min", GOOSEBERRYFALL_MEMBER(node.governor.headroom_min), 0,
                               1000)
             .described_as("Slots of a target that are always left free for online arrivals."),
         number_field<settings>("headroom_max_part",
                                GOOSEBERRYFALL_MEMBER(node.governor.headroom_max_part), 0, 1)
             .described_as("Largest share of a target's slots that the headroom may take up."),
         duration_field<settings>("peak_window", GOOSEBERRYFALL_MEMBER(node.governor.peak_window),
                                  milliseconds(50), minutes(1))
             .described_as("Time over which the peak of online use is remembered."),
         duration_field<settings>("report_lifetime",
                                  GOOSEBERRYFALL_MEMBER(node.governor.report_lifetime),
                                  milliseconds(100), seconds(30))
             .described_as("Age after which an instance's report, or a permit, counts no more."),
         flag_field<settings>("hold_back_batch",
                              GOOSEBERRYFALL_MEMBER(node.governor.hold_back_batch))
             .described_as("If false, batch work may use all slots, which is the baseline of the "
                           "performance tests.")}};
}

settings_section retries_section()
{
    return {
        "retries",
        "One budget for all retries of the instance.",
        {number_field<settings>("ratio", GOOSEBERRYFALL_MEMBER(node.retries.ratio), 0, 1)
             .described_as("Retries allowed for each request of the window."),
         number_field<settings>("minimum_per_second",
                                GOOSEBERRYFALL_MEMBER(node.retries.minimum_per_second), 0, 1000)
             .described_as("Retries allowed for each second of the window, however few the "
                           "requests."),
         duration_field<settings>("window", GOOSEBERRYFALL_MEMBER(node.retries.window), seconds(1),
                                  minutes(1))
             .described_as("Time over which requests and retries are counted."),
         count_field<settings>("per_request", GOOSEBERRYFALL_MEMBER(node.retries.per_request), 0, 2)
             .described_as("Retries of one request.")}};
}

settings_section quarantine_section()
{
    return {
        "quarantine",
        "Requests that were in flight when their target died.",
        {count_field<settings>("deaths", GOOSEBERRYFALL_MEMBER(node.crashes.death_threshold), 1,
                               100)
             .described_as(
                 "Deaths from which on a request is refused, if one of them happened while "
                 "it ran alone."),
         duration_field<settings>("lifetime", GOOSEBERRYFALL_MEMBER(node.crashes.lifetime),
                                  seconds(1), hours(24))
             .described_as("Time after the last death at which the mark of a request, and with it "
                           "its refusal, expires."),
         count_field<settings>("capacity", GOOSEBERRYFALL_MEMBER(node.crashes.capacity), 16,
                               1'000'000)
             .described_as(
                 "Largest number of request fingerprints kept; beyond it the oldest is dropped.")}};
}

settings_section batch_section()
{
    return {
        "batch",
        "Batch jobs.",
        {count_field<settings>("job_items", GOOSEBERRYFALL_MEMBER(submissions.job_items), 1,
                               250'000)
             .described_as("Items of one job."),
         size_field<settings>("item_limit", GOOSEBERRYFALL_MEMBER(submissions.item_limit), kib,
                              record_body_bytes_max)
             .described_as("Bytes of one item or result."),
         size_field<settings>("body_cache", GOOSEBERRYFALL_MEMBER(submissions.body_cache), 0,
                              1024 * mib)
             .described_as("Bytes of bodies and results read back from the log that are kept in "
                           "memory."),
         duration_field<settings>("job_wait", GOOSEBERRYFALL_MEMBER(node.job_wait),
                                  milliseconds(100), minutes(5))
             .described_as("Time for which submission and cancel wait for the partition's holder."),
         duration_field<settings>("result_retention",
                                  GOOSEBERRYFALL_MEMBER(node.batch.result_retention), minutes(1),
                                  hours(24 * 90))
             .described_as("Time for which results are kept after a job has ended."),
         duration_field<settings>("log_retention", GOOSEBERRYFALL_MEMBER(node.batch.log_retention),
                                  minutes(1), hours(24 * 90))
             .described_as("Retention of the platform's log; data older than half of it is carried "
                           "forward."),
         count_field<settings>("max_tries", GOOSEBERRYFALL_MEMBER(node.batch.max_tries), 1, 100)
             .described_as("Failed tries after which an item ends as failed."),
         size_field<settings>("unwritten_limit", GOOSEBERRYFALL_MEMBER(node.batch.unwritten_limit),
                              kib, 1024 * mib)
             .described_as("Bytes of results that wait to be appended to the log; at this limit no "
                           "further item is started."),
         size_field<settings>("append_limit", GOOSEBERRYFALL_MEMBER(node.batch.append_limit), kib,
                              record_body_bytes_max)
             .described_as("Bytes of bodies in one append.")}};
}

settings_section log_section()
{
    return {"log",
            "Log lines of the daemon.",
            {choice_field<settings>("level", GOOSEBERRYFALL_MEMBER(level),
                                    {"debug", "info", "warning", "error"})
                 .described_as("Lowest level that is logged.")}};
}

#undef GOOSEBERRYFALL_MEMBER

std::vector<settings_section> make_table()
{
    return {instance_section(),   callers_section(),  peers_section(),      operators_section(),
            tls_section(),        platform_section(), deployment_section(), currency_section(),
            limits_section(),     queue_section(),    timeouts_section(),   routing_section(),
            targets_section(),    http_section(),     governor_section(),   retries_section(),
            quarantine_section(), batch_section(),    log_section()};
}

} // namespace

const std::vector<settings_section>& settings_table()
{
    static const std::vector<settings_section> table = make_table();
    return table;
}

std::vector<std::string> setting_names()
{
    std::vector<std::string> names;
    for (const settings_section& section : settings_table()) {
        for (const field<daemon_settings>& setting : section.fields) {
            names.push_back(section.name + "." + setting.name);
        }
    }
    return names;
}

} // namespace gooseberryfall::config
