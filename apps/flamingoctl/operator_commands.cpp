#include "change.h"
#include "commands.h"
#include "core/error.h"
#include "key_func.h"
#include "output.h"
#include "table/reason_table.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <array>
#include <random>

namespace flamingotally
{

namespace
{

constexpr std::size_t newKeyBytes = 32; ///< Random bytes in a generated key.

constexpr std::array keyColumns = {
    Column{"KEY", "label"},
    Column{"TEAM", "team"},
    Column{"ROLE", "role"},
    Column{"WITHDRAWN", "withdrawn"},
};

constexpr std::array teamColumns = {
    Column{"TEAM", "name"},
    Column{"VERSION", "version"},
    Column{"DELETED", "deleted"},
    Column{"SHARE", "share"},
    Column{"SHARE PART", "sharePart"},
    Column{"USE PART", "usePart"},
    Column{"CPU", "running.cpuMilli"},
    Column{"CPU LIMIT", "limit.cpuMilli"},
    Column{"MEMORY", "running.memoryMb"},
    Column{"MEMORY LIMIT", "limit.memoryMb"},
    Column{"ACC", "running.accelerators"},
    Column{"ACC LIMIT", "limit.accelerators"},
    Column{"WAITING", "waitingTasks"},
};

constexpr std::array domainColumns = {
    Column{"DOMAIN", "name"},
    Column{"SERVICE", "service"},
    Column{"VERSION", "version"},
    Column{"WORKERS", "workers"},
    Column{"LIVE", "liveWorkers"},
    Column{"ATTEMPTS", "attempts"},
    Column{"CPU", "used.cpuMilli"},
    Column{"CPU TOTAL", "total.cpuMilli"},
    Column{"ACC", "used.accelerators"},
    Column{"ACC TOTAL", "total.accelerators"},
};

constexpr std::array daemonColumns = {
    Column{"DAEMON", "name"},
    Column{"DOMAIN", "domain"},
    Column{"HTTP", "httpAddress"},
    Column{"HEARD", "heard"},
    Column{"AGO MS", "heardAgoMs"},
    Column{"LEAVING", "leaving"},
    Column{"READS LOG", "readsLog"},
    Column{"OFFSET", "appliedOffset"},
    Column{"DIGEST AT", "digestOffset"},
    Column{"DIGEST", "digest"},
};

constexpr std::array workerColumns = {
    Column{"WORKER", "name"},
    Column{"DOMAIN", "domain"},
    Column{"RACK", "rack"},
    Column{"SERVICE", "service"},
    Column{"ATTEMPTS", "attempts"},
    Column{"CPU", "used.cpuMilli"},
    Column{"CPU TOTAL", "total.cpuMilli"},
    Column{"MEMORY", "used.memoryMb"},
    Column{"MEMORY TOTAL", "total.memoryMb"},
    Column{"ACC", "used.accelerators"},
    Column{"ACC TOTAL", "total.accelerators"},
    Column{"ENDS", "recentEnds"},
    Column{"FAILURES", "recentFailures"},
};

constexpr std::array historyColumns = {
    Column{"OFFSET", "offset"},
    Column{"AT MS", "atMs"},
    Column{"CHANGE", "change"},
    Column{"SUBJECT", "subject"},
    Column{"VERSION", "version"},
    Column{"AUTHOR", "author"},
};

constexpr std::array topProfileColumns = {
    Column{"PROFILE", "name"},
    Column{"URGENCY", "spec.urgency"},
    Column{"WAITING", "waitingTasks"},
    Column{"PLACED", "placedTasks"},
};

/** Generates a random key in hexadecimal digits. */
std::string generateKey()
{
    std::random_device device;
    std::string key;
    for (std::size_t n = 0; n < newKeyBytes; ++n) {
        key += fmt::format("{:02x}", device() & 0xffU);
    }
    return key;
}

/** Returns the value of an option or, if the option is not given, the number at a path of the current object. */
template<typename T>
std::int64_t optionOrCurrent(const std::optional<T> &option, const boost::json::value &current, std::string_view path)
{
    return option ? static_cast<std::int64_t>(*option) : static_cast<std::int64_t>(numberAt(current, path));
}

/** Makes the body of a request that sets a team; options that are not given keep the current values of the team. */
std::string teamBody(const CtlOptions &options, const boost::json::value &current)
{
    boost::json::object limit;
    limit["cpuMilli"] = optionOrCurrent(options.cpuMilli, current, "limit.cpuMilli");
    limit["memoryMb"] = optionOrCurrent(options.memoryMb, current, "limit.memoryMb");
    limit["accelerators"] = optionOrCurrent(options.accelerators, current, "limit.accelerators");
    boost::json::object body;
    if (options.share || !current.is_null()) {
        body["share"] = optionOrCurrent(options.share, current, "share");
    }
    if (options.queueLimit || !current.is_null()) {
        body["queueLimit"] = optionOrCurrent(options.queueLimit, current, "queueLimit");
    }
    body["limit"] = std::move(limit);
    return boost::json::serialize(body);
}

/**
 * Takes a failure domain out of service or returns it to service.
 * @param service "out" or "in".
 */
ExitCode setDomainService(Session &session, const std::string &name, const char *service)
{
    CtlRequest request{HttpMethod::Post, fmt::format("/v1/domains/{}/{}", name, service)};
    if (const auto version = session.options().expectedVersion) {
        request.query = {{"expectedVersion", std::to_string(*version)}};
    }
    return applyChange(session, request);
}

void printCounts(std::string_view heading, const boost::json::value &counts)
{
    fmt::print("\n{}\n", heading);
    printObject(counts);
}

} // namespace

ExitCode grantKey(Session &session, const Arguments &arguments)
{
    const auto &options = session.options();
    auto key = options.newKeyFile.empty() ? absl::StatusOr<std::string>(generateKey()) : readFile(options.newKeyFile);
    if (!key.ok()) {
        fmt::print(stderr, "flamingoctl: {}\n", messageOf(key.status()));
        return ExitCode::Usage;
    }
    boost::json::object body;
    body["digest"] = toString(digestOfKey(std::string(absl::StripAsciiWhitespace(*key))));
    body["team"] = options.team;
    body["role"] = options.role;
    CtlRequest request{HttpMethod::Put, "/v1/keys/" + arguments[0]};
    request.body = boost::json::serialize(body);
    const auto code = applyChange(session, request);
    if (code == ExitCode::Ok && options.newKeyFile.empty()) {
        fmt::print(stderr, "the new key, which is not shown again: {}\n", *key);
    }
    return code;
}

ExitCode withdrawKey(Session &session, const Arguments &arguments)
{
    return applyChange(session, {HttpMethod::Delete, "/v1/keys/" + arguments[0]});
}

ExitCode listKeys(Session &session, const Arguments &)
{
    return printList(session, session.call({HttpMethod::Get, "/v1/keys"}), "keys", keyColumns);
}

ExitCode setTeam(Session &session, const Arguments &arguments)
{
    const auto path = "/v1/teams/" + arguments[0];
    const auto base = readBase(session, path);
    if (base.code != ExitCode::Ok) {
        return base.code;
    }
    CtlRequest request{HttpMethod::Put, path, {{"expectedVersion", std::to_string(base.version)}}};
    request.body = teamBody(session.options(), base.current);
    return applyChange(session, request);
}

ExitCode showTeam(Session &session, const Arguments &arguments)
{
    return print(session, session.call({HttpMethod::Get, "/v1/teams/" + arguments[0]}), printObject);
}

ExitCode listTeams(Session &session, const Arguments &)
{
    return printList(session, session.call({HttpMethod::Get, "/v1/teams"}), "teams", teamColumns);
}

ExitCode deleteTeam(Session &session, const Arguments &arguments)
{
    const auto path = "/v1/teams/" + arguments[0];
    const auto base = readBase(session, path);
    return base.code != ExitCode::Ok
        ? base.code
        : applyChange(session, {HttpMethod::Delete, path, {{"expectedVersion", std::to_string(base.version)}}});
}

ExitCode takeDomainOut(Session &session, const Arguments &arguments)
{
    return setDomainService(session, arguments[0], "out");
}

ExitCode takeDomainIn(Session &session, const Arguments &arguments)
{
    return setDomainService(session, arguments[0], "in");
}

ExitCode listDomains(Session &session, const Arguments &)
{
    return printList(session, session.call({HttpMethod::Get, "/v1/domains"}), "domains", domainColumns);
}

ExitCode listDaemons(Session &session, const Arguments &)
{
    return printList(session, session.call({HttpMethod::Get, "/v1/daemons"}), "daemons", daemonColumns);
}

ExitCode listWorkers(Session &session, const Arguments &)
{
    return printList(session, session.call({HttpMethod::Get, "/v1/workers"}), "workers", workerColumns);
}

ExitCode showHistory(Session &session, const Arguments &)
{
    const auto &options = session.options();
    std::vector<HttpField> query{{"most", std::to_string(options.maxChanges)}};
    if (!options.subject.empty()) {
        query.push_back({"subject", options.subject});
    }
    return printList(session, session.call({HttpMethod::Get, "/v1/history", query}), "history", historyColumns);
}

ExitCode showTop(Session &session, const Arguments &)
{
    const auto response = session.call({HttpMethod::Get, "/v1/top"});
    return print(session, response, [](const boost::json::value &json) {
        const auto &top = json.as_object();
        printTable(top.at("teams"), teamColumns);
        fmt::print("\n");
        printTable(top.at("domains"), domainColumns);
        fmt::print("\n");
        printTable(top.at("daemons"), daemonColumns);
        fmt::print("\n");
        printTable(top.at("profiles"), topProfileColumns);
        printCounts("refusals of this daemon", top.at("refusals"));
        printCounts("rejected commands of this daemon", top.at("rejections"));
        printCounts("retries of this daemon", top.at("retries"));
    });
}

ExitCode listRefusals(Session &, const Arguments &)
{
    for (const auto &row : reasonTable) {
        if (row.value != Reason::None) {
            const auto *retry = row.retryable ? "try again" : "do not repeat";
            fmt::print("{:<24} {}  {:<14} {}\n", row.name, row.httpStatus, retry, row.text);
        }
    }
    return ExitCode::Ok;
}

} // namespace flamingotally
