#include "fleet_wire/fleet_wire.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <variant>

namespace core = gooseberryfall::core;
namespace fleet_wire = gooseberryfall::fleet_wire;
namespace serving = gooseberryfall::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::instance_id sender{"127.0.0.1:7360"};

template <class Message>
Message round_trip(const Message& message)
{
    auto decoded = fleet_wire::decode(fleet_wire::encode(message), sender);
    cr_assert(decoded.has_value());
    cr_assert(std::holds_alternative<Message>(*decoded));
    return std::get<Message>(*decoded);
}

serving::job_record make_job_record(std::size_t body_bytes)
{
    serving::job_accepted accepted_job;
    accepted_job.job.id = "job";
    accepted_job.job.team = core::team_id("studio");
    accepted_job.job.route = "notes";
    accepted_job.job.items = {{"item", "/p", {{"A", "b"}}, std::string(body_bytes, 'x'), 7}};
    accepted_job.accepted_at = core::wall_time(milliseconds(123));
    return accepted_job;
}

} // namespace

// Guards against fields that are lost or changed when a message is encoded and decoded.
Test(datagram_codec, messages_survive_a_round_trip)
{
    serving::admission_request request;
    request.slot.key = {sender, 9};
    request.slot.service = core::service_id("lm");
    request.slot.kind = serving::work_kind::batch;
    request.slot.prefixes = {1, 2};
    request.slot.tokens = 5;
    request.slot.prompt_tokens = 700;
    request.slot.time_to_objective = milliseconds(-20);
    request.slot.time_to_deadline = milliseconds(4000);
    request.slot.time_to_expiry = milliseconds(9000);
    request.slot.is_retry = true;
    request.slot.excluded = {core::target_id("t")};
    request.slot.team = core::team_id("studio");
    request.charged = true;
    request.traits = {77, {78, 79}};
    const auto decoded_request = round_trip(request);
    cr_assert(decoded_request.slot.key == request.slot.key);
    cr_assert(decoded_request.slot.kind == serving::work_kind::batch);
    cr_assert(decoded_request.slot.prefixes == request.slot.prefixes);
    cr_assert_eq(decoded_request.slot.prompt_tokens, 700U);
    cr_assert(decoded_request.slot.time_to_objective == milliseconds(-20));
    cr_assert(decoded_request.slot.time_to_expiry == milliseconds(9000));
    cr_assert(decoded_request.slot.excluded == request.slot.excluded);
    request.slot.time_to_expiry.reset();
    cr_assert(!round_trip(request).slot.time_to_expiry.has_value());
    cr_assert(decoded_request.slot.team == request.slot.team && decoded_request.charged);
    cr_assert(decoded_request.traits == request.traits);

    serving::admission_reply reply;
    reply.number = 3;
    reply.result = serving::admission_rejected{serving::admission_rejection_reason::over_limit,
                                               milliseconds(250)};
    const auto rejection = std::get<serving::admission_rejected>(round_trip(reply).result);
    cr_assert(rejection.reason == serving::admission_rejection_reason::over_limit);
    cr_assert(rejection.retry_after == milliseconds(250));

    serving::leader_heartbeat heartbeat;
    heartbeat.leader.id = core::instance_id("l:1");
    heartbeat.state_version = 4;
    heartbeat.interval = milliseconds(150);
    heartbeat.store_age = milliseconds(30);
    heartbeat.alive_members = 7;
    heartbeat.largest_capacity = 0.25;
    const serving::request_trait part{serving::trait_kind::prompt_part, 5};
    const serving::request_trait whole{serving::trait_kind::whole_request, 6};
    heartbeat.evacuations = {41, {core::data_centre_id("a"), core::data_centre_id("b")}};
    heartbeat.crash_marks_known = {{part, 3, 1, {whole}, true, milliseconds(90)},
                                   {whole, 2, 2, {}, false, milliseconds(0)}};
    const auto decoded_heartbeat = round_trip(heartbeat);
    cr_assert(decoded_heartbeat.leader.id == heartbeat.leader.id);
    cr_assert(decoded_heartbeat.interval == milliseconds(150));
    cr_assert(decoded_heartbeat.store_age == milliseconds(30));
    cr_assert_eq(decoded_heartbeat.state_version, 4U);
    cr_assert_eq(decoded_heartbeat.alive_members, 7U);
    cr_assert(decoded_heartbeat.largest_capacity == std::optional(0.25));
    heartbeat.largest_capacity.reset();
    cr_assert_not(round_trip(heartbeat).largest_capacity.has_value());
    cr_assert(decoded_heartbeat.evacuations == heartbeat.evacuations);
    serving::instance_report evacuation_report;
    evacuation_report.evacuations = {42, {core::data_centre_id("c")}};
    cr_assert(round_trip(evacuation_report).evacuations == evacuation_report.evacuations);
    serving::instance_report statement_report;
    statement_report.statements = {
        {{core::target_id("t"), 12}, serving::target_leaves{}, milliseconds(0)},
        {{core::target_id("t"), 12}, serving::target_takes{2.8}, milliseconds(5)},
        {{core::target_id("u"), 13}, serving::target_takes{std::nullopt}, milliseconds(0)},
        {{core::target_id("u"), 13}, serving::target_cold_for{milliseconds(2700)}, milliseconds(7)},
        {{core::target_id("v"), 0}, serving::target_cold_for{}, milliseconds(1)}};
    cr_assert(round_trip(statement_report).statements == statement_report.statements);
    cr_assert(decoded_heartbeat.crash_marks_known == heartbeat.crash_marks_known);

    serving::leader_query query;
    query.from.id = core::instance_id("q:1");
    query.from.started_at = 12;
    query.store_readable = true;
    const auto decoded_query = round_trip(query);
    cr_assert(decoded_query.from == query.from && decoded_query.store_readable);
    cr_assert(round_trip(serving::leader_hint{query.from}).leader == query.from);

    serving::instance_report report;
    report.store_age = milliseconds(70);
    report.runs = {{8, core::target_id("t"), serving::work_kind::batch, true}};
    report.recent_requests = {
        {core::team_id("studio"), {{milliseconds(0), 7}, {milliseconds(1500), 5}}}};
    report.uptime = seconds(3);
    const auto decoded_report = round_trip(report);
    cr_assert(decoded_report.store_age == milliseconds(70));
    cr_assert(decoded_report.runs.front().unresponsive);
    cr_assert(decoded_report.recent_requests == report.recent_requests);
    cr_assert(decoded_report.uptime == seconds(3));
}

// Guards against block versions that change in a round trip. An instance would consider its blocks
// stale and request them from the leader again and again.
Test(datagram_codec, block_versions_survive_a_round_trip)
{
    serving::target_entry target;
    target.id = core::target_id("t");
    target.service = core::service_id("lm");
    target.address = "a:1";
    target.slots = 8;
    target.started_at = 99;
    serving::fleet_member member;
    member.id = core::instance_id("m:1");
    member.callers_address = "m:2";
    member.capacity = 0.12;
    serving::fleet_update update;
    update.leader = core::instance_id("l:1");
    update.blocks = {
        {{serving::block_kind::owners, 1, 0},
         serving::partition_owners{{2, 11, core::instance_id("m:1")}}},
        {{serving::block_kind::members, 4, 3}, serving::ready_members{member}},
        {{serving::block_kind::targets, 8, 5}, serving::target_entries{target}},
    };
    const auto decoded_update = round_trip(update);
    cr_assert(decoded_update.leader == update.leader);
    cr_assert_eq(decoded_update.blocks.size(), update.blocks.size());
    serving::instance_report report;
    for (std::size_t index = 0; index < decoded_update.blocks.size(); ++index) {
        cr_assert(decoded_update.blocks[index].version() == update.blocks[index].version());
        report.held_blocks.push_back(decoded_update.blocks[index].version());
    }
    cr_assert(round_trip(report).held_blocks == report.held_blocks);
}

// Guards against a process that crashes on a datagram from another version or another program.
Test(datagram_codec, malformed_datagrams_are_rejected)
{
    // A message consists of 8-byte words. One that is cut at a word boundary may decode, with its
    // missing fields defaulted.
    const std::string valid = fleet_wire::encode(serving::preemption_order{3});
    for (std::size_t size = 0; size < valid.size(); ++size) {
        const auto decoded = fleet_wire::decode(valid.substr(0, size), sender);
        cr_assert(size == valid.size() || !decoded.has_value() || size % 8 == 0);
    }
    cr_assert_not(fleet_wire::decode(std::string(64, '\xff'), sender).has_value());
    cr_assert_not(fleet_wire::decode("hello", sender).has_value());
}

// Guards against jobs that are lost because they exceed the size of one log record.
Test(job_codec, large_records_are_split_and_reassembled)
{
    const auto parts = fleet_wire::encode(make_job_record(10000), 1000);
    cr_assert_gt(parts.size(), 9U);
    fleet_wire::job_record_assembler assembler;
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        cr_assert_leq(part->value.size(), 1000U);
        assembler.add(part->key, part->value);
    }
    const auto records = assembler.take_records();
    cr_assert_eq(records.size(), 1U);
    const auto& accepted_job = std::get<serving::job_accepted>(records.front());
    cr_assert_eq(accepted_job.job.items.front().body.size(), 10000U);
    cr_assert(accepted_job.accepted_at == core::wall_time(milliseconds(123)));
}

// Guards against running a job whose record was written only in part.
Test(job_codec, incomplete_records_are_skipped)
{
    auto parts = fleet_wire::encode(make_job_record(10000), 1000);
    parts.pop_back();
    fleet_wire::job_record_assembler assembler;
    for (const auto& part : parts) {
        assembler.add(part.key, part.value);
    }
    assembler.add("key without a part number", "x");
    cr_assert(assembler.take_records().empty());
    // The incomplete record and the key without a part number.
    cr_assert_eq(assembler.unreadable_count(), 2U);
}

// Guards against results and progress that change when they are encoded and decoded.
Test(job_codec, results_and_progress_survive_a_round_trip)
{
    fleet_wire::job_record_assembler assembler;
    const serving::item_finished finished{
        "job", 4, {2, serving::result_state::dead_letter, std::string("a\0b", 3)}};
    for (const auto& part : fleet_wire::encode(finished, 1000)) {
        assembler.add(part.key, part.value);
    }
    for (const auto& part :
         fleet_wire::encode(serving::item_progressed{"job", 1, {0, "x"}}, 1000)) {
        assembler.add(part.key, part.value);
    }
    int seen = 0;
    for (const serving::job_record& record : assembler.take_records()) {
        if (const auto* result = std::get_if<serving::item_finished>(&record)) {
            cr_assert(result->result == finished.result);
            cr_assert_eq(result->position, 4U);
            ++seen;
        }
        if (const auto* progressed = std::get_if<serving::item_progressed>(&record)) {
            cr_assert_eq(progressed->progress.last_event.value(), 0U);
            ++seen;
        }
    }
    cr_assert_eq(seen, 2);
}

// Guards against failures of an item that change when they are encoded and decoded.
Test(job_codec, failures_survive_a_round_trip)
{
    fleet_wire::job_record_assembler assembler;
    for (const auto& part : fleet_wire::encode(serving::item_failed{"job", 3, 2}, 1000)) {
        assembler.add(part.key, part.value);
    }
    const auto records = assembler.take_records();
    cr_assert_eq(records.size(), 1U);
    const auto& failed = std::get<serving::item_failed>(records.front());
    cr_assert(failed.job == "job" && failed.item == 3 && failed.failures == 2);
}

// Guards against records of a deleted job that stay in the log, and against tombstones in an order
// in which a new owner could take a partly deleted job as open and run its items again.
Test(job_key_index, tombstones_delete_all_records_and_the_closed_record_last)
{
    fleet_wire::job_key_index key_index;
    std::size_t count = 0;
    serving::job_accepted accepted_job;
    accepted_job.job.id = "a/b";
    accepted_job.job.items.push_back({"i", "/p", {}, std::string(1000, 'x'), 10});
    const std::vector<serving::job_record> records{
        accepted_job, serving::item_progressed{"a/b", 0, {3, std::string(500, 'y')}},
        serving::item_failed{"a/b", 0, 2},
        serving::item_finished{"a/b", 0, {0, serving::result_state::complete, "z"}},
        serving::job_closed{"a/b"}};
    for (const serving::job_record& record : records) {
        for (const fleet_wire::keyed_record& part : fleet_wire::encode(record, 300)) {
            key_index.add(part.key);
            cr_assert(fleet_wire::job_id_of_key(part.key) == "a/b");
            ++count;
        }
    }
    key_index.add("key without a part number");
    cr_assert_gt(count, 6U, "some records must have several parts");
    cr_assert_eq(key_index.key_count("a/b"), count);
    const std::vector<fleet_wire::keyed_record> tombstones = key_index.take_tombstones("a/b");
    cr_assert_eq(tombstones.size(), count);
    cr_assert(std::ranges::all_of(tombstones,
                                  [](const auto& tombstone) { return tombstone.value.empty(); }));
    cr_assert(fleet_wire::is_closed_key(tombstones.back().key));
    const auto accepted = std::ranges::find_if(tombstones, [](const auto& tombstone) {
        return fleet_wire::is_accepted_key(tombstone.key);
    });
    const auto other_key =
        std::ranges::find_if(accepted, tombstones.end(), [](const auto& tombstone) {
            return !fleet_wire::is_accepted_key(tombstone.key) &&
                   !fleet_wire::is_closed_key(tombstone.key);
        });
    cr_assert(other_key == tombstones.end(), "only the closed record follows the accepted one");
    cr_assert(key_index.take_tombstones("a/b").empty());
}

// Guards against a refusal that never ends because its record in the store does not age, and
// against a process that ends on a damaged record.
Test(datagram_codec, crash_records_age)
{
    const std::chrono::system_clock::time_point written(std::chrono::seconds(1000));
    const serving::crash_marks marks{
        {{serving::trait_kind::prompt_part, 5}, 4, 4, {}, true, milliseconds(200)}};
    const std::string record = fleet_wire::encode_crash_record(marks, written);
    const auto later = fleet_wire::decode_crash_record(record, written + milliseconds(500));
    cr_assert(later && later->size() == 1);
    cr_assert(later->front().age == milliseconds(700));
    const auto earlier = fleet_wire::decode_crash_record(record, written - milliseconds(500));
    cr_assert(earlier && earlier->front().age == milliseconds(200));
    for (std::size_t size = 0; size < record.size(); size += 8) {
        const auto cut = fleet_wire::decode_crash_record(record.substr(0, size), written);
        cr_assert(!cut || cut->size() <= 1);
    }
}
