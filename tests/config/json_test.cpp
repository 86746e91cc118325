#include "config/config.hpp"

#include <boost/json.hpp>
#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace config = gooseberryfall::config;
namespace core = gooseberryfall::core;
namespace json = boost::json;

namespace {

core::fleet example_fleet()
{
    core::fleet state;
    state.version = 9'000'000'001;
    // Rates whose decimal values have no exact binary representation.
    state.upsert(core::team{core::team_id("namur"), 0.1, 8.3, 0.7, 5});
    state.upsert(core::api_key{core::key_id("k"), core::team_id("namur"), config::sha256("k")});
    state.upsert(core::model{core::model_id("proofing"), 77});
    state.upsert(core::service{core::service_id("proofing"), core::service_kind::engine,
                               core::model_id("proofing"), "", false, true});
    state.upsert(core::service{
        core::service_id("studio"), core::service_kind::plain, {}, "/studio/", true, false});
    state.upsert(core::target{core::target_id("e"), core::service_id("studio"), "::1", 65535,
                              core::data_centre_id("d"), 3, true});
    return state;
}

/// Serializes and parses a document, as happens between a client and a server.
json::value round_trip_text(const json::value& value)
{
    return config::parse_json(json::serialize(value)).value();
}

template <class Read>
std::string read_problems(Read read, const std::string& text)
{
    const auto value = config::parse_json(text);
    if (!value) {
        return config::to_text(value.error());
    }
    const auto result = read(*value);
    return result ? "accepted" : config::to_text(result.error());
}

struct invalid_case {
    std::string text;
    std::string message;
};

const std::vector<invalid_case> invalid_changes = {
    {"{", "not valid JSON: incomplete JSON\n"},
    {"[]", "must be an object; found a list of 0\n"
           "author: missing; must be a text of 1 to 100 bytes without control characters\n"
           "base: missing; must be a whole number from 0 to 9223372036854775807\n"
           "upserts: missing; must be a list\n"
           "removals: missing; must be a list\n"},
    {R"({"author":"a","base":-1,"upserts":[],"removals":[]})",
     "base: must be a whole number from 0 to 9223372036854775807; found -1\n"},
    {R"({"author":"a","base":18446744073709551615,"upserts":[],"removals":[]})",
     "base: must be a whole number from 0 to 9223372036854775807; found 1.84467441e+19\n"},
    {R"({"author":"a","base":1,"upsert":[],"upserts":{},"removals":[]})",
     "upsert: unknown key; the nearest known key is upserts\n"
     "upserts: must be a list; found an object\n"},
    {R"({"author":"a","base":1,"upserts":[{"team":{"name":"t","rate":1,"burst":1,"rat":1}}],
        "removals":["team"]})",
     "upserts[0].team.rat: unknown key; the nearest known key is team.rate\n"
     "removals[0]: must be the name of an entry, such as \"team/namur\"\n"},
    {R"({"author":"a","base":1,"upserts":[{"team":{"name":"t","rate":1e999,"burst":null}},
        {"key":{"name":"k","team":"t","key":"foo"}},{"queue":{}},{},7],"removals":[]})",
     "upserts[0].team.rate: must be a number from 0.001 to 1000000 with at most three decimals; "
     "found inf\n"
     "upserts[0].team.burst: must be a number from 1 to 1000000 with at most three decimals; found "
     "null\n"
     "upserts[1].key.key: a plaintext key is not allowed; write `hash`, the SHA-256 of the key, "
     "as printed by: printf %s KEY | sha256sum\n"
     "upserts[1].key.hash: missing; must be a SHA-256 digest of 64 hexadecimal digits\n"
     "upserts[2].queue: unknown kind of entry; the nearest known kind is team\n"
     "upserts[3]: must be an object with one member, named team, key, model, service or target\n"
     "upserts[4]: must be an object with one member, named team, key, model, service or target\n"},
    {R"({"author":"a","base":1,"upserts":[{"model":{"name":"m"}},{"model":{"name":"m"}}],
        "removals":[]})",
     "upserts[1].model.name: the model \"m\" is already declared at upserts[0].model\n"},
    // Whether the upsert or the removal took effect would depend on their order.
    {R"({"author":"a","base":1,"upserts":[{"model":{"name":"m"}}],"removals":["model/m"]})",
     "removals[0]: must not name an entry that the change already upserts or removes\n"},
};

} // namespace

// Guards against a malformed change that is accepted and applied differently from what was
// intended.
Test(json, malformed_changes_are_rejected)
{
    for (const invalid_case& test_case : invalid_changes) {
        const std::string text = read_problems(config::apply_from_json, test_case.text);
        cr_expect_str_eq(text.c_str(), test_case.message.c_str());
    }
}

// Guards against dangling references in a fleet that the operator's command reads from the daemon.
Test(json, a_fleet_with_a_dangling_reference_is_rejected)
{
    const std::string text =
        read_problems(config::fleet_from_json,
                      R"({"version":1,"entries":[{"key":{"name":"k","team":"x","hash":")" +
                          config::to_hex(config::sha256("k")) + R"("}}]})");
    cr_assert_str_eq(text.c_str(),
                     "entries[0].key.team: there is no team \"x\"; none is declared\n");
}

// Guards against values that change in a round trip through JSON, TOML or both, which would appear
// as a difference that no operator made.
Test(json, a_fleet_survives_a_json_and_toml_round_trip)
{
    const core::fleet state = example_fleet();
    const auto from_json = config::fleet_from_json(round_trip_text(config::to_json(state)));
    cr_assert(from_json.has_value(), "%s", config::to_text(from_json.error()).c_str());
    cr_assert(from_json->same_entries(state) && from_json->version == state.version);
    const auto from_toml = config::parse_fleet(config::write_fleet(*from_json), "f.toml");
    cr_assert(from_toml.has_value(), "%s", config::to_text(from_toml.error()).c_str());
    cr_assert(core::difference(*from_toml, state).empty());
}

// Guards against an upsert or a removal that is lost between the operator's command and the daemon.
Test(json, a_change_survives_a_json_round_trip)
{
    const core::operator_apply request{5, "ann@example", "why \"not\"", 12,
                                       core::difference(example_fleet(), {})};
    core::operator_apply request_with_upsert = request;
    request_with_upsert.change.upserts = {core::model{core::model_id("m"), 3}};
    const auto result =
        config::apply_from_json(round_trip_text(config::to_json(request_with_upsert)));
    cr_assert(result.has_value(), "%s", config::to_text(result.error()).c_str());
    cr_assert(result->author == request_with_upsert.author &&
              result->comment == request_with_upsert.comment);
    cr_assert(result->base == request_with_upsert.base &&
              result->change.upserts == request_with_upsert.change.upserts);
    cr_assert(result->change.removals == request_with_upsert.change.removals);
    const auto change =
        config::difference_from_json(round_trip_text(config::to_json(request_with_upsert.change)));
    cr_assert(change.has_value() && change->removals.size() == 6);
}

// Guards against fields of a view that are swapped or omitted by the encoder or the decoder. Every
// number is different, so that swapped fields are detected.
Test(json, views_survive_a_json_round_trip)
{
    core::status_view status{
        {core::instance_id("i"), 1}, true, false, "log", 2, 3, {}, {}, 4, 5, 6};
    status.members.push_back(
        {{{core::instance_id("j"), 7}, core::data_centre_id("d"), "c:1", "p:2"},
         core::member_condition::leaving,
         8,
         {{core::shard_kind::batch, 9}, {core::shard_kind::control, 0}}});
    const core::fleet state = example_fleet();
    status.targets.push_back({state.targets.begin()->second, 10, 11, false, true});
    const json::value document = round_trip_text(config::to_json(status));
    const auto result = config::status_from_json(document);
    cr_assert(result.has_value(), "%s", config::to_text(result.error()).c_str());
    cr_assert(config::to_json(*result) == document);
    cr_assert(result->members[0].info == status.members[0].info);
    cr_assert(result->members[0].shards == status.members[0].shards);
    cr_assert(result->targets[0].info == status.targets[0].info);
    cr_assert(result->targets[0].batch == 11 && result->targets[0].suspect);
    cr_assert(result->queued == 4 && result->running_online == 5 && result->running_batch == 6);

    const std::vector<core::audit_entry> audit{
        {1,
         core::wall_time(std::chrono::milliseconds(1'700'000'000'123)),
         "a",
         "c",
         2,
         3,
         "r",
         {"team/x", "-key/y"}}};
    const auto audit_read = config::audit_from_json(round_trip_text(config::to_json(audit)));
    cr_assert(audit_read.has_value() && *audit_read == audit);

    const std::vector<core::job_status> jobs{
        {core::job_id("j"), core::team_id("t"), 9, 4, 3, true, false, config::sha256("c")}};
    const json::value jobs_document = round_trip_text(config::to_json(jobs));
    const auto jobs_read = config::jobs_from_json(jobs_document);
    cr_assert(jobs_read.has_value() && config::to_json(*jobs_read) == jobs_document);
    cr_assert(jobs_read->front().failed == 3 && jobs_read->front().cancelled);

    const core::apply_reply reply{0, 4, "no", 2, 3};
    const auto reply_read = config::apply_reply_from_json(round_trip_text(config::to_json(reply)));
    cr_assert(reply_read.has_value() && reply_read->version == 4 && reply_read->refused == "no");
    cr_assert(reply_read->applied == 2 && reply_read->members == 3);
}

// Guards against a malformed view that is shown to an operator as if it were valid.
Test(json, malformed_views_are_rejected)
{
    const std::string text = read_problems(
        config::jobs_from_json, R"({"jobs":[{"id":"j","team":"t","items":-1,"succeeded":0,
        "failed":0,"canceled":false,"ended":1,"content":"x"}]})");
    cr_assert_str_eq(
        text.c_str(),
        "jobs[0].items: must be a whole number from 0 to 4294967295; found -1\n"
        "jobs[0].canceled: unknown key; the nearest known key is cancelled\n"
        "jobs[0].ended: must be true or false; found 1\n"
        "jobs[0].content: must be a SHA-256 digest of 64 hexadecimal digits; found \"x\"\n"
        "jobs[0].cancelled: missing; must be true or false\n");
}
