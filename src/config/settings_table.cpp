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

/// An append holds at most 1 MiB; the rest is left for its framing.
constexpr std::uint64_t record_body_limit = 960 * kib;

/// Names a member of a nested struct of the settings.
#define GOOSEBERRYFALL_AT(path) ([](auto& object) -> auto& { return object.path; })

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

std::optional<ip_endpoint> platform_endpoint(const std::string& text)
{
    const auto parsed = parse_endpoint(text);
    return parsed && parsed->port != 0 ? parsed : std::nullopt;
}

settings_section instance_section()
{
    return {"instance",
            "Who and where this instance is.",
            {text_field<settings>("name", GOOSEBERRYFALL_AT(node.self.instance), name_form)
                 .needed()
                 .about("Name of the instance, unique in the deployment; the platform's instance "
                        "list uses the same name."),
             text_field<settings>("data_centre", GOOSEBERRYFALL_AT(node.data_centre), name_form)
                 .needed()
                 .about("Data centre that the instance stands in."),
             text_field<settings>("region", GOOSEBERRYFALL_AT(region), name_form)
                 .needed()
                 .about("Region of the deployment.")}};
}

settings_section callers_section()
{
    return {
        "callers",
        "Listener for callers.",
        {endpoint_field("listen", GOOSEBERRYFALL_AT(callers.listen))
             .needed()
             .about("Address to listen on; port 0 lets the system choose."),
         endpoint_field("advertise", GOOSEBERRYFALL_AT(callers.advertise))
             .about("Address that the directory names, if it is not the listening one; port 0 "
                    "stands for the listening port."),
         count_field<settings>("connections", GOOSEBERRYFALL_AT(http.caller_connections), 1,
                               100'000)
             .about("Connections of callers at once; more are closed on arrival."),
         duration_field<settings>("read_timeout", GOOSEBERRYFALL_AT(http.caller_read),
                                  milliseconds(100), minutes(5))
             .about("Time in which a caller has to send a whole header, or the next part of a "
                    "body."),
         duration_field<settings>("write_timeout", GOOSEBERRYFALL_AT(http.caller_write),
                                  milliseconds(100), minutes(5))
             .about("Time that a caller may take to accept the next part of an answer."),
         duration_field<settings>("idle_timeout", GOOSEBERRYFALL_AT(http.caller_idle), seconds(1),
                                  hours(1))
             .about("Time that a caller's connection may rest between requests."),
         duration_field<settings>("directory_validity", GOOSEBERRYFALL_AT(node.directory_validity),
                                  seconds(1), minutes(1))
             .about("Time for which callers may cache a directory answer; a leaving instance "
                    "goes on serving for as long.")}};
}

settings_section peers_section()
{
    return {
        "peers",
        "Listener for other instances, and how they are watched.",
        {endpoint_field("listen", GOOSEBERRYFALL_AT(peers.listen))
             .needed()
             .about("Address to listen on; port 0 lets the system choose."),
         endpoint_field("advertise", GOOSEBERRYFALL_AT(peers.advertise))
             .about("Address that other instances are told, if it is not the listening one; "
                    "port 0 stands for the listening port."),
         list_field<settings>(
             "seeds", GOOSEBERRYFALL_AT(peer_seeds),
             "a list of addresses such as [\"127.0.0.1:7000\"] with ports from 1 on",
             platform_endpoint, [](const ip_endpoint& value) { return to_text(value); })
             .about("Addresses of other instances, which are asked for the control state at start "
                    "while the log cannot be read."),
         duration_field<settings>("probe_interval", GOOSEBERRYFALL_AT(node.members.probe_interval),
                                  milliseconds(10), seconds(30))
             .about("Time between rounds of probes; at most half of currency.bound, so that a "
                    "majority can answer within it."),
         count_field<settings>("fan_out", GOOSEBERRYFALL_AT(node.members.fan_out), 1, 64)
             .about("Members probed in one round."),
         duration_field<settings>("silence_bound", GOOSEBERRYFALL_AT(node.members.silence_bound),
                                  milliseconds(20), minutes(1))
             .about("Silence after which a probed member is suspect; at least twice "
                    "peers.probe_interval."),
         duration_field<settings>("unlisted_bound", GOOSEBERRYFALL_AT(node.members.unlisted_bound),
                                  seconds(1), hours(1))
             .about("Time that a member has to be missing from the platform's list before it "
                    "counts as ended."),
         count_field<settings>("news_limit", GOOSEBERRYFALL_AT(node.members.news_limit), 1, 64)
             .about("News entries carried by one probe.")}};
}

settings_section operators_section()
{
    return {"operators",
            "Listener for operators.",
            {endpoint_field("listen", GOOSEBERRYFALL_AT(operators))
                 .needed()
                 .about("Address to listen on; port 0 lets the system choose."),
             digest_field<settings>("token_sha256", GOOSEBERRYFALL_AT(operator_token))
                 .needed()
                 .hidden()
                 .about("SHA-256 of the operators' token; the token itself is stored nowhere.")}};
}

settings_section tls_section()
{
    return {"tls",
            "TLS for callers and operators; plain TCP without these settings.",
            {text_field<settings>("certificate", GOOSEBERRYFALL_AT(tls.certificate), file_form)
                 .about("Path of the certificate chain in PEM form."),
             text_field<settings>("key", GOOSEBERRYFALL_AT(tls.key), file_form)
                 .about("Path of the private key in PEM form.")}};
}

settings_section platform_section()
{
    return {"platform",
            "The platform's log service and instance list.",
            {list_field<settings>(
                 "addresses", GOOSEBERRYFALL_AT(platform.addresses),
                 "a list of addresses such as [\"127.0.0.1:7000\"] with ports from 1 on",
                 platform_endpoint, [](const ip_endpoint& value) { return to_text(value); })
                 .needed()
                 .about("Addresses of the platform, tried in their order."),
             duration_field<settings>("read_wait", GOOSEBERRYFALL_AT(platform.read_wait),
                                      milliseconds(10), seconds(30))
                 .about("Time that a read of the log waits for a new record; at most half of "
                        "currency.bound, so that a quiet log keeps the instance current."),
             duration_field<settings>("call_timeout", GOOSEBERRYFALL_AT(platform.call_timeout),
                                      milliseconds(100), minutes(1))
                 .about("Time after which a call without an answer is given up; above "
                        "platform.read_wait."),
             duration_field<settings>("list_interval", GOOSEBERRYFALL_AT(platform.list_interval),
                                      milliseconds(50), minutes(1))
                 .about("Time between two reads of the instance list.")}};
}

settings_section deployment_section()
{
    return {"deployment",
            "Numbers that are the same on all instances and fixed when a deployment is created.",
            {count_field<settings>("limit_shards", GOOSEBERRYFALL_AT(node.limit_shards), 1, 1024)
                 .about("Shards that the teams' limits are spread over."),
             count_field<settings>("batch_partitions", GOOSEBERRYFALL_AT(node.batch_partitions), 1,
                                   1024)
                 .about("Partitions that the batch jobs are spread over.")}};
}

settings_section currency_section()
{
    return {"currency",
            "When an instance may act; the same on all instances. The wait after a shard is taken "
            "over is derived: currency.bound + limits.grant_lifetime + currency.clock_margin.",
            {duration_field<settings>("bound", GOOSEBERRYFALL_AT(node.currency_bound),
                                      milliseconds(200), seconds(30))
                 .about("Age up to which control state counts as current."),
             duration_field<settings>("clock_margin", GOOSEBERRYFALL_AT(node.clock_margin),
                                      milliseconds(1), seconds(10))
                 .about("Allowance for differences between the rates of two clocks; at least 1% "
                        "of currency.bound + limits.grant_lifetime.")}};
}

settings_section limits_section()
{
    return {"limits",
            "Token grants of the teams' limits; the same on all instances.",
            {duration_field<settings>("grant_lifetime", GOOSEBERRYFALL_AT(node.grant_lifetime),
                                      milliseconds(100), seconds(30))
                 .about("Lifetime of a grant of limit tokens."),
             duration_field<settings>("token_wait", GOOSEBERRYFALL_AT(node.token_wait),
                                      milliseconds(0), seconds(10))
                 .about("Time that a request waits for a limit token; at most queue.wait.")}};
}

settings_section queue_section()
{
    return {"queue",
            "Queue of online requests.",
            {duration_field<settings>("wait", GOOSEBERRYFALL_AT(node.queue_wait), milliseconds(0),
                                      minutes(10))
                 .about("Time that a request waits for a target."),
             choice_field<settings>("order", GOOSEBERRYFALL_AT(node.order), {"fair", "arrival"})
                 .about("Order between teams; arrival is the baseline of the performance tests.")}};
}

settings_section timeouts_section()
{
    return {
        "timeouts",
        "Time limits of one dispatch to a target.",
        {duration_field<settings>("connect", GOOSEBERRYFALL_AT(node.timeouts.connect),
                                  milliseconds(10), minutes(1))
             .about("Time to connect."),
         duration_field<settings>("write", GOOSEBERRYFALL_AT(node.timeouts.write), milliseconds(10),
                                  minutes(5))
             .about("Time to send the request."),
         duration_field<settings>("first_byte", GOOSEBERRYFALL_AT(node.timeouts.first_byte),
                                  milliseconds(10), hours(1))
             .about("Time from the end of the request to the first byte of the answer."),
         duration_field<settings>("between_bytes", GOOSEBERRYFALL_AT(node.timeouts.between_bytes),
                                  milliseconds(10), hours(1))
             .about("Time between two parts of the answer.")}};
}

settings_section routing_section()
{
    return {
        "routing",
        "Choice between targets.",
        {choice_field<settings>("policy", GOOSEBERRYFALL_AT(node.routing.policy),
                                {"affinity", "random"})
             .about("How a target is chosen; random is the baseline of the performance tests."),
         number_field<settings>("affinity_bound", GOOSEBERRYFALL_AT(node.routing.affinity_bound), 1,
                                10)
             .about("Load of the target with the prompt's prefix, relative to the mean, up to "
                    "which it is preferred."),
         duration_field<settings>("report_half_life",
                                  GOOSEBERRYFALL_AT(node.routing.report_half_life),
                                  milliseconds(10), minutes(1))
             .about("Age at which a load report counts half."),
         duration_field<settings>("suspect_time", GOOSEBERRYFALL_AT(node.routing.suspect_time),
                                  milliseconds(10), minutes(1))
             .about("Time for which a target that failed is avoided; doubled with each failure "
                    "in a row."),
         duration_field<settings>("suspect_limit", GOOSEBERRYFALL_AT(node.routing.suspect_limit),
                                  milliseconds(10), minutes(10))
             .about("Longest time for which a target is avoided; at least "
                    "routing.suspect_time."),
         count_field<settings>("overcommit", GOOSEBERRYFALL_AT(node.routing.overcommit), 0, 1000)
             .about("Online requests that wait inside a target beyond its slots at most.")}};
}

settings_section targets_section()
{
    return {
        "targets",
        "Connections to targets.",
        {duration_field<settings>("load_interval", GOOSEBERRYFALL_AT(load_interval),
                                  milliseconds(20), seconds(30))
             .about("Time between two questions for a target's load."),
         count_field<settings>("connections", GOOSEBERRYFALL_AT(http.target_connections), 1, 10'000)
             .about("Connections to one target at once."),
         duration_field<settings>("idle_timeout", GOOSEBERRYFALL_AT(http.target_idle),
                                  milliseconds(100), minutes(5))
             .about("Time after which a resting connection is not used for requests that may "
                    "not be repeated."),
         duration_field<settings>("user_timeout", GOOSEBERRYFALL_AT(http.user_timeout),
                                  milliseconds(100), minutes(5))
             .about("Time that sent bytes may stay unacknowledged before a connection is "
                    "closed, on both sides.")}};
}

settings_section http_section()
{
    return {
        "http",
        "Sizes on both sides.",
        {size_field<settings>("header_limit", GOOSEBERRYFALL_AT(http.header_limit), kib, 256 * kib)
             .about("Bytes of a header."),
         size_field<settings>("body_limit", GOOSEBERRYFALL_AT(http.body_limit), kib, 64 * mib)
             .about("Bytes of an online request's body."),
         size_field<settings>("stream_buffer", GOOSEBERRYFALL_AT(http.stream_buffer), 4 * kib,
                              16 * mib)
             .about("Bytes of one answer that wait for a slow caller before reading from the "
                    "target pauses.")}};
}

settings_section governor_section()
{
    return {
        "governor",
        "How much batch work runs beside online work.",
        {count_field<settings>("headroom_min", GOOSEBERRYFALL_AT(node.governor.headroom_min), 0,
                               1000)
             .about("Slots of a target that are always left free for online arrivals."),
         number_field<settings>("headroom_max_part",
                                GOOSEBERRYFALL_AT(node.governor.headroom_max_part), 0, 1)
             .about("Part of a target's slots that the headroom is at most."),
         duration_field<settings>("peak_window", GOOSEBERRYFALL_AT(node.governor.peak_window),
                                  milliseconds(50), minutes(1))
             .about("Time over which the peak of online use is remembered."),
         duration_field<settings>("report_lifetime",
                                  GOOSEBERRYFALL_AT(node.governor.report_lifetime),
                                  milliseconds(100), seconds(30))
             .about("Age after which an instance's report, or a permit, counts no more."),
         flag_field<settings>("hold_back_batch", GOOSEBERRYFALL_AT(node.governor.hold_back_batch))
             .about("Off lets batch work use all slots; the baseline of the performance "
                    "tests.")}};
}

settings_section retries_section()
{
    return {"retries",
            "One budget for all retries of the instance.",
            {number_field<settings>("ratio", GOOSEBERRYFALL_AT(node.retries.ratio), 0, 1)
                 .about("Retries allowed for each request of the window."),
             number_field<settings>("minimum_per_second",
                                    GOOSEBERRYFALL_AT(node.retries.minimum_per_second), 0, 1000)
                 .about("Retries allowed for each second of the window, however few the "
                        "requests."),
             duration_field<settings>("window", GOOSEBERRYFALL_AT(node.retries.window), seconds(1),
                                      minutes(1))
                 .about("Time over which requests and retries are counted."),
             count_field<settings>("per_request", GOOSEBERRYFALL_AT(node.retries.per_request), 0, 2)
                 .about("Retries of one request.")}};
}

settings_section quarantine_section()
{
    return {
        "quarantine",
        "Requests that were in flight when their target died.",
        {count_field<settings>("deaths", GOOSEBERRYFALL_AT(node.crashes.death_threshold), 1, 100)
             .about("Deaths from which on a request is refused, if one of them happened while "
                    "it ran alone."),
         duration_field<settings>("lifetime", GOOSEBERRYFALL_AT(node.crashes.lifetime), seconds(1),
                                  hours(24))
             .about("Time for which marks and refusals are kept after the last death."),
         count_field<settings>("capacity", GOOSEBERRYFALL_AT(node.crashes.capacity), 16, 1'000'000)
             .about("Fingerprints kept; the oldest is dropped beyond.")}};
}

settings_section batch_section()
{
    return {
        "batch",
        "Batch jobs.",
        {count_field<settings>("job_items", GOOSEBERRYFALL_AT(submissions.job_items), 1, 250'000)
             .about("Items of one job."),
         size_field<settings>("item_limit", GOOSEBERRYFALL_AT(submissions.item_limit), kib,
                              record_body_limit)
             .about("Bytes of one item or result."),
         size_field<settings>("body_cache", GOOSEBERRYFALL_AT(submissions.body_cache), 0,
                              1024 * mib)
             .about("Bytes of bodies and results read back from the log that are kept in "
                    "memory."),
         duration_field<settings>("job_wait", GOOSEBERRYFALL_AT(node.job_wait), milliseconds(100),
                                  minutes(5))
             .about("Time for which submission and cancel wait for the partition's holder."),
         duration_field<settings>("result_retention",
                                  GOOSEBERRYFALL_AT(node.batch.result_retention), minutes(1),
                                  hours(24 * 90))
             .about("Time for which results are kept after a job has ended."),
         duration_field<settings>("log_retention", GOOSEBERRYFALL_AT(node.batch.log_retention),
                                  minutes(1), hours(24 * 90))
             .about("Retention of the platform's log; data older than half of it is carried "
                    "forward."),
         count_field<settings>("max_tries", GOOSEBERRYFALL_AT(node.batch.max_tries), 1, 100)
             .about("Failed tries after which an item ends as failed."),
         size_field<settings>("unwritten_limit", GOOSEBERRYFALL_AT(node.batch.unwritten_limit), kib,
                              1024 * mib)
             .about("Bytes of results that wait for their append; no item is started beyond."),
         size_field<settings>("append_limit", GOOSEBERRYFALL_AT(node.batch.append_limit), kib,
                              record_body_limit)
             .about("Bytes of bodies in one append.")}};
}

settings_section log_section()
{
    return {"log",
            "Log lines of the daemon.",
            {choice_field<settings>("level", GOOSEBERRYFALL_AT(level),
                                    {"debug", "info", "warning", "error"})
                 .about("Lowest level that is logged.")}};
}

#undef GOOSEBERRYFALL_AT

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
        for (const field<daemon_settings>& one : section.fields) {
            names.push_back(section.name + "." + one.name);
        }
    }
    return names;
}

} // namespace gooseberryfall::config
