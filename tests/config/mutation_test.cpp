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

/// The parser rejects most mutated JSON texts. This count leaves several hundred that reach the
/// validation.
constexpr int json_mutation_count = 5000;

std::string read_example(const std::string& name)
{
    std::ifstream stream(std::string(SOURCE_ROOT) + "/examples/" + name);
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// Applies one to four random mutations: replaces a character, removes or duplicates a part, or
/// inserts a fragment of syntax.
std::string mutate(std::string text, std::mt19937& random)
{
    const std::vector<std::string> fragments{"[[",
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
            text.insert(at, fragments[random() % fragments.size()]);
            break;
        }
    }
    return text;
}

/// Whether a result is a value, or a non-empty list of problems that all have a text and, if they
/// name a file, a line.
template <class Value>
bool has_value_or_problems(const config::checked<Value>& result)
{
    if (result) {
        return true;
    }
    bool is_valid = !result.error().empty();
    for (const config::problem& reported : result.error()) {
        is_valid =
            is_valid && !reported.text.empty() && (reported.file.empty() || reported.line > 0);
    }
    return is_valid;
}

struct outcome_counts {
    int accepted = 0;
    int rejected = 0;

    template <class Value>
    void add(const config::checked<Value>& result)
    {
        cr_expect(has_value_or_problems(result));
        ++(result ? accepted : rejected);
    }
};

} // namespace

// Guards against a crash on a damaged fleet file. A fleet that is accepted must be valid and
// unchanged when it is written and read back.
Test(mutation, damaged_fleet_files_do_no_harm)
{
    std::mt19937 random(seed);
    const std::string text = read_example("verbeke/fleet.toml");
    outcome_counts results;
    for (int round = 0; round < mutation_count; ++round) {
        const auto result = config::parse_fleet(mutate(text, random), "f.toml");
        results.add(result);
        if (result) {
            const auto reread = config::parse_fleet(config::write_fleet(*result), "f.toml");
            cr_expect(reread.has_value() && reread->same_entries(*result));
        }
    }
    cr_log_info("seed %u: %d accepted, %d rejected", seed, results.accepted, results.rejected);
    cr_assert(results.accepted > 0 && results.rejected > 0);
}

// Guards against a crash on a damaged settings file.
Test(mutation, damaged_settings_files_do_no_harm)
{
    std::mt19937 random(seed);
    const std::string text = read_example("torsyq/instance.toml");
    outcome_counts results;
    for (int round = 0; round < mutation_count; ++round) {
        results.add(config::parse_settings(mutate(text, random), "i.toml"));
    }
    cr_log_info("seed %u: %d accepted, %d rejected", seed, results.accepted, results.rejected);
    cr_assert(results.accepted > 0 && results.rejected > 0);
}

// Guards against a crash of the daemon on a malformed operator request.
Test(mutation, damaged_json_does_no_harm)
{
    std::mt19937 random(seed);
    const auto state = config::read_fleet(std::string(SOURCE_ROOT) + "/examples/torsyq/fleet.toml");
    const std::string text = boost::json::serialize(config::to_json(*state));
    outcome_counts results;
    for (int round = 0; round < json_mutation_count; ++round) {
        const auto value = config::parse_json(mutate(text, random));
        cr_expect(has_value_or_problems(value));
        if (value) {
            results.add(config::fleet_from_json(*value));
            cr_expect(has_value_or_problems(config::apply_from_json(*value)));
            cr_expect(has_value_or_problems(config::status_from_json(*value)));
        }
    }
    cr_log_info("seed %u: %d accepted, %d rejected", seed, results.accepted, results.rejected);
    cr_assert(results.accepted > 0 && results.rejected > 0);
}

// Guards against a stack overflow of the TOML and JSON parsers on deeply nested input.
Test(mutation, deep_nesting_is_rejected)
{
    std::string dotted_key = "a";
    std::string open_brackets;
    for (int depth = 0; depth < 200'000; ++depth) {
        dotted_key += ".a";
        open_brackets += "[";
    }
    cr_assert(!config::parse_fleet(dotted_key + " = 1", "f.toml"));
    cr_assert(!config::parse_fleet("a = " + open_brackets, "f.toml"));
    cr_assert(!config::parse_fleet(dotted_key.substr(0, 8000) + " = 1", "f.toml"));
    cr_assert(!config::parse_json(open_brackets));
}
