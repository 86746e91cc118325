#include "callers/inference_request.hpp"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

using gooseberryfall::callers::parse_inference_request;

// Guards against bodies that are passed on although routing cannot read them, and against a message
// that does not name the field.
Test(inference_request, names_what_is_wrong)
{
    const std::vector<std::pair<std::string, std::string>> table{
        {"", "the body is no JSON object"},
        {"[]", "the body is no JSON object"},
        {"{", "the body is no JSON object"},
        {std::string(1000, '['), "the body is no JSON object"},
        {"{}", "\"model\" must be a text"},
        {"{\"model\":7}", "\"model\" must be a text"},
        {"{\"model\":\"\"}", "\"model\" must be a text"},
        {"{\"model\":\"m\"}", "\"messages\" must be a list"},
        {"{\"model\":\"m\",\"messages\":{}}", "\"messages\" must be a list"},
        {"{\"model\":\"m\",\"messages\":[],\"max_tokens\":0}",
         "\"max_tokens\" must be a number from 1 to 1000000"},
        {"{\"model\":\"m\",\"messages\":[],\"max_tokens\":\"9\"}",
         "\"max_tokens\" must be a number from 1 to 1000000"},
        {"{\"model\":\"m\",\"messages\":[],\"max_tokens\":1e30}",
         "\"max_tokens\" must be a number from 1 to 1000000"},
    };
    for (const auto& [body, message] : table) {
        const auto parsed = parse_inference_request(body);
        cr_assert_not(parsed.has_value(), "%s", body.c_str());
        cr_assert_str_eq(parsed.error().c_str(), message.c_str());
    }
}

// Guards against a prefix hash that tells requests with the same long prompt apart.
Test(inference_request, shares_the_prefix_of_long_prompts)
{
    const std::string prompt(400, 'p');
    const auto body = [&](const std::string& end) {
        return "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + end +
               "\"}]}";
    };
    const auto first = parse_inference_request(body("one"));
    const auto second = parse_inference_request(body("two"));
    cr_assert(first.has_value() && second.has_value());
    cr_assert_eq(first->prefix, second->prefix);
}
