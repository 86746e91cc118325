#include "core/verdict.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace core = gooseberryfall::core;

// Guards against a code that is missing from the table of texts, or stands there in another order
// than in the enumeration.
Test(verdict, every_code_has_its_own_text)
{
    std::set<std::string> texts;
    const auto last = static_cast<unsigned>(core::refusal_code::internal);
    for (unsigned code = 0; code <= last; ++code) {
        texts.insert(core::to_text(static_cast<core::refusal_code>(code)));
    }
    cr_assert_eq(texts.size(), last + 1);
    cr_assert_str_eq(core::to_text(core::refusal_code::internal), "internal");
    cr_assert_eq(core::http_status(core::refusal_code::rate_exceeded), 429U);
}
