#include "config/config.hpp"

#include <boost/json.hpp>
#include <criterion/criterion.h>

#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

namespace config = gooseberryfall::config;

namespace {

constexpr unsigned seed = 20'240'607;
constexpr int mutation_count = 500;

/// Most damaged JSON texts are refused by the parser already; this many leave several hundred that
/// are not.
constexpr int json_mutation_count = 5000;

std::string content(const std::string& name)
{
    std::ifstream stream(std::string(SOURCE_ROOT) + "/examples/" + name);
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// Changes the text at a few places: characters replaced, parts removed, repeated or moved.
std::string mutate(std::string text, std::mt19937& random)
{
    const std::vector<std::string> pieces{"[[",
                                          "]]",
                                          "\"",
                                          "=",
                                          "\n",
                                          "{",
                                          "}",
                                          ",",
                                          "-1",
                                          "1e999",
                                          "nan",
                                          "\\u0000",
                                          "\xff",
                                          ".",
                                          "true",
                                          "null",
                                          "99999999999999999999",
                                          "#",
                                          std::string(1, '\0')};
    const unsigned steps = 1 + random() % 4;
    for (unsigned step = 0; step < steps && !text.empty(); ++step) {
        const std::size_t at = random() % text.size();
        const std::size_t length = random() % 40;
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random() % 256);
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(random() % text.size(), text.substr(at, length));
            break;
        default:
            text.insert(at, pieces[random() % pieces.size()]);
            break;
        }
    }
    return text;
}

/// Whether a result is a value, or problems that all say something.
template <class Value>
bool is_sound(const config::checked<Value>& result)
{
    if (result) {
        return true;
    }
    bool sound = !result.error().empty();
    for (const config::problem& fault : result.error()) {
        sound = sound && !fault.text.empty() && (fault.file.empty() || fault.line > 0);
    }
    return sound;
}

struct tally {
    int accepted = 0;
    int refused = 0;

    template <class Value>
    void add(const config::checked<Value>& result)
    {
        cr_expect(is_sound(result));
        ++(result ? accepted : refused);
    }
};

} // namespace

// Guards against a crash on a damaged file. A fleet that is accepted must be consistent and survive
// being written.
Test(mutation, damaged_fleet_files_do_no_harm)
{
    std::mt19937 random(seed);
    const std::string text = content("verbeke/fleet.toml");
    tally results;
    for (int round = 0; round < mutation_count; ++round) {
        const auto result = config::parse_fleet(mutate(text, random), "f.toml");
        results.add(result);
        if (result) {
            const auto again = config::parse_fleet(config::write_fleet(*result), "f.toml");
            cr_expect(again.has_value() && again->same_entries(*result));
        }
    }
    cr_log_info("seed %u: %d accepted, %d refused", seed, results.accepted, results.refused);
    cr_assert(results.accepted > 0 && results.refused > 0);
}

// Guards against a crash on a damaged settings file.
Test(mutation, damaged_settings_files_do_no_harm)
{
    std::mt19937 random(seed);
    const std::string text = content("torsyq/instance.toml");
    tally results;
    for (int round = 0; round < mutation_count; ++round) {
        results.add(config::parse_settings(mutate(text, random), "i.toml"));
    }
    cr_log_info("seed %u: %d accepted, %d refused", seed, results.accepted, results.refused);
    cr_assert(results.accepted > 0 && results.refused > 0);
}

// Guards against a crash of the daemon on a damaged request of an operator.
Test(mutation, damaged_json_does_no_harm)
{
    std::mt19937 random(seed);
    const auto state = config::read_fleet(std::string(SOURCE_ROOT) + "/examples/torsyq/fleet.toml");
    const std::string text = boost::json::serialize(config::to_json(*state));
    tally results;
    for (int round = 0; round < json_mutation_count; ++round) {
        const auto value = config::parse_json(mutate(text, random));
        cr_expect(is_sound(value));
        if (value) {
            results.add(config::fleet_from_json(*value));
            cr_expect(is_sound(config::apply_from_json(*value)));
            cr_expect(is_sound(config::status_from_json(*value)));
        }
    }
    cr_log_info("seed %u: %d accepted, %d refused", seed, results.accepted, results.refused);
    cr_assert(results.accepted > 0 && results.refused > 0);
}

// Guards against a stack overflow in the parser by deep nesting.
Test(mutation, deep_nesting_is_refused)
{
    std::string dotted = "a";
    std::string arrays;
    for (int depth = 0; depth < 200'000; ++depth) {
        dotted += ".a";
        arrays += "[";
    }
    cr_assert(!config::parse_fleet(dotted + " = 1", "f.toml"));
    cr_assert(!config::parse_fleet("a = " + arrays, "f.toml"));
    cr_assert(!config::parse_fleet(dotted.substr(0, 8000) + " = 1", "f.toml"));
    cr_assert(!config::parse_json(arrays));
}
