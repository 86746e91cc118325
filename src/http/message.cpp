#include "http/message.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
// Compiles Boost.URL into this file, because the distribution has no library of it.
#include <boost/url/src.hpp>

namespace gooseberryfall::http {

bool is_event_stream(const header_fields& headers)
{
    // The media type ends where its parameters begin.
    const std::string value = headers.get("Content-Type");
    std::string_view type = std::string_view(value).substr(0, value.find(';'));
    while (type.ends_with(' ') || type.ends_with('\t')) {
        type.remove_suffix(1);
    }
    return equals_ignoring_case(type, "text/event-stream");
}

std::string error_json(const error_details& error)
{
    boost::json::object details;
    details["code"] = error.code;
    details["message"] = error.message;
    details["run"] = error.run_verdict;
    if (error.retry_after) {
        details["retry_after_ms"] = error.retry_after->count();
    }
    boost::json::object document;
    document["error"] = std::move(details);
    return boost::json::serialize(document);
}

response error_response(const error_details& error)
{
    response result;
    result.status = error.status;
    result.headers.set("Content-Type", "application/json");
    result.headers.set("Run-Verdict", error.run_verdict);
    if (error.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retry_after);
        result.headers.set("Retry-After", std::to_string(seconds.count()));
    }
    result.body = error_json(error);
    return result;
}

std::optional<target_parts> parse_target(std::string_view target)
{
    const auto parsed = boost::urls::parse_origin_form({target.data(), target.size()});
    if (!parsed) {
        return std::nullopt;
    }
    target_parts parts;
    const auto path = parsed->encoded_path();
    parts.path.assign(path.data(), path.size());
    for (const auto& parameter : parsed->params()) {
        parts.query.emplace(parameter.key, parameter.value);
    }
    return parts;
}

} // namespace gooseberryfall::http
