#include "standin_systems.h"
#include "worker_func.h"

#include <algorithm>

namespace flamingotally::standin
{

namespace
{

/** Time and outcome with which an attempt ends unless an order ends it earlier. */
struct ExpectedEnd {
    MonotonicTime at{};
    Outcome outcome = Outcome::None;
};

constexpr Milliseconds failAfter{5}; ///< Maximum run time of a task on a host with the fault failsAll.

ExpectedEnd expectedEndOf(const Standin &standin, const SimAttempt &attempt)
{
    const auto &faults = standin.hosts.get<HostFaults>(attempt.worker);
    const auto offset = standin.hosts.get<SimWorker>(attempt.worker).clockOffset;
    const ExpectedEnd leaseExpiry{MonotonicTime{attempt.leaseUntil.time_since_epoch() - offset}, Outcome::Lost};
    if (faults.isPaused) {
        return leaseExpiry;
    }
    ExpectedEnd end{attempt.endsAt, attempt.task.shouldFail ? Outcome::Failed : Outcome::Succeeded};
    if (faults.failsAll) {
        end = {std::min(attempt.startedAt + failAfter, attempt.endsAt), Outcome::Failed};
    } else if (attempt.task.isService) {
        return leaseExpiry;
    }
    return leaseExpiry.at <= end.at ? leaseExpiry : end;
}

/** Ends attempts that have finished or whose lease has expired. */
void endDueAttempts(Standin &standin, const StandinTime &time)
{
    standin.attempts.forEach([&](SimAttemptRef ref) {
        const auto [at, outcome] = expectedEndOf(standin, standin.attempts.get<SimAttempt>(ref));
        if (at <= time.now) {
            endAttempt(standin, ref, outcome, time);
        } else {
            wakeAt(standin, at);
        }
    });
}

/** Adds the sync requests of the inbox to those that are pending. */
void acceptSyncs(Standin &standin, const StandinTime &time)
{
    for (auto &it : standin.inbox) {
        if (auto *request = std::get_if<SyncRequest>(&it.body)) {
            PendingSync pending;
            pending.handle = it.handle;
            pending.worker = standin.workers.at(request->worker);
            pending.until = time.now + request->sync.wait;
            pending.sync = std::move(request->sync);
            standin.syncs.insert(std::move(pending));
        }
    }
}

/**
 * Handles a sync request once. Stores the current boot id of the worker in the pending request. Carries out the orders
 * unless the request names another boot. The response does not wait for updates (`isImmediate`) when the request
 * names another boot or contains starts or stops.
 */
void applySync(Standin &standin, PendingSync &pending, const StandinTime &time)
{
    const auto &state = standin.hosts.get<SimWorker>(pending.worker);
    pending.bootId = state.bootId;
    const auto &sync = pending.sync;
    pending.isImmediate = sync.bootId != state.bootId || !sync.starts.empty() || !sync.stops.empty();
    if (sync.bootId == state.bootId) {
        applyOrders(standin, pending.worker, sync, time);
    }
}

/**
 * Responds to a sync request when there are updates, when the response must not wait for them, or when the wait has
 * ended. While a host is paused, its requests stay pending without a response. When a host is gone, `NoResponse` makes
 * the server close the connection.
 */
void serveSync(Standin &standin, Ref<SyncTag> ref, const StandinTime &time)
{
    auto &pending = standin.syncs.get<PendingSync>(ref);
    const auto &faults = standin.hosts.get<HostFaults>(pending.worker);
    if (faults.state == HostState::Gone) {
        standin.outbox.push_back({pending.handle, NoResponse{}});
        standin.syncs.erase(ref);
        return;
    }
    if (faults.isPaused) {
        return;
    }
    if (pending.bootId == 0) { // The orders of the request have not been applied yet.
        applySync(standin, pending, time);
    }
    const auto &state = standin.hosts.get<SimWorker>(pending.worker);
    // The worker has updates if it has reports that the caller has not seen, or rebooted after it applied the request.
    const bool hasUpdates = state.lastReport > pending.sync.seenReport || state.bootId != pending.bootId;
    if (!pending.isImmediate && !hasUpdates && pending.until > time.now) {
        wakeAt(standin, pending.until);
        return;
    }
    standin.outbox.push_back({pending.handle, makeReport(standin, pending.worker, time)});
    standin.syncs.erase(ref);
}

} // namespace

void workerSystem(Standin &standin, const StandinTime &time)
{
    // Attempts that are due end first, so that the responses report them and orders no longer affect them.
    endDueAttempts(standin, time);
    acceptSyncs(standin, time);
    standin.syncs.forEach([&](Ref<SyncTag> ref) { serveSync(standin, ref, time); });
    // Orders may have started attempts or renewed leases: end the attempts that are due, schedule wake-ups for others.
    endDueAttempts(standin, time);
}

} // namespace flamingotally::standin
