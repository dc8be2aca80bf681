#include "dispatch/entry_func.h"
#include "dispatch/policy/order_pacing.h"
#include "dispatch/policy/pool_share.h"
#include "dispatch/region_link.h"
#include "dispatch/systems/response_pause.h"
#include "dispatch/systems/systems.h"
#include "dispatch/table/dispatch_table.h"
#include "dispatch/ticket_func.h"
#include "dispatch/work_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Pause before an order is sent again that did not leave this host, or a stop order that was rejected. */
constexpr Milliseconds neverSentPause{150};
/** Start orders of one run; without a response to the last one, the run is given up. */
constexpr std::uint32_t maxStartsSent = 6;
constexpr RunNumber runNumberSkip = 16; ///< Run numbers skipped when a worker rejects a run of a task as superseded.
constexpr Milliseconds fullPause{300}; ///< How long a worker that rejected a run for lack of capacity gets no tasks.

/** Stops a run whose start may have arrived; discards any other. */
void abandonStart(Entry &entry, RunRef run, const TickTime &time)
{
    const auto &state = entry.work.runs.get<RunState>(run);
    if (state.mayHaveArrived) {
        stopRun(entry, run, time);
    } else {
        discardRun(entry, run, time);
    }
}

/** Handles a rejected start order. It was not executed, but an earlier order for the same run may have been. */
void rejectStart(Entry &entry, RunRef run, OrderResult result, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    auto &health = entry.workers.table.get<WorkerHealth>(identity.worker);
    const auto group = entry.work.tasks.get<TaskIdentity>(identity.task).group;
    auto &task = entry.work.tasks.get<TaskState>(identity.task);
    ++entry.counters.rejectedStarts[static_cast<std::size_t>(result)];
    logEvent(entry,
             EventKind::StartRejected,
             nameOf(entry, identity.task).job,
             "run={} worker={} result={}",
             identity.number,
             entry.workers.table.get<WorkerIdentity>(identity.worker).id,
             flamingotally::nameOf(orderResultTable, result));
    if (result == OrderResult::Superseded) {
        task.lastRun += runNumberSkip;
    } else if (result == OrderResult::NoCapacity) {
        if (time.now < health.avoidUntil || mayKeepFromTasks(entry, identity.worker, time)) {
            health.avoidUntil = std::max(health.avoidUntil, time.now + fullPause);
        } else {
            task.readyAt = time.now + fullPause; // many workers refuse starts already; the rest is left to other tasks
        }
    } else if (result == OrderResult::NoTicket) {
        forgetTicket(entry.work.groups.get<GroupAdvice>(group), identity.worker);
    } else if (result == OrderResult::Unhealthy) {
        health.avoidUntil = std::max(health.avoidUntil, time.now + unhealthyPause);
    } else if (result == OrderResult::Malformed) {
        task.readyAt = time.now + unhealthyPause;
    }
    abandonStart(entry, run, time);
}

void handleStartResponse(Entry &entry, const OrderResponse &response, const TickTime &time)
{
    auto &state = entry.work.runs.get<RunState>(response.run);
    state.inFlight = false;
    const bool isOrdered = state.phase == RunPhase::Ordered;
    switch (response.result) {
    case OrderResult::Accepted:
        if (isOrdered) {
            state.phase = RunPhase::Running;
            state.confirmedAt = response.receivedAt;
            state.progressAt = response.receivedAt;
            recordStart(entry, response.run);
            ++entry.counters.starts;
            entry.counters.observe(LatencyKind::Start, response.receivedAt - response.sentAt);
        }
        break;
    case OrderResult::WorkerReplaced:
        endAllRuns(
            entry, entry.work.runs.get<RunIdentity>(response.run).worker, "address taken by another worker", time);
        break;
    case OrderResult::NoResponse:
        state.mayHaveArrived = true;
        ++entry.counters.unansweredOrders;
        [[fallthrough]];
    case OrderResult::NeverSent:
        state.sendAt = time.now + (response.result == OrderResult::NoResponse ? resendPause : neverSentPause);
        if (isOrdered && state.startsSent >= maxStartsSent) {
            abandonStart(entry, response.run, time);
        }
        break;
    default:
        if (isOrdered) {
            rejectStart(entry, response.run, response.result, time);
        }
        break;
    }
}

void handleStopResponse(Entry &entry, const OrderResponse &response, const TickTime &time)
{
    auto &state = entry.work.runs.get<RunState>(response.run);
    state.inFlight = false;
    if (response.result == OrderResult::Accepted) {
        state.stopAccepted = true;
        state.confirmedAt = response.receivedAt;
        auto &link = entry.workers.table.get<WorkerLink>(entry.work.runs.get<RunIdentity>(response.run).worker);
        link.pollAt = std::min(link.pollAt, time.now);
    } else if (response.result == OrderResult::WorkerReplaced) {
        endAllRuns(
            entry, entry.work.runs.get<RunIdentity>(response.run).worker, "address taken by another worker", time);
    } else {
        state.sendAt = time.now + (response.result == OrderResult::NoResponse ? resendPause : neverSentPause);
    }
}

void handleOrderResponse(Entry &entry, const OrderResponse &response, const TickTime &time)
{
    if (response.token != entry.ownership.token) {
        return;
    }
    if (response.result == OrderResult::Fenced) {
        resign(entry, "worker has seen a higher fencing token");
        return;
    }
    if (!entry.work.runs.contains(response.run)) {
        return;
    }
    const auto worker = entry.work.runs.get<RunIdentity>(response.run).worker;
    if (entry.workers.table.get<WorkerLink>(worker).missedPolls == 0) {
        recordResponse(linkOf(entry.workers, worker).pacing, response.receivedAt - response.sentAt, time.now);
    }
    if (response.kind == OrderKind::Start) {
        handleStartResponse(entry, response, time);
    } else {
        handleStopResponse(entry, response, time);
    }
}

} // namespace

void orderResponseSystem(Entry &entry, const TickTime &time)
{
    for (const auto &it : entry.inbox.orderResponses) {
        if (entry.isOwner()) {
            handleOrderResponse(entry, it, time);
        }
    }
}

} // namespace flamingotally::dispatch
