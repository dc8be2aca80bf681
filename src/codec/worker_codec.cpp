#include "codec/worker_codec.h"

#include "core/error.h"
#include "table/job_table.h"
#include "table/message_table.h"

#include <boost/json.hpp>

namespace flamingotally
{

namespace json = boost::json;

namespace
{

std::string_view textOf(const json::value &value)
{
    const auto &text = value.as_string();
    return {text.data(), text.size()};
}

/** Converts a JSON integer to a time. The integer counts milliseconds since the epoch of the clock. */
template<typename Time>
Time parseTime(const json::value &value)
{
    return Time{Milliseconds{value.as_int64()}};
}

/** Returns the number of milliseconds between the epoch of the clock and a time. */
template<typename Time>
std::int64_t toMilliseconds(Time time)
{
    return time.time_since_epoch().count();
}

template<typename Rows>
auto parseEnum(const Rows &rows, const json::value &value)
{
    const auto found = valueFromName(rows, textOf(value));
    if (!found) {
        throw std::invalid_argument("text is not a value of the enumeration");
    }
    return *found;
}

template<typename Number>
Number numberAt(const json::object &object, std::string_view name)
{
    return object.at(name).to_number<Number>();
}

/** Returns the items of a member whose value is an array; no items if the member is missing. */
const json::array &itemsAt(const json::object &object, std::string_view name)
{
    static const json::array none;
    const auto *value = object.if_contains(name);
    return value ? value->as_array() : none;
}

/** Returns the value of an optional boolean member; false when it is missing. */
bool flagAt(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value && value->as_bool();
}

json::value toJson(const Resources &amount)
{
    return json::array{amount.cpuMilli, amount.memoryMb, amount.accelerators};
}

Resources parseResources(const json::value &value)
{
    const auto &items = value.as_array();
    return {items.at(0).as_int64(), items.at(1).as_int64(), items.at(2).as_int64()};
}

json::value toJson(const StartOrder &order)
{
    return json::object{{"attempt", order.attempt},
                        {"request", toString(order.request)},
                        {"ordinal", order.ordinal},
                        {"held", toJson(order.reserved)},
                        {"payload", order.payload},
                        {"notAfter", toMilliseconds(order.notAfter)},
                        {"leaseUntil", toMilliseconds(order.leaseUntil)}};
}

StartOrder parseStartOrder(const json::value &value)
{
    const auto &object = value.as_object();
    StartOrder order;
    order.attempt = numberAt<AttemptNumber>(object, "attempt");
    const auto request = parseRequestId(textOf(object.at("request")));
    if (!request) {
        throw std::invalid_argument("member 'request' is not a valid request id");
    }
    order.request = *request;
    order.ordinal = numberAt<std::uint32_t>(object, "ordinal");
    order.reserved = parseResources(object.at("held"));
    order.payload = textOf(object.at("payload"));
    order.notAfter = parseTime<WorkerTime>(object.at("notAfter"));
    order.leaseUntil = parseTime<WorkerTime>(object.at("leaseUntil"));
    return order;
}

json::value toJson(const StopOrder &order)
{
    return json::object{{"attempt", order.attempt},
                        {"cause", rowOf(stopCauseTable, order.cause).name},
                        {"checkpoint", order.checkpoint},
                        {"onlyBeforeStart", order.onlyBeforeStart}};
}

StopOrder parseStopOrder(const json::value &value)
{
    const auto &object = value.as_object();
    StopOrder order;
    order.attempt = numberAt<AttemptNumber>(object, "attempt");
    order.cause = parseEnum(stopCauseTable, object.at("cause"));
    order.checkpoint = flagAt(object, "checkpoint");
    order.onlyBeforeStart = flagAt(object, "onlyBeforeStart");
    return order;
}

json::value toJson(const ReportedEnd &reported)
{
    const auto &[attempt, outcome, result] = reported.end;
    json::object object{
        {"report", reported.report}, {"attempt", attempt}, {"outcome", rowOf(outcomeTable, outcome).name}};
    if (result.length > 0) {
        object["body"] = result.body;
        object["length"] = result.length;
        object["digest"] = result.digest;
        object["heldBy"] = result.storedBy;
    }
    return object;
}

ReportedEnd parseReportedEnd(const json::value &value)
{
    const auto &object = value.as_object();
    ReportedEnd reported;
    reported.report = numberAt<std::uint64_t>(object, "report");
    reported.end.attempt = numberAt<AttemptNumber>(object, "attempt");
    reported.end.outcome = parseEnum(outcomeTable, object.at("outcome"));
    if (object.contains("length")) {
        auto &result = reported.end.result;
        result.body = textOf(object.at("body"));
        result.length = numberAt<std::uint64_t>(object, "length");
        result.digest = numberAt<std::uint64_t>(object, "digest");
        result.storedBy = textOf(object.at("heldBy"));
    }
    return reported;
}

json::value toJson(const HostRow &row)
{
    return json::object{{"name", row.name},
                        {"address", row.address},
                        {"domain", row.domain},
                        {"rack", row.rack},
                        {"role", rowOf(hostRoleTable, row.role).name},
                        {"leaving", row.leaving}};
}

HostRow parseHostRow(const json::value &value)
{
    const auto &object = value.as_object();
    HostRow row;
    row.name = textOf(object.at("name"));
    row.address = textOf(object.at("address"));
    row.domain = textOf(object.at("domain"));
    row.rack = textOf(object.at("rack"));
    row.role = parseEnum(hostRoleTable, object.at("role"));
    row.leaving = flagAt(object, "leaving");
    return row;
}

template<typename Items>
json::array toJsonArray(const Items &items)
{
    json::array array;
    array.reserve(items.size());
    for (const auto &it : items) {
        array.push_back(toJson(it));
    }
    return array;
}

/** Sets a member to an array. Omits the member if the array is empty. */
void setItems(json::object &object, std::string_view name, json::array items)
{
    if (!items.empty()) {
        object[name] = std::move(items);
    }
}

/**
 * Parses a body and converts it to a message. Strings can contain invalid UTF-8.
 * @param step Step that a returned error names as the one that failed.
 * @param read Converts the JSON object to the message.
 * @return The message, or `kInvalidArgument` if parsing or conversion throws: malformed JSON, a missing member, a wrong
 * type or an invalid value.
 */
template<typename Read>
auto decodeObject(std::string_view body, Step step, Read read) -> absl::StatusOr<decltype(read(json::object{}))>
{
    try {
        json::parse_options options;
        options.allow_invalid_utf8 = true;
        const auto value = json::parse({body.data(), body.size()}, {}, options);
        return read(value.as_object());
    } catch (const std::exception &exception) {
        return makeError(absl::StatusCode::kInvalidArgument, step, "", exception.what());
    }
}

} // namespace

std::string encodeWorkerSync(const WorkerSync &sync)
{
    json::object object{
        {"bootId", sync.bootId}, {"acked", sync.ackedReport}, {"seen", sync.seenReport}, {"waitMs", sync.wait.count()}};
    setItems(object, "starts", toJsonArray(sync.starts));
    setItems(object, "stops", toJsonArray(sync.stops));
    json::array renewals;
    for (const auto &it : sync.renewals) {
        renewals.push_back(json::array{it.attempt, toMilliseconds(it.leaseUntil)});
    }
    setItems(object, "renewals", std::move(renewals));
    return json::serialize(object);
}

absl::StatusOr<WorkerSync> decodeWorkerSync(std::string_view body)
{
    return decodeObject(body, Step::Sync, [](const json::object &object) {
        WorkerSync sync;
        sync.bootId = numberAt<std::uint64_t>(object, "bootId");
        sync.ackedReport = numberAt<std::uint64_t>(object, "acked");
        sync.seenReport = numberAt<std::uint64_t>(object, "seen");
        sync.wait = Milliseconds{numberAt<std::int64_t>(object, "waitMs")};
        for (const auto &it : itemsAt(object, "starts")) {
            sync.starts.push_back(parseStartOrder(it));
        }
        for (const auto &it : itemsAt(object, "stops")) {
            sync.stops.push_back(parseStopOrder(it));
        }
        for (const auto &it : itemsAt(object, "renewals")) {
            const auto &pair = it.as_array();
            sync.renewals.push_back({pair.at(0).to_number<AttemptNumber>(), parseTime<WorkerTime>(pair.at(1))});
        }
        return sync;
    });
}

std::string encodeWorkerReport(const WorkerReport &report)
{
    json::object object{{"worker", report.worker},
                        {"bootId", report.bootId},
                        {"total", toJson(report.total)},
                        {"clock", toMilliseconds(report.clock)}};
    setItems(object, "ends", toJsonArray(report.ends));
    setItems(object, "active", json::array(report.active.begin(), report.active.end()));
    json::array usage;
    for (const auto &it : report.usage) {
        usage.push_back(json::array{it.attempt, toJson(it.used)});
    }
    setItems(object, "usage", std::move(usage));
    return json::serialize(object);
}

absl::StatusOr<WorkerReport> decodeWorkerReport(std::string_view body)
{
    return decodeObject(body, Step::Sync, [](const json::object &object) {
        WorkerReport report;
        report.worker = textOf(object.at("worker"));
        report.bootId = numberAt<std::uint64_t>(object, "bootId");
        report.total = parseResources(object.at("total"));
        report.clock = parseTime<WorkerTime>(object.at("clock"));
        for (const auto &it : itemsAt(object, "ends")) {
            report.ends.push_back(parseReportedEnd(it));
        }
        for (const auto &it : itemsAt(object, "active")) {
            report.active.push_back(it.to_number<AttemptNumber>());
        }
        for (const auto &it : itemsAt(object, "usage")) {
            const auto &pair = it.as_array();
            report.usage.push_back({pair.at(0).to_number<AttemptNumber>(), parseResources(pair.at(1))});
        }
        return report;
    });
}

std::string encodeHostList(const std::vector<HostRow> &hosts)
{
    return json::serialize(json::object{{"hosts", toJsonArray(hosts)}});
}

absl::StatusOr<std::vector<HostRow>> decodeHostList(std::string_view body)
{
    return decodeObject(body, Step::ListHosts, [](const json::object &object) {
        std::vector<HostRow> hosts;
        for (const auto &it : itemsAt(object, "hosts")) {
            hosts.push_back(parseHostRow(it));
        }
        return hosts;
    });
}

} // namespace flamingotally
