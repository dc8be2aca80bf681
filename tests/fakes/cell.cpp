#include "fakes/cell.h"

#include "core/digest.h"

#include <fmt/format.h>

#include <utility>

namespace flamingotally::fakes
{

namespace
{

constexpr Milliseconds maxSlice{250}; ///< Longest time between two checks of the oracle.
constexpr Milliseconds startTime{5'000}; ///< Time for the daemons to start.
constexpr Milliseconds configTime{500}; ///< Time for changes of the configuration to be applied.
constexpr Milliseconds settleTime{35'000}; ///< Time for the cell to settle; longer than a daemon takes to drain.
constexpr Milliseconds endCheckInterval{5'000}; ///< Time between two checks whether all accepted jobs have ended.
constexpr int maxEndChecks = 60; ///< Number of these checks after which all accepted jobs must have ended.
constexpr Milliseconds retention{120'000}; ///< Retention of the log.

std::vector<ProfileRow> makeProfiles()
{
    using namespace std::chrono_literals;
    ProfileSpec batch;
    batch.maxRetries = 3;
    batch.lease = 5s;
    auto once = batch;
    once.idempotent = false;
    once.maxRetries = 0;
    auto request = once;
    request.kind = WorkKind::Request;
    request.urgency = Urgency::Urgent;
    request.maxWait = 4s;
    auto service = batch;
    service.kind = WorkKind::Service;
    auto gang = batch;
    gang.kind = WorkKind::Gang;
    auto open = batch;
    open.access = QueueAccess::Open;
    open.team = teamNames[0];
    auto kept = batch;
    kept.whenCutOff = CutOffRule::Keep;
    auto movable = batch;
    movable.checkpoint = true;
    movable.urgency = Urgency::Background;
    auto bounded = batch;
    bounded.maxRun = 2s;
    return {{"batch", batch},
            {"once", once},
            {"request", request},
            {"service", service},
            {"gang", gang},
            {"open", open},
            {"kept", kept},
            {"movable", movable},
            {"bounded", bounded}};
}

/** Returns the version of a team or a profile in the tables of a daemon; zero if the tables do not contain it. */
template<typename Row, typename Table, typename Map>
std::uint64_t versionOf(const Table &table, const Map &names, const std::string &name)
{
    const auto row = findRef(names, name);
    return row.isSet() ? table.template get<Row>(row).version : 0;
}

/** Returns the tables of a serving daemon; empty tables if none serves. */
const Tables &servingTables(const World &world)
{
    static const Tables none;
    const auto daemon = world.servingDaemon();
    return daemon == world.daemons.size() ? none : world.daemons[daemon].node->tables;
}

} // namespace

const std::vector<ProfileRow> &cellProfiles()
{
    static const std::vector<ProfileRow> rows = makeProfiles();
    return rows;
}

Cell::Cell(const WorldLayout &layout) : world(layout), oracle(world)
{
    setUp();
}

void Cell::setUp()
{
    world.log.faults.retention = retention;
    world.runFor(startTime);
    for (const auto *it : teamNames) {
        setLimit(0, it, ampleCores);
    }
    pass(configTime);
    std::uint8_t number = 0;
    for (const auto *it : teamNames) {
        grant(0, it, number++, it);
    }
    for (const auto &it : cellProfiles()) {
        publish(0, it);
    }
    pass(configTime);
}

void Cell::pass(Milliseconds time)
{
    while (time > Milliseconds{0}) {
        const auto slice = std::min(time, maxSlice);
        world.runFor(slice);
        oracle.check();
        time -= slice;
    }
}

std::size_t Cell::change(std::size_t daemon, Command command)
{
    return world.call(daemon % world.daemons.size(), operatorKey(), ConfigAction{std::move(command)});
}

std::size_t Cell::setLimit(std::size_t daemon, const std::string &team, std::int64_t cores)
{
    SetTeam set;
    set.name = team;
    set.policy.limit = {cores * 1'000, cores * 2'048, 8};
    set.policy.queueLimit = 100;
    const auto &tables = servingTables(world);
    set.expectedVersion = versionOf<TeamPolicy>(tables.teams, tables.lookups.teams, team);
    return change(daemon, set);
}

std::size_t Cell::publish(std::size_t daemon, const ProfileRow &profile)
{
    PublishProfile publish;
    publish.name = profile.name;
    publish.spec = profile.spec;
    const auto &tables = servingTables(world);
    publish.expectedVersion = versionOf<ProfileIdentity>(tables.profiles, tables.lookups.profiles, publish.name);
    return change(daemon, publish);
}

std::size_t Cell::grant(std::size_t daemon, const std::string &label, std::uint8_t number, const std::string &team)
{
    return change(daemon, GrantKey{{}, label, testKey(number), team, KeyRole::Submitter});
}

std::size_t Cell::setDomain(std::size_t daemon, std::size_t domain, DomainService service)
{
    SetDomain set;
    set.name = World::domainName(domain);
    set.service = service;
    return change(daemon, set);
}

std::size_t Cell::submit(std::size_t daemon, std::optional<KeyDigest> key, const SubmitAction &action)
{
    submissions.push_back(world.call(daemon % world.daemons.size(), key, action));
    return submissions.back();
}

SubmitAction Cell::makeSubmission(std::string_view profile, Task task)
{
    SubmitAction action;
    task.serial = ++m_serial;
    action.profile = profile;
    action.payload = payloadOf(task);
    action.bodyDigest = digestOfBytes(action.payload);
    return action;
}

/**
 * Cancels all jobs that run until they are stopped; all other jobs have to end by themselves. Jobs whose submitter
 * never got a response are cancelled too, since they count against the limit of their team.
 */
void Cell::cancelServices()
{
    const auto daemon = world.servingDaemon();
    if (daemon == world.daemons.size()) {
        return;
    }
    const auto &tables = world.daemons[daemon].node->tables;
    std::vector<RequestId> unbounded;
    tables.jobs.forEach([&](JobRef it) {
        const bool isUnbounded = taskOf(tables.jobs.get<JobSpec>(it).payload).runTime < Milliseconds{0};
        if (isUnbounded && tables.jobs.get<JobState>(it).outcome == Outcome::None) {
            unbounded.push_back(tables.jobs.get<JobIdentity>(it).request);
        }
    });
    for (const auto &it : unbounded) {
        world.call(daemon, operatorKey(), CancelAction{it});
    }
}

void Cell::finish()
{
    world.endFaults();
    pass(settleTime);
    world.endFaults(); // starts the daemons that were still draining at the first call
    pass(settleTime);
    oracle.settle();
    const auto daemon = world.servingDaemon();
    for (std::size_t n = 0; n < world.layout().domains; ++n) {
        setDomain(daemon, n, DomainService::In);
    }
    for (const auto *it : teamNames) {
        setLimit(daemon, it, ampleCores);
    }
    pass(settleTime);
    for (int n = 0; n < maxEndChecks && !allEnded(); ++n) {
        cancelServices();
        pass(endCheckInterval);
    }
    oracle.checkEnds();
}

bool Cell::allEnded() const
{
    const auto daemon = world.servingDaemon();
    const auto hasEnded = [&](const RequestId &it) {
        const auto view = world.showJob(daemon, it);
        return view && view->outcome != Outcome::None;
    };
    return daemon != world.daemons.size() && std::ranges::all_of(oracle.accepted(), hasEnded);
}

std::string Cell::verdict() const
{
    std::string text;
    for (const auto &it : oracle.violations()) {
        text += fmt::format("{:>8} {}: {}\n", it.at.count(), nameOf(it.invariant), it.what);
    }
    return text;
}

} // namespace flamingotally::fakes
