#include "dispatch/systems/call_response.h"

#include "dispatch/entry_func.h"
#include "dispatch/policy/admission_policy.h"
#include "dispatch/table/dispatch_table.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Logs a call that was not answered as done, with the ages of the views by which it was decided. */
void logCall(Entry &entry,
             const Call &call,
             EventKind kind,
             std::string_view cause,
             const std::string &inputs,
             const TickTime &time)
{
    logEvent(entry,
             kind,
             call.job,
             "cause=\"{}\" config={} config_age_ms={} journal_age_ms={} waited_ms={}{}{}",
             cause,
             entry.config.current.version,
             (time.now - entry.config.asOf).count(),
             (time.now - entry.journal.asOf).count(),
             (time.now - call.call.receivedAt).count(),
             inputs.empty() ? "" : " ",
             inputs);
}

/** Returns the number of records of a call's job that this daemon has queued and that are or may become stored. */
std::uint32_t unreadRecordsOf(const Entry &entry, const Call &call)
{
    const auto it = entry.admission.unread.find(call.job);
    return it == entry.admission.unread.end() ? 0 : it->second;
}

/**
 * Withdraws the queued record of a call.
 * @return False when nothing was withdrawn, as the record may have been stored already or may be stored later.
 */
bool withdrawRecord(Entry &entry, CallHandle handle)
{
    auto &writer = entry.writer(JournalWriter::Entry);
    const auto removed = std::erase_if(writer.queue, [handle](const QueuedRecord &it) { return it.handle == handle; });
    if (removed > 0) {
        return true;
    }
    if (writer.inFlight || writer.mayBeStored || !writer.batch) {
        return false;
    }
    for (std::size_t n = 0; n < writer.handles.size(); ++n) {
        if (writer.handles[n] == handle) {
            const auto place = static_cast<std::ptrdiff_t>(n);
            writer.handles.erase(writer.handles.begin() + place);
            writer.batch->records.erase(writer.batch->records.begin() + place);
            if (writer.batch->records.empty()) {
                writer.batch.reset();
            }
            return true;
        }
    }
    return false;
}

/** Returns true if the store failed this daemon's last read or refused its last append of the entry writer. */
bool isStoreRefusing(const Entry &entry)
{
    return entry.journal.failures > 0 || entry.writers[static_cast<std::size_t>(JournalWriter::Entry)].wasRefused;
}

/**
 * Returns how long a call may wait: shorter while the store refuses records, so that the caller can retry elsewhere.
 */
Milliseconds waitLimitOf(const Entry &entry, const Call &call)
{
    constexpr int percentWhenRefusing = 25; ///< Percentage of the time from the call's arrival to its deadline.
    constexpr int percentOtherwise = 45; ///< The same, while the store does not refuse.
    const auto &settings = entry.settings;
    const auto time = Milliseconds(call.call.deadline - call.call.receivedAt);
    return isStoreRefusing(entry) ? std::min(settings.refusingStoreTimeout, time * percentWhenRefusing / 100)
                                  : std::min(settings.unresponsiveStoreTimeout, time * percentOtherwise / 100);
}

/** Withdraws the queued record of a submission, if no other record of its job is or may become stored. */
bool withdrawSubmission(Entry &entry, const Call &call)
{
    const bool mayRun = entry.jobs.byId.contains(call.job) || unreadRecordsOf(entry, call) > 1;
    if (mayRun || !withdrawRecord(entry, call.call.handle)) {
        return false;
    }
    entry.admission.unread.erase(call.job);
    return true;
}

/** Returns true if the job of a submission may run because of another submission that reached this daemon. */
bool mayRunAnyway(const Entry &entry, const Call &call)
{
    return call.call.verb == CallVerb::Submit
        && (entry.jobs.byId.contains(call.job) || unreadRecordsOf(entry, call) > 0);
}

} // namespace

void respondToCall(Entry &entry, const Call &call, CallResult result, std::string_view cause, const TickTime &time)
{
    if (result == CallResult::Undecided) {
        ++entry.counters.undecided;
    }
    if (result != CallResult::Done) {
        const bool isUndecided = result == CallResult::Undecided;
        logCall(entry, call, isUndecided ? EventKind::CallUndecided : EventKind::CallRefused, cause, {}, time);
    }
    entry.outbox.responses.push_back(
        {call.call.handle, call.call.verb, result, call.job, JobPhase::Queued, 0, Milliseconds{0}, cause});
}

void refuseCall(Entry &entry,
                const Call &call,
                RefusalReason reason,
                std::string_view cause,
                Milliseconds meanDelay,
                const TickTime &time,
                const std::string &inputs)
{
    // callers send no attempt number, and later refusals of the same job have a higher count
    const auto delay = spreadDelay(meanDelay, call.job, entry.counters.notRunCalls);
    ++entry.counters.notRunCalls;
    ++entry.counters.refusals[static_cast<std::size_t>(reason)];
    logCall(entry,
            call,
            EventKind::CallRefused,
            cause,
            fmt::format("reason={} retry_after_ms={}{}{}",
                        nameOf(refusalReasonTable, reason),
                        delay.count(),
                        inputs.empty() ? "" : " ",
                        inputs),
            time);
    entry.outbox.responses.push_back(
        {call.call.handle, call.call.verb, CallResult::NotRun, call.job, JobPhase::Queued, 0, delay, cause});
}

MonotonicTime giveUpAt(const Entry &entry, const Call &call)
{
    return std::min(call.call.deadline, call.call.receivedAt + waitLimitOf(entry, call));
}

bool giveUp(Entry &entry, const Call &call, const TickTime &time)
{
    if (call.phase == CallPhase::Waiting && !mayRunAnyway(entry, call)) {
        constexpr std::string_view cause("view of configuration or journal is stale");
        refuseCall(entry, call, RefusalReason::StaleView, cause, shortRetryDelay, time);
        return true;
    }
    const bool isSubmission = call.phase == CallPhase::Writing && call.call.verb == CallVerb::Submit;
    if (isSubmission && withdrawSubmission(entry, call)) {
        constexpr std::string_view cause("store did not accept the record in time");
        refuseCall(entry, call, RefusalReason::Store, cause, shortRetryDelay, time);
        return true;
    }
    const auto limit = std::max(2 * waitLimitOf(entry, call), entry.settings.refusingStoreTimeout);
    const auto undecidedAt = std::min(call.call.deadline, call.call.receivedAt + limit);
    if (time.now < undecidedAt) {
        entry.wakeBy(undecidedAt);
        return false;
    }
    respondToCall(entry, call, CallResult::Undecided, "store did not respond in time", time);
    return true;
}

} // namespace flamingotally::dispatch
