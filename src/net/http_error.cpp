#include "net/http_error.h"

#include "table/reason_table.h"
#include "table/step_table.h"

#include <boost/json.hpp>

namespace flamingotally
{

namespace
{

constexpr Milliseconds oneSecond{1'000};

} // namespace

HttpResponse makeErrorResponse(const HttpError &error)
{
    const auto &row = rowOf(reasonTable, error.reason);
    const std::string_view text = error.detail.empty() ? row.text : std::string_view(error.detail);
    boost::json::object body;
    body["reason"] = row.name;
    body["step"] = rowOf(stepTable, error.step).name;
    body["peer"] = error.peer;
    body["text"] = text;
    body["retryAfterMs"] = error.retryAfter.count();
    if (!error.id.empty()) {
        body["id"] = error.id;
    }

    HttpResponse response;
    response.status = error.status != 0 ? error.status : row.httpStatus;
    response.body = boost::json::serialize(boost::json::object{{"error", std::move(body)}});
    if (error.retryAfter.count() > 0) {
        const auto seconds = (error.retryAfter + oneSecond - Milliseconds{1}) / oneSecond;
        response.fields.push_back({"Retry-After", std::to_string(seconds)});
    }
    return response;
}

} // namespace flamingotally
