#include "dispatch/entry_func.h"
#include "dispatch/systems/systems.h"

#include <algorithm>
#include <charconv>

namespace flamingotally::dispatch
{

namespace
{

constexpr std::size_t idDigits = 16;
constexpr Milliseconds retrySoon{500}; ///< Told to callers whose call was not run.
constexpr std::uint32_t maxTasksPerJob = 20'000;
constexpr std::uint32_t maxOccurrences = 100'000;
constexpr Milliseconds queryPatience{100}; ///< Then a state is told as it is known.

/** Queue of a request: that with the longest prefix of its path on its host. */
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

std::optional<JobId> parseJobId(std::string_view text)
{
    JobId id = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    const bool isWhole = text.size() == idDigits && ec == std::errc{} && end == text.data() + text.size();
    return isWhole ? std::optional(id) : std::nullopt;
}

bool isSoundStep(const JobSpec &spec, std::size_t n)
{
    const auto &step = spec.steps[n];
    const bool isOrdered = std::ranges::all_of(step.after, [n](std::uint32_t it) { return it < n; });
    return step.count >= 1 && step.perTask.isNonNegative() && isOrdered;
}

bool isSound(const JobSpec &spec)
{
    std::uint64_t tasks = 0;
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        if (!isSoundStep(spec, n)) {
            return false;
        }
        tasks += spec.steps[n].count;
    }
    return !spec.steps.empty() && tasks <= maxTasksPerJob && spec.occurrences() <= maxOccurrences;
}

/** What became of looking at a call. */
enum class Verdict : std::uint8_t {
    Answered,
    Waits,
    Writes, ///< Its record was queued.
};

/** Answers calls by this daemon's view. */
class Judge
{
public:
    Judge(Entry &entry, const TickTime &time) : m_entry(entry), m_time(time)
    {
    }

    Verdict judge(Call &call)
    {
        const auto &config = m_entry.config;
        if (!config.known || m_time.now - config.asOf > m_entry.settings.configFreshness) {
            return Verdict::Waits;
        }
        const auto *queue = findQueue(config.current, call.call);
        if (!queue) {
            return answer(call, CallResult::UnknownQueue, "no queue");
        }
        call.queue = queue->name;
        const auto team = teamOf(call.call);
        if (!queue->open && !team) {
            return answer(call, CallResult::UnknownKey, "no key");
        }
        const auto rest = std::string_view(call.call.path).substr(queue->pathPrefix.size());
        if (call.call.verb == CallVerb::Count || (call.call.verb == CallVerb::Query && rest.empty())) {
            return count(call, *queue);
        }
        const auto id = parseJobId(rest);
        if (!id) {
            return answer(call, CallResult::UnknownJob, "malformed id");
        }
        call.job = *id;
        return onJob(call, *queue, team.value_or(""));
    }

    Verdict answer(const Call &call, CallResult result, std::string_view cause)
    {
        CallerResponse it{
            call.call.handle, call.call.verb, result, call.job, JobPhase::Queued, 0, Milliseconds{0}, cause};
        const bool isRefusal = result == CallResult::NotRun;
        if (isRefusal) {
            it.retryAfter = retrySoon;
            ++m_entry.counters.refusals;
        }
        if (result == CallResult::Undecided) {
            ++m_entry.counters.undecided;
        }
        if (result != CallResult::Done) {
            logEvent(m_entry,
                     result == CallResult::Undecided ? EventKind::CallUndecided : EventKind::CallRefused,
                     call.job,
                     "cause=\"{}\" config={} config_age_ms={} journal_age_ms={} waited_ms={}",
                     cause,
                     m_entry.config.current.version,
                     (m_time.now - m_entry.config.asOf).count(),
                     (m_time.now - m_entry.journal.asOf).count(),
                     (m_time.now - call.call.receivedAt).count());
        }
        m_entry.outbox.answers.push_back(it);
        return Verdict::Answered;
    }

private:
    std::optional<std::string> teamOf(const CallerCall &call) const
    {
        const auto &config = m_entry.config;
        const auto it = call.key ? config.teamByKey.find(*call.key) : config.teamByKey.end();
        return it == config.teamByKey.end() ? std::nullopt : std::optional(config.current.teams[it->second].name);
    }

    Verdict count(const Call &call, const QueueSpec &queue)
    {
        std::uint64_t waiting = 0;
        m_entry.jobs.table.forEach([&](JobRef it) {
            const auto &state = m_entry.jobs.table.get<JobState>(it);
            const bool isWaiting = !state.begun && !hasEnded(state);
            waiting += isWaiting && m_entry.jobs.table.get<JobIdentity>(it).queue == queue.name ? 1 : 0;
        });
        m_entry.outbox.answers.push_back(
            {call.call.handle, CallVerb::Count, CallResult::Done, 0, JobPhase::Queued, waiting, Milliseconds{0}, ""});
        return Verdict::Answered;
    }

    Verdict onJob(Call &call, const QueueSpec &queue, const std::string &team)
    {
        const auto it = m_entry.jobs.byId.find(call.job);
        const bool isKnown = it != m_entry.jobs.byId.end();
        if (call.call.verb == CallVerb::Submit) {
            return isKnown ? answer(call, CallResult::Done, "known") : submit(call, queue, team);
        }
        if (!isKnown) {
            const bool isFresh = m_entry.journal.asOf >= call.call.receivedAt;
            return isFresh ? answer(call, CallResult::UnknownJob, "no such job") : Verdict::Waits;
        }
        const auto &state = m_entry.jobs.table.get<JobState>(it->second);
        if (call.call.verb == CallVerb::Cancel && !hasEnded(state)) {
            write(m_entry, JournalWriter::Entry, CancelledRecord{call.job}, call.call.handle);
            return Verdict::Writes;
        }
        if (call.call.verb == CallVerb::Query && !hasEnded(state) && !isCurrentFor(call.call)) {
            m_entry.journal.wanted = true;
            m_entry.wakeBy(m_time.now);
            m_entry.wakeBy(call.call.receivedAt + queryPatience);
            return Verdict::Waits;
        }
        m_entry.outbox.answers.push_back(
            {call.call.handle, call.call.verb, CallResult::Done, call.job, phaseOf(state), 0, Milliseconds{0}, ""});
        return Verdict::Answered;
    }

    /**
     * Tells whether a state is told as it was when the caller asked, or as near to that as can be had: a read that
     * waits for news shows by its silence that there is none.
     */
    bool isCurrentFor(const CallerCall &call) const
    {
        const auto &view = m_entry.journal;
        const bool waitsForNews = view.reading && view.waits > Milliseconds::zero();
        return view.asOf >= call.receivedAt || waitsForNews || view.failures > 0
            || m_time.now - call.receivedAt >= queryPatience;
    }

    Verdict submit(Call &call, const QueueSpec &queue, const std::string &team)
    {
        if (!call.call.spec || !isSound(*call.call.spec)) {
            return answer(call, CallResult::Malformed, "malformed job");
        }
        AcceptedRecord record;
        record.job = call.job;
        record.team = team;
        record.queue = queue.name;
        record.policy = queue.policy;
        record.spec = std::move(*call.call.spec);
        record.acceptedAt = wallAt(m_entry, m_time.now);
        write(m_entry, JournalWriter::Entry, std::move(record), call.call.handle);
        return Verdict::Writes;
    }

    Entry &m_entry;
    const TickTime &m_time;
};

/**
 * Takes the record of a call back that was certainly never stored.
 * @return False when it may be stored now or later.
 */
bool withdraw(Entry &entry, CallHandle handle)
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

/** Tells whether the store takes nothing from this daemon at present. */
bool isStoreClosed(const Entry &entry)
{
    return entry.journal.failures > 0 || entry.writers[static_cast<std::size_t>(JournalWriter::Entry)].wasRefused;
}

/** How long a call may wait: not long while the store takes nothing, so that its caller can try elsewhere in time. */
Milliseconds patienceFor(const Entry &entry, const Call &call)
{
    constexpr int partWhenClosed = 25; ///< Percent of the time that the caller has.
    constexpr int partWhenOpen = 45;
    const auto &settings = entry.settings;
    const auto time = Milliseconds(call.call.answerBy - call.call.receivedAt);
    return isStoreClosed(entry) ? std::min(settings.admissionPatience, time * partWhenClosed / 100)
                                : std::min(settings.answerPatience, time * partWhenOpen / 100);
}

MonotonicTime giveUpAt(const Entry &entry, const Call &call)
{
    return std::min(call.call.answerBy, call.call.receivedAt + patienceFor(entry, call));
}

/**
 * Gives a call up.
 * @return False when its record may be stored, so that it can still be waited for.
 */
bool giveUp(Entry &entry, Judge &judge, const Call &call, const TickTime &time)
{
    if (call.phase == CallPhase::Waiting) {
        judge.answer(call, CallResult::NotRun, "the view is not fresh");
        return true;
    }
    if (withdraw(entry, call.call.handle)) {
        judge.answer(call, CallResult::NotRun, "the store takes no records");
        return true;
    }
    const auto patience = std::max(2 * patienceFor(entry, call), entry.settings.admissionPatience);
    const auto undecidedAt = std::min(call.call.answerBy, call.call.receivedAt + patience);
    if (time.now < undecidedAt) {
        entry.wakeBy(undecidedAt);
        return false;
    }
    judge.answer(call, CallResult::Undecided, "the store has not answered");
    return true;
}

} // namespace

void admissionSystem(Entry &entry, const TickTime &time)
{
    Judge judge(entry, time);
    for (auto &it : entry.inbox.calls) {
        const auto last = std::string_view(it.path).substr(it.path.rfind('/') + 1);
        const auto id = parseJobId(last).value_or(0); // for the log, whatever becomes of the call
        Call call{std::move(it), CallPhase::Waiting, id, {}};
        const auto verdict = judge.judge(call);
        if (verdict != Verdict::Answered) {
            call.phase = verdict == Verdict::Writes ? CallPhase::Writing : CallPhase::Waiting;
            entry.calls.insert(std::move(call));
        }
    }
    entry.calls.forEach([&](CallRef ref) {
        auto &call = entry.calls.get<Call>(ref);
        if (call.phase == CallPhase::Waiting) {
            const auto verdict = judge.judge(call);
            if (verdict == Verdict::Answered) {
                entry.calls.erase(ref);
                return;
            }
            call.phase = verdict == Verdict::Writes ? CallPhase::Writing : CallPhase::Waiting;
        }
        const auto at = giveUpAt(entry, call);
        if (time.now < at) {
            entry.wakeBy(at);
        } else if (giveUp(entry, judge, call, time)) {
            entry.calls.erase(ref);
        }
    });
}

} // namespace flamingotally::dispatch
