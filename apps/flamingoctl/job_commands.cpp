#include "commands.h"
#include "output.h"

#include <fmt/format.h>

#include <array>

namespace flamingotally
{

namespace
{

/** Longest time for which the server delays each response to `watch` until the job ends. */
constexpr Milliseconds longPollWait{1'000};

constexpr std::array taskColumns = {
    Column{"TASK", "ordinal"},
    Column{"PHASE", "phase"},
    Column{"OUTCOME", "outcome"},
    Column{"WORKER", "worker"},
    Column{"DOMAIN", "domain"},
    Column{"ATTEMPTS", "attempts"},
    Column{"LENGTH", "result.length"},
};

constexpr std::array jobColumns = {
    Column{"JOB", "id"},
    Column{"NAME", "name"},
    Column{"PROFILE", "profile"},
    Column{"TEAM", "team"},
    Column{"WAITING", "waiting"},
    Column{"PLACED", "placed"},
    Column{"ENDED", "ended"},
};

constexpr std::array explainColumns = {
    Column{"REASON", "reason"},
    Column{"WORKERS", "workers"},
    Column{"TEXT", "text"},
};

std::string jobPath(const std::string &id)
{
    return "/v1/jobs/" + id;
}

std::vector<HttpField> waitQuery(std::int64_t waitMs)
{
    return waitMs > 0 ? std::vector<HttpField>{{"waitMs", std::to_string(waitMs)}} : std::vector<HttpField>{};
}

void printJob(const boost::json::value &json)
{
    printObject(json);
    if (const auto *object = json.if_object(); object && object->contains("tasks")) {
        printTable(object->at("tasks"), taskColumns);
    }
}

/**
 * Returns the exit code of a command that has shown a job.
 * @param code Exit code of the response.
 * @param json The response.
 * @return `JobFailed` when the response shows a job that has ended without success, otherwise `code`.
 */
ExitCode jobExitCode(ExitCode code, const boost::json::value &json)
{
    const auto outcome = textAt(json, "outcome");
    const bool isPendingOrSucceeded = outcome == "none" || outcome == "succeeded";
    return code == ExitCode::Ok && !isPendingOrSucceeded ? ExitCode::JobFailed : code;
}

boost::json::object makeResources(const CtlOptions &options)
{
    boost::json::object resources;
    resources["cpuMilli"] = options.cpuMilli.value_or(0);
    resources["memoryMb"] = options.memoryMb.value_or(0);
    resources["accelerators"] = options.accelerators.value_or(0);
    return resources;
}

std::string makeSubmitBody(const CtlOptions &options)
{
    boost::json::object body;
    body["name"] = options.name;
    body["profile"] = options.profile;
    body["count"] = options.count.value_or(1);
    body["resources"] = makeResources(options);
    body["runEstimateMs"] = options.runEstimateMs;
    body["payload"] = options.payload;
    return boost::json::serialize(body);
}

/** Formats the state of a job. `watch` prints a line whenever this text changes. */
std::string describeState(const boost::json::value &json)
{
    return fmt::format("waiting {} placed {} ended {} failed {} outcome {}",
                       textAt(json, "waiting"),
                       textAt(json, "placed"),
                       textAt(json, "ended"),
                       textAt(json, "failed"),
                       textAt(json, "outcome"));
}

} // namespace

ExitCode submit(Session &session, const Arguments &)
{
    const auto &options = session.options();
    if (options.profile.empty()) {
        fmt::print(stderr, "flamingoctl: submit requires --profile\n");
        return ExitCode::Usage;
    }
    CtlRequest request{HttpMethod::Post, "/v1/jobs"};
    request.query = waitQuery(options.waitMs);
    request.body = makeSubmitBody(options);
    request.id = options.id.empty() ? session.makeId() : options.id;
    const auto response = session.call(request);
    if (response.code == ExitCode::OutcomeUnknown) {
        fmt::print(stderr, "flamingoctl: repeat the request with --id {}\n", request.id);
    }
    return jobExitCode(print(session, response, printJob), response.json);
}

ExitCode showStatus(Session &session, const Arguments &arguments)
{
    if (arguments.empty()) {
        return print(session, session.call({HttpMethod::Get, "/v1/status"}), printObject);
    }
    const auto query = waitQuery(session.options().waitMs);
    const auto response = session.call({HttpMethod::Get, jobPath(arguments[0]), query});
    return jobExitCode(print(session, response, printJob), response.json);
}

ExitCode showResult(Session &session, const Arguments &arguments)
{
    const std::vector<HttpField> query{{"task", std::to_string(session.options().task)}};
    const auto response = session.call({HttpMethod::Get, jobPath(arguments[0]) + "/result", query});
    if (response.code != ExitCode::Ok) {
        printError(session, response);
        return response.code;
    }
    std::fwrite(response.body.data(), 1, response.body.size(), stdout);
    return ExitCode::Ok;
}

ExitCode cancel(Session &session, const Arguments &arguments)
{
    return print(session, session.call({HttpMethod::Delete, jobPath(arguments[0])}), printJob);
}

ExitCode watch(Session &session, const Arguments &arguments)
{
    std::string lastState;
    const auto query = waitQuery(longPollWait.count());
    while (!session.isPastDeadline()) {
        const auto response = session.call({HttpMethod::Get, jobPath(arguments[0]), query});
        if (response.code != ExitCode::Ok) {
            printError(session, response);
            return response.code;
        }
        if (const auto state = describeState(response.json); state != lastState) {
            lastState = state;
            fmt::print("{}\n", state);
        }
        if (textAt(response.json, "outcome") != "none") {
            return jobExitCode(ExitCode::Ok, response.json);
        }
    }
    fmt::print(stderr, "flamingoctl: the job did not end within --timeout-ms\n");
    return ExitCode::Unavailable;
}

ExitCode explain(Session &session, const Arguments &arguments)
{
    const auto response = session.call({HttpMethod::Get, jobPath(arguments[0]) + "/explain"});
    return print(session, response, [](const boost::json::value &json) {
        for (const auto *path : {"outcome", "waiting", "placed", "team", "teamRunning", "teamLimit", "pauseMs"}) {
            fmt::print("{}: {}\n", path, textAt(json, path));
        }
        printTable(json.as_object().at("workers"), explainColumns);
    });
}

ExitCode listJobs(Session &session, const Arguments &)
{
    return printList(session, session.call({HttpMethod::Get, "/v1/jobs"}), "jobs", jobColumns);
}

} // namespace flamingotally
