#include "node_func.h"
#include "systems/systems.h"

#include "core/digest.h"
#include "table/reason_table.h"

namespace flamingotally
{

namespace
{

constexpr Milliseconds defaultRetryAfter{1'000};

/** Sends the response to a waiter and removes the waiter. */
void respond(Node &node, WaiterRef ref, Reason reason, Step step)
{
    const auto waiter = node.waiters.get<Waiter>(ref);
    CallerResponse it;
    it.handle = waiter.handle;
    it.reason = reason;
    it.step = step;
    it.request = waiter.request;
    it.result = waiter.result;
    if (rowOf(reasonTable, reason).retryable) {
        it.retryAfter = defaultRetryAfter;
    }
    if (reason != Reason::None && reason != Reason::RequestRepeated) {
        countRefusal(node, reason);
    } else {
        ++node.counters.accepted;
    }
    node.outbox.responses.push_back(std::move(it));
    node.waiterByHandle.erase(waiter.handle);
    node.waiters.erase(ref);
}

/** Returns true if the job of a request has ended or no longer exists. */
bool hasEnded(const Node &node, const RequestId &request)
{
    const auto known = findRef(node.tables.lookups.requests, request);
    if (!known.isSet()) {
        return true;
    }
    const auto job = node.tables.requests.get<RequestRecord>(known).job;
    return !node.tables.jobs.contains(job) || node.tables.jobs.get<JobState>(job).outcome != Outcome::None;
}

/**
 * Responds to a waiter whose result is known. If the caller waits for the job, responds when the job has ended or the
 * wait has timed out.
 */
void processAccepted(Node &node, WaiterRef ref, const TickTime &time)
{
    auto &waiter = node.waiters.get<Waiter>(ref);
    const auto reason = waiter.result.reason;
    if (reason != Reason::None && reason != Reason::RequestRepeated) {
        respond(node, ref, reason, Step::ApplyRecord);
        return;
    }
    if (waiter.waitForEnd > Milliseconds::zero()) {
        waiter.until = time.now + waiter.waitForEnd;
        waiter.waitForEnd = Milliseconds::zero();
    } else if (!waiter.isAwaitingEnd) {
        waiter.until = time.now;
    }
    waiter.isAwaitingEnd = true;
    if (!waiter.request.isSet() || hasEnded(node, waiter.request) || time.now >= waiter.until) {
        respond(node, ref, reason, Step::Answer);
    } else {
        wakeBy(node, waiter.until);
    }
}

/**
 * Processes a waiter whose proposal has not been read back. After the time-out, discards a proposal that is still
 * queued, which is then certainly without effect. Otherwise the outcome of the proposal is unknown.
 */
void processProposed(Node &node, WaiterRef ref, const TickTime &time)
{
    const auto &waiter = node.waiters.get<Waiter>(ref);
    if (time.now < waiter.until) {
        wakeBy(node, waiter.until);
        return;
    }
    const bool isQueued = node.proposals.contains(waiter.proposal)
        && node.proposals.get<Proposal>(waiter.proposal).phase == ProposalPhase::Queued;
    if (isQueued) {
        node.proposals.erase(waiter.proposal);
        respond(node, ref, Reason::LogUnavailable, Step::Append);
    } else {
        respond(node, ref, Reason::OutcomeUnknown, Step::Append);
    }
}

} // namespace

void responseSystem(Node &node, const TickTime &time)
{
    node.waiters.forEach([&](WaiterRef it) {
        if (node.waiters.get<Waiter>(it).accepted) {
            processAccepted(node, it, time);
        } else {
            processProposed(node, it, time);
        }
    });
}

} // namespace flamingotally
