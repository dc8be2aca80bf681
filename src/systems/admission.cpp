#include "command_func.h"
#include "core/digest.h"
#include "job_func.h"
#include "key_func.h"
#include "node_func.h"
#include "systems/scheduling.h"
#include "systems/systems.h"
#include "table/reason_table.h"

#include <fmt/format.h>

namespace flamingotally
{

namespace
{

constexpr Milliseconds minRetryAfter{200};
constexpr Milliseconds maxRetryAfter{2'000};

/** Reason of a refusal and the step of the request that refused it. */
struct Refusal {
    Reason reason = Reason::None;
    Step step = Step::Admit;
};

/** Queues a refusal for the caller. A retryable refusal carries a random retry delay, so that callers spread out. */
void refuse(Node &node, RequestHandle handle, const Refusal &refusal, const RequestId &request = {})
{
    CallerResponse response;
    response.handle = handle;
    response.reason = refusal.reason;
    response.step = refusal.step;
    response.request = request;
    if (rowOf(reasonTable, response.reason).retryable) {
        std::uniform_int_distribution<std::int64_t> spread(minRetryAfter.count(), maxRetryAfter.count());
        response.retryAfter = Milliseconds{spread(node.random)};
    }
    countRefusal(node, response.reason);
    node.outbox.responses.push_back(std::move(response));
}

/** Adds a waiter, to which responseSystem() sends the response. */
void addWaiter(Node &node, const Waiter &waiter)
{
    node.waiterByHandle[waiter.handle] = node.waiters.insert(waiter);
}

/** Returns the record context that a command would have if it were appended now. */
RecordContext currentContext(const Node &node, const TickTime &time)
{
    return {node.tables.position.nextOffset, estimateLogTime(node, time), selfRef(node)};
}

/** Returns the reason why this daemon accepts no requests at the moment, or Reason::None. */
Reason checkAvailability(const Node &node)
{
    if (node.phase == NodePhase::CatchingUp) {
        return Reason::CatchingUp;
    }
    if (node.phase == NodePhase::Drained) {
        return Reason::Draining;
    }
    return node.waiters.size() >= node.settings.maxRequestsInHand ? Reason::Overloaded : Reason::None;
}

/**
 * Builds the command for a submission. `bodyDigest` covers the profile and the team too, so that the same body from
 * another team has another digest.
 */
SubmitJob commandOf(const Node &node, const SubmitAction &action, const BearerRights &rights)
{
    SubmitJob command;
    command.request = action.request;
    command.key = rights.key;
    command.name = action.name;
    command.profile = findRef(node.tables.lookups.profiles, action.profile);
    command.perTask = action.perTask;
    command.count = action.count;
    command.runEstimate = action.runEstimate;
    command.payload = action.payload;
    command.bodyDigest = digestOfBytes(
        fmt::format("{}\n{}\n{}\n{}", action.bodyDigest, action.profile, rights.team.index, rights.team.generation));
    return command;
}

/**
 * Checks the profile, the rights of the key, the freshness of the view and the request id of a submission. Profiles
 * with open access require neither a key nor a fresh view.
 * @return Reason::None if the submission passes.
 */
Refusal checkSubmission(const Node &node, const SubmitJob &command, const BearerRights &rights)
{
    if (!node.tables.profiles.contains(command.profile)) {
        return {Reason::ProfileUnknown};
    }
    const auto &spec = node.tables.profiles.get<ProfileSpec>(command.profile);
    const bool isOpen = spec.access == QueueAccess::Open;
    if (!isOpen && rights.reason != Reason::None) {
        return {rights.reason, Step::Authenticate};
    }
    if (!isOpen && !rights.key.isSet()) {
        return {Reason::KeyLacksRole, Step::Authenticate};
    }
    if (!isOpen && !node.view.fresh) {
        return {Reason::ViewStale};
    }
    return {!spec.idempotent && !command.request.isSet() ? Reason::RequestIdMissing : Reason::None};
}

/** Handles a repeated submission: the caller waits for the job that already exists, as if it had just been accepted. */
void waitForKnownJob(Node &node, RequestHandle handle, const SubmitAction &action, const TickTime &time)
{
    Waiter waiter;
    waiter.handle = handle;
    waiter.request = action.request;
    waiter.until = time.now;
    waiter.waitForEnd = action.waitForEnd;
    waiter.accepted = true;
    waiter.result.reason = Reason::RequestRepeated;
    addWaiter(node, waiter);
}

/** Adds placements to the command for a new job if this daemon can place tasks of that job now. */
void addFirstPlacements(Node &node, SubmitJob &command, const TickTime &time)
{
    TeamRef team;
    const auto &spec = node.tables.profiles.get<ProfileSpec>(command.profile);
    if (resolveSubmissionTeam(node.tables, spec, command.key, team) == Reason::None) {
        command.placements = planNewJob(node, command, team, time);
    }
}

void admit(Node &node, const CallerRequest &request, const SubmitAction &action, const TickTime &time)
{
    const auto rights = rightsOf(node.tables, node.settings, request.key);
    auto command = commandOf(node, action, rights);
    if (const auto refusal = checkSubmission(node, command, rights); refusal.reason != Reason::None) {
        refuse(node, request.handle, refusal, action.request);
        return;
    }
    if (!command.request.isSet()) {
        command.request = makeRequestId(time.wall, node.random(), node.random());
    }
    const auto tested = applyCommand(node.tables, currentContext(node, time), command, Phase::Test);
    if (tested.reason == Reason::RequestRepeated) {
        waitForKnownJob(node, request.handle, action, time);
        return;
    }
    if (tested.reason != Reason::None) {
        refuse(node, request.handle, {tested.reason}, command.request);
        return;
    }
    addFirstPlacements(node, command, time);
    const auto urgency = node.tables.profiles.get<ProfileSpec>(command.profile).urgency;
    Waiter waiter;
    waiter.handle = request.handle;
    waiter.request = command.request;
    waiter.until = time.now + node.settings.requestTimeout;
    waiter.waitForEnd = action.waitForEnd;
    waiter.proposal = propose(node, std::move(command), time, urgency != Urgency::Background, request.handle);
    addWaiter(node, waiter);
}

void admit(Node &node, const CallerRequest &request, const WaitAction &action, const TickTime &time)
{
    Waiter waiter;
    waiter.handle = request.handle;
    waiter.request = action.request;
    waiter.until = time.now;
    waiter.waitForEnd = action.waitForEnd;
    waiter.accepted = true;
    addWaiter(node, waiter);
}

void admit(Node &node, const CallerRequest &request, const CancelAction &action, const TickTime &time)
{
    const auto rights = rightsOf(node.tables, node.settings, request.key);
    const auto known = findRef(node.tables.lookups.requests, action.request);
    const auto job = known.isSet() ? node.tables.requests.get<RequestRecord>(known).job : JobRef{};
    const bool isOpen =
        node.tables.jobs.contains(job) && node.tables.jobs.get<JobSpec>(job).profileSpec.access == QueueAccess::Open;
    if (!isOpen && rights.reason != Reason::None) {
        refuse(node, request.handle, {rights.reason, Step::Authenticate}, action.request);
        return;
    }
    const CancelJob command{action.request, isOpen ? KeyRef{} : rights.key};
    const auto tested = applyCommand(node.tables, currentContext(node, time), command, Phase::Test);
    if (tested.reason != Reason::None) {
        refuse(node, request.handle, {tested.reason}, action.request);
        return;
    }
    Waiter waiter;
    waiter.handle = request.handle;
    waiter.request = action.request;
    waiter.until = time.now + node.settings.requestTimeout;
    waiter.proposal = propose(node, command, time, true, request.handle);
    addWaiter(node, waiter);
}

/** Returns the label of the operator's key as the author of a change; "bootstrap" for the key from the settings. */
std::string labelOf(const Node &node, const BearerRights &rights)
{
    return rights.key.isSet() ? node.tables.keys.get<KeyGrant>(rights.key).label : std::string("bootstrap");
}

/**
 * Sets the fields of a change that the operator leaves out: the author and, for a change of a failure domain without an
 * expected version, the current version of the domain.
 */
void fillInChange(const Node &node, const BearerRights &rights, Command &command)
{
    std::visit(
        [&](auto &it) {
            if constexpr (requires { it.author; }) {
                it.author = {rights.key, labelOf(node, rights)};
            }
        },
        command);
    if (auto *change = std::get_if<SetDomain>(&command); change != nullptr && change->expectedVersion == 0) {
        const auto domain = findRef(node.tables.lookups.domains, change->name);
        change->expectedVersion = domain.isSet() ? node.tables.domains.get<DomainState>(domain).version : 0;
    }
}

void admit(Node &node, const CallerRequest &request, const ConfigAction &action, const TickTime &time)
{
    const auto rights = rightsOf(node.tables, node.settings, request.key);
    if (!rights.isOperator()) {
        const auto reason = rights.reason != Reason::None ? rights.reason : Reason::KeyLacksRole;
        refuse(node, request.handle, {reason, Step::Authenticate});
        return;
    }
    if (!node.view.fresh) {
        refuse(node, request.handle, {Reason::ViewStale});
        return;
    }
    auto command = action.command;
    fillInChange(node, rights, command);
    const auto tested = applyCommand(node.tables, currentContext(node, time), command, Phase::Test);
    if (tested.reason != Reason::None) {
        refuse(node, request.handle, {tested.reason});
        return;
    }
    Waiter waiter;
    waiter.handle = request.handle;
    waiter.until = time.now + node.settings.requestTimeout;
    waiter.proposal = propose(node, std::move(command), time, true, request.handle);
    addWaiter(node, waiter);
}

} // namespace

void admissionSystem(Node &node, const TickTime &time)
{
    for (const auto &request : node.inbox.callerRequests) {
        if (const auto reason = checkAvailability(node); reason != Reason::None) {
            refuse(node, request.handle, {reason});
            continue;
        }
        std::visit([&](const auto &action) { admit(node, request, action, time); }, request.action);
    }
}

} // namespace flamingotally
