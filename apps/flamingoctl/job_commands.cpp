#include "commands.h"
#include "output.h"

#include <fmt/format.h>

#include <array>

namespace flamingotally
{

namespace
{

constexpr Milliseconds watchWait{1'000};

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

/** Exit code of a command that has shown a job: not the answer's when the job has failed. */
ExitCode codeOfJob(ExitCode code, const boost::json::value &json)
{
    const auto outcome = textAt(json, "outcome");
    const bool isGood = outcome == "none" || outcome == "succeeded";
    return code == ExitCode::Ok && !isGood ? ExitCode::JobFailed : code;
}

boost::json::object resourcesOf(const CtlOptions &options)
{
    boost::json::object resources;
    resources["cpuMilli"] = options.cpuMilli.value_or(0);
    resources["memoryMb"] = options.memoryMb.value_or(0);
    resources["accelerators"] = options.accelerators.value_or(0);
    return resources;
}

std::string bodyOf(const CtlOptions &options)
{
    boost::json::object body;
    body["name"] = options.name;
    body["profile"] = options.profile;
    body["count"] = options.count.value_or(1);
    body["resources"] = resourcesOf(options);
    body["runEstimateMs"] = options.runEstimateMs;
    body["payload"] = options.payload;
    return boost::json::serialize(body);
}

/** Text by which two states of a job are told apart. */
std::string stateOf(const boost::json::value &json)
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
        fmt::print(stderr, "flamingoctl: submit needs --profile\n");
        return ExitCode::Usage;
    }
    CtlCall call{HttpMethod::Post, "/v1/jobs"};
    call.query = waitQuery(options.waitMs);
    call.body = bodyOf(options);
    call.id = options.id.empty() ? session.makeId() : options.id;
    const auto answer = session.call(call);
    if (answer.code == ExitCode::OutcomeUnknown) {
        fmt::print(stderr, "flamingoctl: ask again with --id {}\n", call.id);
    }
    return codeOfJob(print(session, answer, printJob), answer.json);
}

ExitCode showStatus(Session &session, const Arguments &arguments)
{
    if (arguments.empty()) {
        return print(session, session.call({HttpMethod::Get, "/v1/status"}), printObject);
    }
    const auto query = waitQuery(session.options().waitMs);
    const auto answer = session.call({HttpMethod::Get, jobPath(arguments[0]), query});
    return codeOfJob(print(session, answer, printJob), answer.json);
}

ExitCode showResult(Session &session, const Arguments &arguments)
{
    const std::vector<HttpField> query{{"task", std::to_string(session.options().task)}};
    const auto answer = session.call({HttpMethod::Get, jobPath(arguments[0]) + "/result", query});
    if (answer.code != ExitCode::Ok) {
        printError(session, answer);
        return answer.code;
    }
    std::fwrite(answer.body.data(), 1, answer.body.size(), stdout);
    return ExitCode::Ok;
}

ExitCode cancel(Session &session, const Arguments &arguments)
{
    return print(session, session.call({HttpMethod::Delete, jobPath(arguments[0])}), printJob);
}

ExitCode watch(Session &session, const Arguments &arguments)
{
    std::string told;
    const auto query = waitQuery(watchWait.count());
    while (!session.isOverdue()) {
        const auto answer = session.call({HttpMethod::Get, jobPath(arguments[0]), query});
        if (answer.code != ExitCode::Ok) {
            printError(session, answer);
            return answer.code;
        }
        if (const auto state = stateOf(answer.json); state != told) {
            told = state;
            fmt::print("{}\n", state);
        }
        if (textAt(answer.json, "outcome") != "none") {
            return codeOfJob(ExitCode::Ok, answer.json);
        }
    }
    fmt::print(stderr, "flamingoctl: the job has not ended within --timeout-ms\n");
    return ExitCode::Unavailable;
}

ExitCode explain(Session &session, const Arguments &arguments)
{
    const auto answer = session.call({HttpMethod::Get, jobPath(arguments[0]) + "/explain"});
    return print(session, answer, [](const boost::json::value &json) {
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
