#include "sample.hpp"
#include "wire/generated/gooseberryfall.capnp.h"
#include "wire/wire.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <criterion/criterion.h>

#include <random>

namespace core = gooseberryfall::core;
namespace sample = gooseberryfall::sample;
namespace schema = gooseberryfall::wire::schema;
namespace wire = gooseberryfall::wire;

namespace {

/// One record of each kind of the body's variant.
template <class Record, class... Kinds>
std::vector<Record> records_of_each_kind(const std::variant<Kinds...>&)
{
    std::vector<Record> records(sizeof...(Kinds));
    sample::filler filler;
    for (Record& record : records) {
        filler.fill(record);
    }
    return records;
}

std::vector<core::control_record> control_sample()
{
    return records_of_each_kind<core::control_record>(core::control_body());
}

std::vector<core::batch_record> batch_sample()
{
    return records_of_each_kind<core::batch_record>(core::batch_body());
}

core::peer_envelope envelope_sample()
{
    core::peer_envelope envelope;
    sample::filler().fill(envelope);
    return envelope;
}

std::string bytes_of(capnp::MessageBuilder& message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

bool contains(const std::string& text, const char* part)
{
    return text.find(part) != std::string::npos;
}

/// Checks that every cut and every flipped byte of a message is handled without a crash, and that
/// every cut is an error. Returns how many flipped messages were refused.
template <class Decode>
unsigned check_damaged(const std::string& bytes, Decode decode)
{
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        const auto result = decode(std::string_view(bytes).substr(0, length));
        cr_assert(!result.has_value(), "a message cut to %zu bytes was accepted", length);
        cr_assert(!result.error().empty());
    }
    constexpr unsigned seed = 20260101;
    constexpr unsigned trials = 20000;
    std::mt19937 random(seed);
    unsigned refused = 0;
    for (unsigned trial = 0; trial < trials; ++trial) {
        std::string damaged = bytes;
        const unsigned flips = 1 + random() % 4;
        for (unsigned flip = 0; flip < flips; ++flip) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        refused += decode(damaged).has_value() ? 0 : 1;
    }
    return refused;
}

} // namespace

// Guards against a kind or a field of a control record that a codec forgets or swaps.
Test(codec, control_records_round_trip)
{
    const auto records = control_sample();
    cr_assert_eq(records.size(), std::variant_size_v<core::control_body>);
    const auto decoded = wire::decode_control_group(wire::encode_control_group(records));
    cr_assert(decoded.has_value(), "%s", decoded.error().c_str());
    cr_assert(sample::same(records, *decoded));
}

// Guards against a kind or a field of a batch record that a codec forgets or swaps.
Test(codec, batch_records_round_trip)
{
    const auto records = batch_sample();
    cr_assert_eq(records.size(), std::variant_size_v<core::batch_body>);
    const auto decoded = wire::decode_batch_group(wire::encode_batch_group(records));
    cr_assert(decoded.has_value(), "%s", decoded.error().c_str());
    cr_assert(sample::same(records, *decoded));
}

// Guards against a kind or a field of a peer message that a codec forgets or swaps.
Test(codec, envelopes_round_trip)
{
    const core::peer_envelope envelope = envelope_sample();
    cr_assert_eq(envelope.messages.size(), std::variant_size_v<core::peer_message>);
    const auto decoded = wire::decode_envelope(wire::encode_envelope(envelope));
    cr_assert(decoded.has_value(), "%s", decoded.error().c_str());
    cr_assert(sample::same(envelope, *decoded));
}

// Guards against defaults that differ between the structs and the schema, such as unset times.
Test(codec, default_values_round_trip)
{
    std::vector<core::batch_record> records(2);
    records[0].body = core::job_snapshot{};
    records[1].body = core::upload_chunk{};
    const auto batch = wire::decode_batch_group(wire::encode_batch_group(records));
    cr_assert(batch.has_value() && sample::same(records, *batch));

    core::peer_envelope envelope;
    envelope.messages = {core::job_query{}, core::limit_grant{}, core::control_relay{}};
    const auto decoded = wire::decode_envelope(wire::encode_envelope(envelope));
    cr_assert(decoded.has_value() && sample::same(envelope, *decoded));

    const auto none = wire::decode_control_group(wire::encode_control_group({}));
    cr_assert(none.has_value() && none->empty());
}

// Guards against damaged input that crashes a reader, throws, or is taken for a shorter message.
Test(codec, damaged_input_is_an_error)
{
    check_damaged(wire::encode_control_group(control_sample()), wire::decode_control_group);
    check_damaged(wire::encode_envelope(envelope_sample()), wire::decode_envelope);
    const std::string batch = wire::encode_batch_group(batch_sample());
    cr_assert(check_damaged(batch, wire::decode_batch_group) > 0);
}

// Guards against bytes that claim more than they hold or that no writer makes.
Test(codec, impossible_input_is_an_error)
{
    const std::string word(8, '\xff');
    const std::string segments("\xff\xff\xff\x7f\x01\x00\x00\x00", 8);
    const std::string huge_segment("\x00\x00\x00\x00\xff\xff\xff\x7f", 8);
    // A list pointer to 2^29 - 1 elements of no size.
    const std::string huge_list("\x00\x00\x00\x00\x03\x00\x00\x00"
                                "\x00\x00\x00\x00\x00\x00\x01\x00"
                                "\x01\x00\x00\x00\x07\x00\x00\x00"
                                "\xfc\xff\xff\x7f\x00\x00\x00\x00",
                                32);
    const std::vector<std::string> inputs = {
        "", "x", word, segments, huge_segment, huge_list, std::string(16, '\0') + word};
    for (const std::string& input : inputs) {
        cr_assert(!wire::decode_batch_group(input).has_value(), "%zu bytes", input.size());
        cr_assert(!wire::decode_control_group(input).has_value(), "%zu bytes", input.size());
        cr_assert(!wire::decode_envelope(input).has_value(), "%zu bytes", input.size());
    }
    const auto oversized = wire::decode_batch_group(std::string((1U << 20U) + 8, '\0'));
    cr_assert(contains(oversized.error(), "allowed are 1048576"), "%s", oversized.error().c_str());
    const std::string tail = wire::encode_batch_group(batch_sample()) + word;
    cr_assert(contains(wire::decode_batch_group(tail).error(), "after the end"));
}

// Guards against a record of a later version that is skipped, which would make instances of
// different versions disagree.
Test(codec, unknown_kinds_are_named)
{
    capnp::MallocMessageBuilder batch;
    batch.initRoot<schema::BatchGroup>().initRecords(1);
    const auto unset = wire::decode_batch_group(bytes_of(batch));
    cr_assert(contains(unset.error(), "batch record has kind number 0"), "%s",
              unset.error().c_str());

    std::string control = wire::encode_control_group({{{}, 1, core::member_leave{}}});
    // The discriminant is the only 16-bit field of the record's data; member_leave has number 3.
    std::size_t found = 0;
    for (std::size_t place = 0; place + 1 < control.size(); place += 2) {
        std::string changed = control;
        if (changed[place] != 3 || changed[place + 1] != 0) {
            continue;
        }
        changed[place] = 77;
        const auto result = wire::decode_control_group(changed);
        found += !result && contains(result.error(), "control record has kind number 77") ? 1 : 0;
    }
    cr_assert_eq(found, 1U);
}

// Guards against a digest or a number that no later code expects.
Test(codec, values_out_of_range_are_errors)
{
    core::peer_envelope envelope;
    core::limit_grant grant;
    grant.tokens = std::nan("");
    envelope.messages = {grant};
    cr_assert(!wire::decode_envelope(wire::encode_envelope(envelope)).has_value());

    capnp::MallocMessageBuilder message;
    const kj::byte bytes[3] = {1, 2, 3};
    message.initRoot<schema::Envelope>().initMessages(1)[0].initCrashNotice().setFingerprint(
        capnp::Data::Reader(bytes, sizeof bytes));
    cr_assert(contains(wire::decode_envelope(bytes_of(message)).error(), "digest of 3 bytes"));
}
