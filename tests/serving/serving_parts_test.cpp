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

// Guards against a request that goes to the route of a shorter prefix or of another host.
Test(route_table, the_longest_prefix_of_the_host_wins)
{
    serving::desired_state state;
    state.routes = {route("short", "/a/"), route("long", "/a/b/")};
    const serving::route_table table(state);
    cr_assert(table.find_route("proofs.example", "/a/b/c")->name == "long");
    cr_assert(table.find_route("proofs.example", "/a/c")->name == "short");
    cr_assert_null(table.find_route("proofs.example", "/a"));
    cr_assert_null(table.find_route("other.example", "/a/b/c"));
}

// Guards against weights that are not kept.
Test(route_table, services_are_chosen_by_weight)
{
    serving::route split = route("split", "/");
    split.services = {{core::service_id("a"), 90}, {core::service_id("b"), 10}};
    int chosen = 0;
    for (std::uint64_t choice = 0; choice < 1000; ++choice) {
        chosen += serving::choose_service(split, choice) == core::service_id("b") ? 1 : 0;
    }
    cr_assert_eq(chosen, 100);
}

// Guards against targets that are dropped because their entries lapsed while the store was away.
Test(target_directory, entries_that_lapse_with_the_store_have_time_to_return)
{
    serving::target_directory directory;
    directory.update(target("a"));
    directory.update(target("b"));
    directory.outage_detector().on_own_read(start);
    directory.outage_detector().on_own_read(start + seconds(5));
    directory.replace_all({target("b")}, start + seconds(5));
    cr_assert_eq(directory.usable().size(), 2U);
    directory.outage_detector().on_own_read(start + seconds(6));
    directory.expire(start + seconds(6));
    cr_assert_eq(directory.usable().size(), 2U);
    directory.outage_detector().on_own_read(start + seconds(7));
    directory.expire(start + milliseconds(7300));
    cr_assert_eq(directory.usable().size(), 1U, "what is still missing is gone");
}

// Guards against targets that get work after they have announced their end.
Test(target_directory, draining_targets_are_not_usable)
{
    serving::target_directory directory;
    serving::target_entry entry = target("a");
    directory.update(entry);
    entry.draining = true;
    directory.update(entry);
    cr_assert(directory.usable().empty());
    directory.outage_detector().on_own_read(start);
    directory.remove(core::target_id("a"), start + seconds(5));
    cr_assert_eq(directory.size(), 0U, "it announced its end, so no outage explains its absence");
}

// Guards against work for targets that left while the store refused only this instance: others have
// read it all the time, so that a missing entry was removed.
Test(target_directory, an_own_fault_makes_no_entry_lapse)
{
    serving::target_directory directory;
    directory.update(target("a"));
    serving::registry_watch& watch = directory.outage_detector();
    watch.on_list_read(start);
    watch.on_own_read(start);
    for (milliseconds at{0}; at <= seconds(5); at += milliseconds(300)) {
        watch.on_fleet_read(start + at);
    }
    const core::time_point back = start + seconds(5);
    watch.on_own_read(back);
    watch.on_list_read(back);
    directory.replace_all({}, back);
    cr_assert(directory.usable().empty());
}

// Guards against a grace time after a single failed read, in which removed targets get work.
Test(target_directory, an_outage_shorter_than_a_renewal_makes_no_entry_lapse)
{
    serving::target_directory directory;
    directory.update(target("a"));
    directory.outage_detector().on_own_read(start);
    directory.outage_detector().on_own_read(start + milliseconds(1100));
    directory.remove(core::target_id("a"), start + milliseconds(1100));
    cr_assert(directory.usable().empty());
}

// Guards against targets that are dropped while the store answers about all but them.
Test(target_directory, an_outage_of_the_list_alone_counts)
{
    serving::target_directory directory;
    directory.update(target("a"));
    directory.outage_detector().on_list_read(start);
    for (milliseconds at{0}; at <= seconds(5); at += milliseconds(600)) {
        directory.outage_detector().on_own_read(start + at);
    }
    directory.outage_detector().on_list_read(start + seconds(5));
    directory.replace_all({}, start + seconds(5));
    cr_assert_eq(directory.usable().size(), 1U);
}

// Guards against a new leader that gives work to targets that left while another instance led and
// this one did not read the list.
Test(target_directory, time_without_reading_the_list_is_no_outage)
{
    serving::target_directory directory;
    directory.update(target("gone"));
    directory.outage_detector().on_list_read(start);
    directory.outage_detector().pause_list();
    for (milliseconds at{0}; at <= seconds(9); at += milliseconds(600)) {
        directory.outage_detector().on_own_read(start + at);
    }
    directory.load_snapshot({target("a"), target("b")});
    directory.outage_detector().on_list_read(start + seconds(9));
    directory.replace_all({target("a")}, start + seconds(9));
    cr_assert_eq(directory.usable().size(), 1U);
}

// Guards against refused callers that all come back at the same time.
Test(retry_planner, spreads_returns)
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

// Guards against delays beyond what a caller honours, however many are refused.
Test(retry_planner, stays_within_the_patience)
{
    serving::retry_planner planner;
    for (int caller = 0; caller < 1000; ++caller) {
        const milliseconds delay = planner.next_delay(start, milliseconds(50), milliseconds(700));
        cr_assert_leq(delay.count(), 700);
    }
}

// Guards against events that are lost, doubled or joined when their bytes arrive in any pieces.
Test(event_splitter, cuts_whole_events_out_of_any_pieces)
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
