#include "config/toml_input.hpp"

#include <toml++/toml.h>

#include <algorithm>

namespace gooseberryfall::config {

namespace {

constexpr std::size_t text_bytes_max = 16U << 20U;

/// Longest line that is parsed, in bytes. A dotted key nests one table for each dot, and toml++
/// frees nested tables recursively, so that a very long key would overflow the stack.
constexpr std::size_t line_bytes_max = 8192;

std::uint32_t line_of(const toml::source_region& region)
{
    return region.begin.line;
}

raw_value to_raw_value(const toml::node& node);

raw_value to_raw_list(const toml::array& array)
{
    std::vector<std::string> strings;
    for (const toml::node& element : array) {
        const auto* text = element.as_string();
        if (text == nullptr) {
            return unsupported_value{"a list with elements that are not texts"};
        }
        strings.push_back(text->get());
    }
    return strings;
}

raw_value to_raw_value(const toml::node& node)
{
    switch (node.type()) {
    case toml::node_type::string:
        return node.as_string()->get();
    case toml::node_type::integer:
        return node.as_integer()->get();
    case toml::node_type::floating_point:
        return node.as_floating_point()->get();
    case toml::node_type::boolean:
        return node.as_boolean()->get();
    case toml::node_type::array:
        return to_raw_list(*node.as_array());
    case toml::node_type::table:
        return unsupported_value{"a table"};
    default:
        return unsupported_value{"a date or time"};
    }
}

raw_table to_raw_table(const std::string& name, const toml::table& table, bool is_array_element)
{
    raw_table result;
    result.name = name;
    result.key_path = name;
    result.line = line_of(table.source());
    result.is_array_element = is_array_element;
    for (const auto& [key, node] : table) {
        result.fields.push_back(
            {std::string(key.str()), to_raw_value(node), line_of(key.source())});
    }
    std::stable_sort(result.fields.begin(), result.fields.end(),
                     [](const raw_field& a, const raw_field& b) { return a.line < b.line; });
    return result;
}

void add_root_entry(const toml::key& key, const toml::node& node, toml_input& input)
{
    const std::string name(key.str());
    if (const toml::table* table = node.as_table()) {
        input.tables.push_back(to_raw_table(name, *table, false));
        return;
    }
    const toml::array* array = node.as_array();
    if (array == nullptr || !array->is_array_of_tables()) {
        input.top_level_keys.push_back({name, to_raw_value(node), line_of(key.source())});
        return;
    }
    for (const toml::node& element : *array) {
        input.tables.push_back(to_raw_table(name, *element.as_table(), true));
    }
}

/// Checks the size of the text and of its lines before it is parsed.
problem_list check_size(const std::string& text)
{
    if (text.size() > text_bytes_max) {
        return {{"", 1, "", "the file is larger than 16 MiB"}};
    }
    std::uint32_t line = 1;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        if (end - begin > line_bytes_max) {
            return {{"", line, "", "the line is longer than 8192 bytes"}};
        }
        begin = end + 1;
        ++line;
    }
    return {};
}

} // namespace

checked<toml_input> parse_toml(const std::string& text)
{
    problem_list problems = check_size(text);
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    try {
        const toml::table root = toml::parse(text);
        toml_input input;
        for (const auto& [key, node] : root) {
            add_root_entry(key, node, input);
        }
        std::stable_sort(input.tables.begin(), input.tables.end(),
                         [](const raw_table& a, const raw_table& b) { return a.line < b.line; });
        return input;
    }
    catch (const toml::parse_error& syntax_error) {
        const problem found{"", line_of(syntax_error.source()), "",
                            "not valid TOML: " + std::string(syntax_error.description())};
        return tl::unexpected(problem_list{found});
    }
}

problem_list with_file_name(problem_list problems, const std::string& file)
{
    for (problem& reported : problems) {
        reported.file = file;
    }
    sort_by_line(problems);
    return problems;
}

} // namespace gooseberryfall::config
