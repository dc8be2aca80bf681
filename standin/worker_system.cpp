#include "standin_systems.h"
#include "worker_func.h"

#include <algorithm>

namespace flamingotally::standin
{

namespace
{

/** Time and outcome of an attempt that no order ends. */
struct ExpectedEnd {
    MonotonicTime at{};
    Outcome outcome = Outcome::None;
};

constexpr Milliseconds failAfter{5}; ///< Run time of a task on a host with the fault failsAll.

ExpectedEnd expectedEndOf(const Standin &standin, const SimAttempt &attempt)
{
    const auto &faults = standin.hosts.get<HostFaults>(attempt.worker);
    const auto offset = standin.hosts.get<WorkerBoot>(attempt.worker).clockOffset;
    const ExpectedEnd leaseExpiry{MonotonicTime{attempt.leaseUntil.time_since_epoch() - offset}, Outcome::Lost};
    if (faults.paused) {
        return leaseExpiry;
    }
    ExpectedEnd end{attempt.endsAt, attempt.task.fail ? Outcome::Failed : Outcome::Succeeded};
    if (faults.failsAll) {
        end = {std::min(attempt.startedAt + failAfter, attempt.endsAt), Outcome::Failed};
    } else if (attempt.task.service) {
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

void acceptSyncs(Standin &standin, const StandinTime &time)
{
    for (auto &it : standin.inbox) {
        if (auto *request = std::get_if<SyncRequest>(&it.body)) {
            WorkerPoll poll;
            poll.handle = it.handle;
            poll.worker = standin.workers.at(request->worker);
            poll.until = time.now + request->sync.wait;
            poll.sync = std::move(request->sync);
            standin.polls.insert(std::move(poll));
        }
    }
}

/** Carries out the orders of a sync request, unless they are meant for another boot. */
void applyPoll(Standin &standin, WorkerPoll &poll, const StandinTime &time)
{
    const auto &boot = standin.hosts.get<WorkerBoot>(poll.worker);
    poll.bootId = boot.bootId;
    const auto &sync = poll.sync;
    poll.answerNow = sync.bootId != boot.bootId || !sync.starts.empty() || !sync.stops.empty();
    if (sync.bootId == boot.bootId) {
        applyOrders(standin, poll.worker, sync, time);
    }
}

/** Answers a sync request when there are updates, when it may not wait, or when its wait has ended. */
void servePoll(Standin &standin, Ref<PollTag> ref, const StandinTime &time)
{
    auto &poll = standin.polls.get<WorkerPoll>(ref);
    const auto &faults = standin.hosts.get<HostFaults>(poll.worker);
    if (faults.state == HostState::Gone) {
        standin.outbox.push_back({poll.handle, HangUp{}});
        standin.polls.erase(ref);
        return;
    }
    if (faults.paused) {
        return;
    }
    if (poll.bootId == 0) {
        applyPoll(standin, poll, time);
    }
    const auto &boot = standin.hosts.get<WorkerBoot>(poll.worker);
    const bool hasUpdates = boot.lastReport > poll.sync.seenReport || boot.bootId != poll.bootId;
    if (!poll.answerNow && !hasUpdates && poll.until > time.now) {
        wakeAt(standin, poll.until);
        return;
    }
    standin.outbox.push_back({poll.handle, makeReport(standin, poll.worker, time)});
    standin.polls.erase(ref);
}

} // namespace

void workerSystem(Standin &standin, const StandinTime &time)
{
    endDueAttempts(standin, time);
    acceptSyncs(standin, time);
    standin.polls.forEach([&](Ref<PollTag> ref) { servePoll(standin, ref, time); });
    endDueAttempts(standin, time);
}

} // namespace flamingotally::standin
