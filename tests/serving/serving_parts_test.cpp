#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};

serving::route route(const std::string& name, const std::string& prefix)
{
    serving::route result;
    result.name = name;
    result.host = "proofs.example";
    result.path_prefix = prefix;
    return result;
}

serving::target_entry target(const std::string& name)
{
    serving::target_entry entry;
    entry.id = core::target_id(name);
    return entry;
}

} // namespace

// Guards against a request that is routed by a shorter prefix or another host.
Test(route_table, longest_prefix_of_the_host_wins)
{
    serving::desired_state state;
    state.routes = {route("short", "/a/"), route("long", "/a/b/")};
    const serving::route_table table(state);
    cr_assert(table.find_route("proofs.example", "/a/b/c")->name == "long");
    cr_assert(table.find_route("proofs.example", "/a/c")->name == "short");
    cr_assert_null(table.find_route("proofs.example", "/a"));
    cr_assert_null(table.find_route("other.example", "/a/b/c"));
}

// Guards against a distribution over services that ignores their weights.
Test(route_table, services_are_chosen_by_weight)
{
    serving::route weighted = route("split", "/");
    weighted.services = {{core::service_id("a"), 90}, {core::service_id("b"), 10}};
    int chosen = 0;
    for (std::uint64_t choice = 0; choice < 1000; ++choice) {
        chosen += serving::choose_service(weighted, choice) == core::service_id("b") ? 1 : 0;
    }
    cr_assert_eq(chosen, 100);
}

// Guards against removing targets because their entries expired during an outage of the store.
Test(target_directory, entries_that_expire_in_an_outage_have_time_to_return)
{
    serving::target_directory directory;
    directory.update(target("a"));
    directory.update(target("b"));
    directory.outage_detector().on_local_read(start);
    directory.outage_detector().on_local_read(start + seconds(5));
    directory.replace_all({target("b")}, start + seconds(5));
    cr_assert_eq(directory.usable().size(), 2U);
    directory.outage_detector().on_local_read(start + seconds(6));
    directory.expire(start + seconds(6));
    cr_assert_eq(directory.usable().size(), 2U);
    directory.outage_detector().on_local_read(start + seconds(7));
    directory.expire(start + milliseconds(7300));
    cr_assert_eq(directory.usable().size(), 1U, "a target that is still missing is removed");
}

// Guards against assigning work to targets that have announced that they will stop.
Test(target_directory, draining_targets_are_not_usable)
{
    serving::target_directory directory;
    serving::target_entry entry = target("a");
    directory.update(entry);
    entry.draining = true;
    directory.update(entry);
    cr_assert(directory.usable().empty());
    directory.outage_detector().on_local_read(start);
    directory.remove(core::target_id("a"), start + seconds(5));
    cr_assert_eq(
        directory.size(), 0U,
        "it has announced that it will stop, so that no outage explains the missing entry");
}

// Guards against assigning work to targets that left while the store rejected only this instance.
// Other instances have read the store all the time, so that a missing entry was really removed.
Test(target_directory, local_fault_grants_no_grace_time)
{
    serving::target_directory directory;
    directory.update(target("a"));
    serving::registry_outage_detector& detector = directory.outage_detector();
    detector.on_target_list_read(start);
    detector.on_local_read(start);
    for (milliseconds at{0}; at <= seconds(5); at += milliseconds(300)) {
        detector.on_fleet_read(start + at);
    }
    const core::time_point recovered_at = start + seconds(5);
    detector.on_local_read(recovered_at);
    detector.on_target_list_read(recovered_at);
    directory.replace_all({}, recovered_at);
    cr_assert(directory.usable().empty());
}

// Guards against a grace time after a single failed read, in which removed targets would get work.
Test(target_directory, outage_shorter_than_a_renewal_grants_no_grace_time)
{
    serving::target_directory directory;
    directory.update(target("a"));
    directory.outage_detector().on_local_read(start);
    directory.outage_detector().on_local_read(start + milliseconds(1100));
    directory.remove(core::target_id("a"), start + milliseconds(1100));
    cr_assert(directory.usable().empty());
}

// Guards against removing targets while the store responds to all reads except those of the target
// list.
Test(target_directory, outage_of_the_target_list_alone_grants_grace_time)
{
    serving::target_directory directory;
    directory.update(target("a"));
    directory.outage_detector().on_target_list_read(start);
    for (milliseconds at{0}; at <= seconds(5); at += milliseconds(600)) {
        directory.outage_detector().on_local_read(start + at);
    }
    directory.outage_detector().on_target_list_read(start + seconds(5));
    directory.replace_all({}, start + seconds(5));
    cr_assert_eq(directory.usable().size(), 1U);
}

// Guards against a new leader that assigns work to targets that left while another instance led and
// this one did not read the list.
Test(target_directory, time_without_reading_the_list_is_not_an_outage)
{
    serving::target_directory directory;
    directory.update(target("gone"));
    directory.outage_detector().on_target_list_read(start);
    directory.outage_detector().pause_target_list();
    for (milliseconds at{0}; at <= seconds(9); at += milliseconds(600)) {
        directory.outage_detector().on_local_read(start + at);
    }
    directory.load_snapshot({target("a"), target("b")});
    directory.outage_detector().on_target_list_read(start + seconds(9));
    directory.replace_all({target("a")}, start + seconds(9));
    cr_assert_eq(directory.usable().size(), 1U);
}

// Guards against rejected callers that all retry at the same time.
Test(retry_planner, spreads_retries)
{
    serving::retry_planner planner;
    std::set<milliseconds> delays;
    for (int caller = 0; caller < 40; ++caller) {
        const milliseconds delay = planner.next_delay(start, milliseconds(10), milliseconds(1600));
        cr_assert_leq(delay.count(), 1600);
        delays.insert(delay);
    }
    cr_assert_eq(delays.size(), 40U);
}

// Guards against retry delays longer than callers honour, however many are rejected.
Test(retry_planner, delays_stay_within_the_maximum)
{
    serving::retry_planner planner;
    for (int caller = 0; caller < 1000; ++caller) {
        const milliseconds delay = planner.next_delay(start, milliseconds(50), milliseconds(700));
        cr_assert_leq(delay.count(), 700);
    }
}

// Guards against events that are lost, duplicated or merged when their bytes arrive in chunks of
// any size.
Test(event_splitter, splits_chunks_of_any_size_into_events)
{
    const std::string text =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: note\n\nid: 3\nda";
    for (std::size_t size = 1; size < text.size(); ++size) {
        serving::event_splitter splitter;
        std::vector<serving::stream_event> events;
        for (std::size_t begin = 0; begin < text.size(); begin += size) {
            for (auto& event : splitter.feed(text.substr(begin, size))) {
                events.push_back(event);
            }
        }
        cr_assert_eq(events.size(), 3U);
        cr_assert_eq(events[0].id.value(), 1U);
        cr_assert(events[1].data == "b\nc");
        cr_assert_not(events[2].id.has_value());
        cr_assert(splitter.incomplete_bytes() == "id: 3\nda");
    }
}

// Guards against an event without end that takes memory without limit.
Test(event_splitter, drops_a_stream_with_an_event_above_the_limit)
{
    constexpr std::size_t limit = 1000;
    for (const char* bytes : {"x", "data: x\n", ": note\n"}) {
        serving::event_splitter splitter(limit);
        cr_assert_eq(splitter.feed("id: 1\ndata: a\n\n").size(), 1U);
        for (std::size_t fed = 0; fed <= limit; ++fed) {
            cr_assert(splitter.feed(bytes).empty());
            cr_assert_leq(splitter.incomplete_bytes().size(), limit);
        }
        cr_assert(splitter.overflowed());
        cr_assert(splitter.feed("\n\nid: 2\ndata: b\n\n").empty());
        cr_assert(splitter.overflowed());
        cr_assert(splitter.incomplete_bytes().empty());
    }
    serving::event_splitter many(limit);
    for (std::size_t event = 0; event < limit; ++event) {
        cr_assert_eq(many.feed("id: 1\ndata: a\n\n").size(), 1U);
    }
    cr_assert_not(many.overflowed());
}
