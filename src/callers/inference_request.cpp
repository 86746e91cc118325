#include "callers/inference_request.hpp"

#include "core/types.hpp"

#include <boost/json.hpp>

namespace gooseberryfall::callers {

namespace json = boost::json;

namespace {

/// Characters of the messages that make the prefix. Longer prefixes tell more conversations apart
/// that still share a system prompt.
constexpr std::size_t prefix_length = 256;

constexpr std::int64_t max_tokens_limit = 1'000'000;

} // namespace

tl::expected<inference_request, std::string> parse_inference_request(const std::string& body)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    if (error || !parsed.is_object()) {
        return tl::unexpected<std::string>("the body is no JSON object");
    }
    const json::object& fields = parsed.as_object();
    const json::value* model = fields.if_contains("model");
    if (model == nullptr || !model->is_string() || model->as_string().empty()) {
        return tl::unexpected<std::string>("\"model\" must be a text");
    }
    const json::value* messages = fields.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return tl::unexpected<std::string>("\"messages\" must be a list");
    }
    inference_request result;
    result.model = std::string(model->as_string());
    const json::value* limit = fields.if_contains("max_tokens");
    if (limit != nullptr && !limit->is_null()) {
        const bool valid =
            limit->is_int64() && limit->as_int64() > 0 && limit->as_int64() <= max_tokens_limit;
        if (!valid) {
            return tl::unexpected<std::string>("\"max_tokens\" must be a number from 1 to " +
                                               std::to_string(max_tokens_limit));
        }
        result.max_tokens = static_cast<std::uint32_t>(limit->as_int64());
    }
    const std::string text = json::serialize(*messages);
    result.prefix = core::stable_hash(text.substr(0, prefix_length));
    return result;
}

} // namespace gooseberryfall::callers
