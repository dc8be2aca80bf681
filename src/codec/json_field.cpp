#include "codec/json_field.h"

#include <limits>

namespace flamingotally
{

FieldValue toFieldValue(const boost::json::value &value)
{
    if (const auto *text = value.if_string()) {
        return std::string(text->data(), text->size());
    }
    if (const auto *number = value.if_int64()) {
        return *number;
    }
    if (const auto *flag = value.if_bool()) {
        return *flag;
    }
    return {};
}

boost::json::value toJson(const FieldValue &value)
{
    return std::visit(
        [](const auto &it) -> boost::json::value {
            if constexpr (std::is_same_v<std::remove_cvref_t<decltype(it)>, std::monostate>) {
                return nullptr;
            } else {
                return boost::json::value(it);
            }
        },
        value);
}

absl::Status jsonError(std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::ParseRequest, "", message);
}

absl::StatusOr<boost::json::object> parseJsonObject(std::string_view body)
{
    boost::system::error_code ec;
    auto value = boost::json::parse(boost::json::string_view(body.data(), body.size()), ec);
    if (ec) {
        return jsonError(fmt::format("body is not JSON: {}", ec.message()));
    }
    auto *object = value.if_object();
    if (!object) {
        return jsonError("body is not a JSON object");
    }
    return std::move(*object);
}

} // namespace flamingotally
