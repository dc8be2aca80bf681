#include "standin_codec.h"

#include "codec/json_field.h"
#include "codec/worker_codec.h"
#include "field_table.h"
#include "net/http_error.h"
#include "table/job_table.h"

#include <boost/json.hpp>

#include <charconv>

namespace flamingotally::standin
{

namespace json = boost::json;

namespace
{

constexpr const char *binaryType = "application/octet-stream";
constexpr std::size_t defaultReadBytes = 256 * 1024;

json::value toJson(const Run &run)
{
    json::object object{{"worker", run.worker},
                        {"attempt", run.order.attempt},
                        {"request", toString(run.order.request)},
                        {"ordinal", run.order.ordinal},
                        {"startedAt", run.startedAt.time_since_epoch().count()},
                        {"endedAt", run.endedAt.time_since_epoch().count()},
                        {"outcome", rowOf(outcomeTable, run.outcome).name}};
    return object;
}

HttpResponse jsonResponse(const json::object &object)
{
    HttpResponse httpResponse;
    httpResponse.body = json::serialize(object);
    return httpResponse;
}

HttpResponse journalResponse(const Standin &standin)
{
    json::array runs;
    for (const auto &it : standin.journal) {
        runs.push_back(toJson(it));
    }
    return jsonResponse({{"count", standin.journal.size()}, {"runs", std::move(runs)}});
}

HttpResponse faultsResponse(const Standin &standin)
{
    json::object object;
    writeJsonFields(object, platformFieldTable, standin.faults);
    json::array hosts;
    standin.hosts.forEach([&](HostRef ref) {
        json::object host{{"host", standin.hosts.get<HostRow>(ref).name}};
        writeJsonFields(host, hostFieldTable, standin.hosts.get<HostFaults>(ref));
        hosts.push_back(std::move(host));
    });
    object["hosts"] = std::move(hosts);
    return jsonResponse(object);
}

/** Encodes each kind of response as an HTTP response. */
struct HttpResponseMaker {
    const Standin &standin;

    HttpResponse operator()(const AppendStored &response) const
    {
        return jsonResponse({{"offset", response.offset}});
    }

    /** Encodes a refusal. Every refusal has the reason LogUnavailable, also when it does not come from the log. */
    HttpResponse operator()(const Refusal &response) const
    {
        HttpError error;
        error.reason = Reason::LogUnavailable;
        error.detail = response.text;
        error.status = response.httpStatus;
        return makeErrorResponse(error);
    }

    /** Returns the status with which the HTTP server closes the connection instead of sending a response. */
    HttpResponse operator()(const NoResponse & /*response*/) const
    {
        HttpResponse httpResponse;
        httpResponse.status = noResponseStatus;
        return httpResponse;
    }

    HttpResponse operator()(const LogPage &response) const
    {
        HttpResponse httpResponse;
        httpResponse.contentType = binaryType;
        httpResponse.body = encodeLogPage(response);
        return httpResponse;
    }

    HttpResponse operator()(const std::vector<HostRow> &response) const
    {
        HttpResponse httpResponse;
        httpResponse.body = encodeHostList(response);
        return httpResponse;
    }

    HttpResponse operator()(const WorkerReport &response) const
    {
        HttpResponse httpResponse;
        httpResponse.body = encodeWorkerReport(response);
        return httpResponse;
    }

    HttpResponse operator()(const ResultBytes &response) const
    {
        HttpResponse httpResponse;
        httpResponse.contentType = binaryType;
        httpResponse.body = response.bytes;
        return httpResponse;
    }

    HttpResponse operator()(const JournalResponse & /*response*/) const
    {
        return journalResponse(standin);
    }

    HttpResponse operator()(const FaultsChanged & /*response*/) const
    {
        return faultsResponse(standin);
    }
};

/**
 * Returns a non-negative integer from the query.
 * @return The integer; the fallback when the parameter is missing or empty. The error for another value is made with
 * jsonError(), whose status code (InvalidArgument) and step (ParseRequest) fit query parameters as well as JSON bodies.
 */
absl::StatusOr<std::uint64_t>
parseQueryNumber(const HttpRequest &request, std::string_view name, std::uint64_t fallback)
{
    const auto text = fieldValue(request.query, name);
    if (text.empty()) {
        return fallback;
    }
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    if (const auto [rest, error] = std::from_chars(text.data(), end, number); error != std::errc{} || rest != end) {
        return jsonError(fmt::format("'{}' is not a whole number", name));
    }
    return number;
}

/** Returns the current faults of a host; a host that does not exist has none. */
HostFaults faultsOf(const Standin &standin, std::string_view name)
{
    HostFaults faults;
    standin.hosts.forEach([&](HostRef ref) {
        if (standin.hosts.get<HostRow>(ref).name == name) {
            faults = standin.hosts.get<HostFaults>(ref);
        }
    });
    return faults;
}

/** Parses one field of a request to change faults. Skips "host", which parseFaults() has already parsed. */
absl::Status readFault(FaultRequest &request, std::string_view key, const json::value &value)
{
    if (key == "host") {
        return absl::OkStatus();
    }
    if (key == "reboot") {
        request.shouldReboot = value.is_bool() && value.get_bool();
        return absl::OkStatus();
    }
    if (findField(hostFieldTable, key)) {
        return readJsonField(hostFieldTable, request.hostFaults, key, value);
    }
    return readJsonField(platformFieldTable, request.platform, key, value);
}

} // namespace

absl::StatusOr<FaultRequest> parseFaults(const Standin &standin, std::string_view body)
{
    const auto object = parseJsonObject(body);
    if (!object.ok()) {
        return object.status();
    }
    FaultRequest request;
    request.platform = standin.faults;
    if (const auto *host = object->if_contains("host"); host && host->is_string()) {
        request.host = std::string(host->get_string());
        request.hostFaults = faultsOf(standin, request.host);
    }
    for (const auto &it : *object) {
        if (auto status = readFault(request, std::string_view(it.key()), it.value()); !status.ok()) {
            return status;
        }
    }
    return request;
}

absl::StatusOr<ReadRequest> parseRead(const HttpRequest &request)
{
    const auto from = parseQueryNumber(request, "from", 0);
    const auto wait = parseQueryNumber(request, "waitMs", 0);
    const auto maxBytes = parseQueryNumber(request, "maxBytes", defaultReadBytes);
    for (const auto *it : {&from, &wait, &maxBytes}) {
        if (!it->ok()) {
            return it->status();
        }
    }
    const auto waitMs = std::min<std::uint64_t>(*wait, static_cast<std::uint64_t>(maxDurationMs));
    return ReadRequest{*from, Milliseconds{waitMs}, static_cast<std::size_t>(*maxBytes)};
}

HttpResponse toHttpResponse(const Standin &standin, const ResponseBody &response)
{
    return std::visit(HttpResponseMaker{standin}, response);
}

} // namespace flamingotally::standin
