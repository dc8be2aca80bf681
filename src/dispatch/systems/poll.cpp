#include "dispatch/entry_func.h"
#include "dispatch/lease_renewal.h"
#include "dispatch/policy/order_pacing.h"
#include "dispatch/region_link.h"
#include "dispatch/systems/systems.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Pause before the next poll of a worker that runs nothing and whose run ends have all been acknowledged. */
constexpr Milliseconds idlePollPause{1'500};
/**
 * Pause before the next poll of a worker while reported run ends are not stored yet. Until they are acknowledged, the
 * worker responds to every poll immediately, so polls without a pause would follow each other without end.
 */
constexpr Milliseconds pendingEndsPollPause{300};
/** Pause before the next poll of a worker whose only runs are stray, as their stop orders may have been lost. */
constexpr Milliseconds strayRunPollPause{300};
constexpr Milliseconds pollMargin{300}; ///< Time for a poll's response over an idle link, beyond the worker's wait.
constexpr int congestedWaitFactor = 3; ///< Factor of the wait of polls over a congested link, so that there are fewer.

/** Returns how long a worker may wait for the end of a run before it answers a poll. */
Milliseconds pollWait(const Entry &entry, WorkerRef worker, const TickTime &time)
{
    const auto wait = entry.settings.pollWait;
    return wasCongested(linkOf(entry.workers, worker).pacing, time.now) ? wait * congestedWaitFactor : wait;
}

/**
 * Adds a poll to the outbox. The poll renews the lease if ownership is certain, the worker has runs, and it responds or
 * this host's own link is in doubt.
 */
void sendPoll(Entry &entry, WorkerRef worker, const TickTime &time)
{
    const auto &identity = entry.workers.table.get<WorkerIdentity>(worker);
    const auto &load = entry.workers.table.get<WorkerLoad>(worker);
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    link.inFlight = true;
    PollOrder order;
    order.worker = worker;
    order.id = identity.id;
    order.address = identity.address;
    order.token = entry.ownership.token;
    const bool isTrusted = link.missedPolls == 0 || mayStillReport(entry, worker, time);
    const bool isRenewal = link.hasResponded && !load.runs.empty() && isTrusted && isCertainOwner(entry, time);
    order.leaseUntil = isRenewal ? leaseForNextOrder(entry, worker, time) : WorkerTime{};
    // an incarnation that has shown no run ends yet would drop those that it has under the acknowledged numbers
    order.connection = link.connection;
    order.acknowledged = link.connection != 0 ? link.lastEndStored : 0;
    link.lastEndAcknowledged = order.acknowledged;
    const bool mayWait = link.hasResponded && link.missedPolls == 0 && !load.runs.empty();
    order.wait = mayWait ? pollWait(entry, worker, time) : Milliseconds{0};
    order.timeout = order.wait + orderTimeout(linkOf(entry.workers, worker).pacing, pollMargin);
    entry.outbox.polls.push_back(std::move(order));
}

/** Removes the pending run ends whose batches have been stored, so that the next poll acknowledges them. */
void updateStoredEnds(Entry &entry, WorkerLink &link)
{
    const auto stored = entry.writer(JournalWriter::Owner).batchesStored;
    while (!link.pendingEnds.empty() && link.pendingEnds.front().batch != 0
           && link.pendingEnds.front().batch <= stored) {
        link.lastEndStored = link.pendingEnds.front().number;
        link.pendingEnds.pop_front();
    }
}

/** Returns when the next poll of a worker is due. */
MonotonicTime pollDueAt(const Entry &entry, WorkerRef worker)
{
    const auto &link = entry.workers.table.get<WorkerLink>(worker);
    if (!link.hasResponded || link.missedPolls > 0) {
        return link.pollAt;
    }
    if (!link.pendingEnds.empty()) {
        return link.lastResponseAt + pendingEndsPollPause;
    }
    const auto &load = entry.workers.table.get<WorkerLoad>(worker);
    if (load.runs.empty() && link.hasStrayRuns) {
        return link.lastResponseAt + strayRunPollPause;
    }
    const bool isIdle = load.runs.empty() && link.lastEndApplied == link.lastEndAcknowledged;
    return isIdle ? std::max(link.pollAt, link.lastResponseAt + idlePollPause) : link.pollAt;
}

} // namespace

void pollSystem(Entry &entry, const TickTime &time)
{
    if (!entry.isOwner()) {
        return;
    }
    entry.workers.table.forEach([&](WorkerRef worker) {
        auto &link = entry.workers.table.get<WorkerLink>(worker);
        updateStoredEnds(entry, link);
        if (link.inFlight || entry.workers.table.get<WorkerIdentity>(worker).address.empty()) {
            return;
        }
        const auto dueAt = pollDueAt(entry, worker);
        if (time.now < dueAt) {
            entry.wakeBy(dueAt);
            return;
        }
        sendPoll(entry, worker, time);
    });
}

} // namespace flamingotally::dispatch
