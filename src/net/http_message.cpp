#include "net/http_message.h"

#include "net/http_target.h"
#include "table/http_table.h"

#include <utility>

namespace flamingotally
{

namespace
{

constexpr std::string_view bearerPrefix = "Bearer ";

HttpMethod methodOf(http::verb verb)
{
    const auto name = http::to_string(verb);
    return valueFromName(httpMethodTable, {name.data(), name.size()}).value_or(HttpMethod::Other);
}

} // namespace

std::optional<HttpRequest> toRequest(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = methodOf(message.method());
    if (!decodeTarget({message.target().data(), message.target().size()}, request)) {
        return std::nullopt;
    }
    for (const auto &it : message) {
        request.fields.push_back({std::string(it.name_string()), std::string(it.value())});
    }
    if (const auto value = fieldValue(request.fields, "Authorization"); value.starts_with(bearerPrefix)) {
        request.bearer = value.substr(bearerPrefix.size());
    }
    request.idempotencyKey = fieldValue(request.fields, "Idempotency-Key");
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> toMessage(HttpResponse response, unsigned version, bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(version);
    message.result(response.status);
    if (!response.body.empty()) {
        message.set(http::field::content_type, response.contentType);
    }
    for (const auto &[name, value] : response.fields) {
        message.set(name, value);
    }
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

http::request<http::string_body> toMessage(HttpCall &call)
{
    const auto name = rowOf(httpMethodTable, call.method).name;
    http::request<http::string_body> message;
    message.version(11);
    message.method_string({name.data(), name.size()});
    message.target(call.target);
    message.set(http::field::host, call.address);
    for (const auto &field : call.fields) {
        message.set(field.name, field.value);
    }
    if (!call.body.empty()) {
        message.set(http::field::content_type, call.contentType);
    }
    message.body() = std::move(call.body);
    message.prepare_payload();
    return message;
}

HttpResponse toResponse(http::response<http::string_body> message)
{
    HttpResponse response;
    response.status = message.result_int();
    response.contentType = std::string(message[http::field::content_type]);
    for (const auto &it : message) {
        response.fields.push_back({std::string(it.name_string()), std::string(it.value())});
    }
    response.body = std::move(message.body());
    return response;
}

} // namespace flamingotally
