#include "dispatch/entry_func.h"
#include "dispatch/host_limits.h"
#include "dispatch/policy/admission_policy.h"
#include "dispatch/policy/journal_source.h"
#include "dispatch/systems/call_response.h"
#include "dispatch/systems/systems.h"

#include <algorithm>
#include <charconv>

namespace flamingotally::dispatch
{

namespace
{

constexpr std::size_t idDigits = 16; ///< Hexadecimal digits of a job id in a path.
constexpr std::uint32_t maxTasksPerJob = 20'000;
constexpr std::uint32_t maxOccurrences = 100'000;
/**
 * A query that has waited this long for a fresh view of the journal is answered from the current one, even if stale.
 */
constexpr Milliseconds queryWaitLimit{100};

/** Finds the queue that a call addresses: on the call's host, the longest matching path prefix; null for none. */
const QueueSpec *findQueue(const Configuration &configuration, const CallerCall &call)
{
    const QueueSpec *best = nullptr;
    for (const auto &queue : configuration.queues) {
        const bool isMatch = queue.host == call.host && call.path.starts_with(queue.pathPrefix);
        if (isMatch && (!best || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

/** Parses a job id of exactly 16 hexadecimal digits. */
std::optional<JobId> parseJobId(std::string_view text)
{
    JobId id = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    const bool isValidId = text.size() == idDigits && ec == std::errc{} && end == text.data() + text.size();
    return isValidId ? std::optional(id) : std::nullopt;
}

/** Returns true if a step has tasks, no negative demand, and waits only for earlier steps. */
bool isValidStep(const JobSpec &spec, std::size_t n)
{
    const auto &step = spec.steps[n];
    const bool isOrdered = std::ranges::all_of(step.after, [n](std::uint32_t it) { return it < n; });
    return step.count >= 1 && step.perTask.isNonNegative() && isOrdered;
}

bool isValid(const JobSpec &spec)
{
    std::uint64_t tasks = 0;
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        if (!isValidStep(spec, n)) {
            return false;
        }
        tasks += spec.steps[n].count;
    }
    return !spec.steps.empty() && tasks <= maxTasksPerJob && spec.occurrences() <= maxOccurrences;
}

/** Decision about a call in the current tick. */
enum class CallDecision : std::uint8_t {
    Answered,
    Waits, ///< The call needs a fresher view; it is decided again in the next tick.
    Writes, ///< A record for the call was queued; the call is answered once the record is stored.
};

/** Decides calls by this daemon's views of the configuration and the journal. */
class CallHandler
{
public:
    CallHandler(Entry &entry, const TickTime &time) : m_entry(entry), m_time(time)
    {
    }

    /** Answers a call, queues its record, or leaves it waiting for a fresher view. */
    CallDecision decide(Call &call)
    {
        const auto &config = m_entry.config;
        if (!config.loaded || m_time.now - config.asOf > m_entry.settings.configFreshness) {
            return CallDecision::Waits;
        }
        const auto *queue = findQueue(config.current, call.call);
        if (!queue) {
            return respond(call, CallResult::UnknownQueue, "no queue matches host and path");
        }
        call.queue = queue->name;
        const auto team = teamOf(call.call);
        if (!queue->open && !team) {
            return respond(call, CallResult::UnknownKey, "key missing or unknown");
        }
        const auto rest = std::string_view(call.call.path).substr(queue->pathPrefix.size());
        if (call.call.verb == CallVerb::Count || (call.call.verb == CallVerb::Query && rest.empty())) {
            return count(call, *queue);
        }
        const auto id = parseJobId(rest);
        if (!id) {
            return respond(call, CallResult::UnknownJob, "malformed job id");
        }
        call.job = *id;
        return decideOnJob(call, *queue, team.value_or(""));
    }

private:
    /** Returns the name of the team whose key the call carries; unset for a missing or unknown key. */
    std::optional<std::string> teamOf(const CallerCall &call) const
    {
        const auto &config = m_entry.config;
        const auto it = call.key ? config.teamByKey.find(*call.key) : config.teamByKey.end();
        return it == config.teamByKey.end() ? std::nullopt : std::optional(config.current.teams[it->second].name);
    }

    /** Answers with the number of jobs of a queue that have neither begun nor ended. */
    CallDecision count(const Call &call, const QueueSpec &queue)
    {
        std::uint64_t jobsWaiting = 0;
        m_entry.jobs.table.forEach([&](JobRef it) {
            const auto &state = m_entry.jobs.table.get<JobState>(it);
            const bool isWaiting = !state.begun && !hasEnded(state);
            jobsWaiting += isWaiting && m_entry.jobs.table.get<JobIdentity>(it).queue == queue.name ? 1 : 0;
        });
        m_entry.outbox.responses.push_back({call.call.handle,
                                            CallVerb::Count,
                                            CallResult::Done,
                                            0,
                                            JobPhase::Queued,
                                            jobsWaiting,
                                            Milliseconds{0},
                                            ""});
        return CallDecision::Answered;
    }

    /** Decides a call about one job; `call.job` is set. */
    CallDecision decideOnJob(Call &call, const QueueSpec &queue, const std::string &team)
    {
        const auto it = m_entry.jobs.byId.find(call.job);
        const bool isKnown = it != m_entry.jobs.byId.end();
        if (call.call.verb == CallVerb::Submit) {
            return isKnown ? respond(call, CallResult::Done, "known") : submit(call, queue, team);
        }
        const bool isLoading = m_entry.phase == EntryPhase::CatchingUp && !m_entry.journal.loaded;
        if ((!isKnown && m_entry.journal.asOf < call.call.receivedAt)
            || (isLoading && call.call.verb == CallVerb::Query)) {
            return CallDecision::Waits;
        }
        if (call.call.verb == CallVerb::Cancel
            && (!isKnown || !hasEnded(m_entry.jobs.table.get<JobState>(it->second)))) {
            // also for an unknown job, whose acceptance may be stored later than its cancellation
            queueRecord(m_entry, JournalWriter::Entry, CancelledRecord{call.job}, call.call.handle);
            return CallDecision::Writes;
        }
        if (!isKnown) {
            return respond(call, CallResult::UnknownJob, "no such job");
        }
        auto &state = m_entry.jobs.table.get<JobState>(it->second);
        if (call.call.verb == CallVerb::Query && !hasEnded(state) && !isCurrentFor(call.call)) {
            requestCurrentView(call.call);
            m_entry.wakeBy(call.call.receivedAt + queryWaitLimit);
            return CallDecision::Waits;
        }
        if (call.call.verb == CallVerb::Query && hasEnded(state) && !std::exchange(state.reported, true)) {
            logEvent(m_entry,
                     EventKind::JobReported,
                     call.job,
                     "queue={} known_for_ms={} waited_ms={}",
                     call.queue,
                     (m_time.now - state.endedAt).count(),
                     (m_time.now - call.call.receivedAt).count());
        }
        m_entry.outbox.responses.push_back(
            {call.call.handle, call.call.verb, CallResult::Done, call.job, phaseOf(state), 0, Milliseconds{0}, ""});
        return CallDecision::Answered;
    }

    /**
     * Returns true if a query need not wait for a newer view of the journal: the view is at least as new as the call,
     * the store fails, or the call has waited for queryWaitLimit. A read of the store in flight that waits for new
     * records counts as well: as it has not returned, there are none. One that waits at the region's reader does not,
     * as the reader may pause; but the reader tells whether it knows of any.
     */
    bool isCurrentFor(const CallerCall &call) const
    {
        const auto &view = m_entry.journal;
        return view.asOf >= call.receivedAt || view.region.currentAt >= call.receivedAt
            || isStoreWaiting(m_entry, call.receivedAt, m_time) || view.failures > 0
            || m_time.now - call.receivedAt >= queryWaitLimit;
    }

    /**
     * Requests a read of the journal as of a call, unless the read in flight will show that nothing newer is stored.
     * Wakes this daemon when the read can be sent, or when that is shown; a response wakes it anyway.
     */
    void requestCurrentView(const CallerCall &call)
    {
        auto &view = m_entry.journal;
        const bool isWaiting = view.readInFlight && view.readWait > Milliseconds::zero();
        const bool isAtStore = view.region.sent.source == JournalSource::Store;
        if (const auto shownAt = storeWaitShownAt(view, call.receivedAt);
            isWaiting && isAtStore && shownAt > m_time.now) {
            m_entry.wakeBy(shownAt);
            return;
        }
        view.readRequested = true;
        if (!view.readInFlight || (isWaiting && !isAtStore)) {
            m_entry.wakeBy(m_time.now);
        }
    }

    /** Answers a call with any result but NotRun. */
    CallDecision respond(const Call &call, CallResult result, std::string_view cause)
    {
        respondToCall(m_entry, call, result, cause, m_time);
        return CallDecision::Answered;
    }

    /**
     * Refuses a job that cannot end in time because of the work that goes first. Not if a record of the job may be
     * stored: the job would run all the same.
     * @return False if the job is accepted.
     */
    bool refuseForLoad(const Call &call, const QueueSpec &queue, const std::string &team)
    {
        if (m_entry.admission.unread.contains(call.job)) {
            return false;
        }
        const auto it =
            judgeLoad(*call.call.spec, queue.policy, team, m_entry.admission.load, m_entry.config, m_time.now);
        if (!it) {
            return false;
        }
        refuseCall(m_entry,
                   call,
                   RefusalReason::Load,
                   "the job cannot end in time because of the work that goes first",
                   it->retryAfter,
                   m_time,
                   fmt::format("queue={} team={} pool={} priority={} wait_ms={} estimate_age_ms={} work_ahead={} "
                               "drain_milli={} critical_path_ms={} objective_ms={}",
                               queue.name,
                               team,
                               queue.policy.pool,
                               queue.policy.priority,
                               it->wait.count(),
                               it->age.count(),
                               it->workAhead,
                               it->drainMilli,
                               it->criticalPath.count(),
                               it->objective.count()));
        return true;
    }

    /**
     * Refuses a job that daemons have no memory to keep, on the same condition.
     * @return False if the job is accepted.
     */
    bool refuseForMemory(const Call &call, const AcceptedRecord &record)
    {
        const auto limit = hostLimits(m_entry.settings).jobBytes;
        const auto held = m_entry.jobs.bytes;
        if (m_entry.admission.unread.contains(call.job) || held + keptBytesOf(record) <= limit) {
            return false;
        }
        refuseCall(m_entry,
                   call,
                   RefusalReason::Memory,
                   "the accepted jobs take all memory for jobs",
                   maxRetryDelay,
                   m_time,
                   fmt::format("queue={} held_bytes={} limit_bytes={}", record.queue, held, limit));
        return true;
    }

    /** Queues the record that accepts a job, if its specification is valid and it can be kept and end in time. */
    CallDecision submit(Call &call, const QueueSpec &queue, const std::string &team)
    {
        if (!call.call.spec || !isValid(*call.call.spec)) {
            return respond(call, CallResult::Malformed, "malformed job specification");
        }
        if (refuseForLoad(call, queue, team)) {
            return CallDecision::Answered;
        }
        AcceptedRecord record;
        record.job = call.job;
        record.team = team;
        record.queue = queue.name;
        record.policy = queue.policy;
        record.spec = std::move(*call.call.spec);
        record.acceptedAt = wallAt(m_entry, m_time.now);
        if (refuseForMemory(call, record)) {
            return CallDecision::Answered;
        }
        queueRecord(m_entry, JournalWriter::Entry, std::move(record), call.call.handle);
        ++m_entry.admission.unread[call.job];
        return CallDecision::Writes;
    }

    Entry &m_entry;
    const TickTime &m_time;
};

} // namespace

void admissionSystem(Entry &entry, const TickTime &time)
{
    CallHandler handler(entry, time);
    for (auto &it : entry.inbox.calls) {
        const auto last = std::string_view(it.path).substr(it.path.rfind('/') + 1);
        const auto id = parseJobId(last).value_or(0); // so that a refusal logs the job, too
        Call call{std::move(it), CallPhase::Waiting, id, {}};
        const auto decision = handler.decide(call);
        if (decision != CallDecision::Answered) {
            call.phase = decision == CallDecision::Writes ? CallPhase::Writing : CallPhase::Waiting;
            entry.calls.insert(std::move(call));
        }
    }
    entry.calls.forEach([&](CallRef ref) {
        auto &call = entry.calls.get<Call>(ref);
        if (call.phase == CallPhase::Waiting) {
            const auto decision = handler.decide(call);
            if (decision == CallDecision::Answered) {
                entry.calls.erase(ref);
                return;
            }
            call.phase = decision == CallDecision::Writes ? CallPhase::Writing : CallPhase::Waiting;
        }
        const auto at = giveUpAt(entry, call);
        if (time.now < at) {
            entry.wakeBy(at);
        } else if (giveUp(entry, call, time)) {
            entry.calls.erase(ref);
        }
    });
}

} // namespace flamingotally::dispatch
