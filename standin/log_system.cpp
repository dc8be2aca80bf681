#include "standin_systems.h"

#include <algorithm>

namespace flamingotally::standin
{

namespace
{

constexpr std::size_t maxRecordBytes = 1024 * 1024;
constexpr std::uint64_t microsecondsPerSecond = 1'000'000;

/** Returns the offset of the oldest retained record. */
std::uint64_t firstRetained(const LogStore &log)
{
    return log.head - log.records.size();
}

/** Leaves a request without a response. Its connection is closed after StandinSettings::closeAfter. */
void leaveUnanswered(Standin &standin, Handle handle, const StandinTime &time)
{
    standin.unanswered.insert({handle, time.now + standin.settings.closeAfter});
}

/** While the log is down, refuses a request or leaves it unanswered, and returns true. Otherwise returns false. */
bool handleOutage(Standin &standin, Handle handle, const StandinTime &time)
{
    switch (standin.faults.logOutage) {
    case LogOutage::Refusing:
        standin.outbox.push_back({handle, Refusal{503, "The log is down."}});
        return true;
    case LogOutage::Silent:
        leaveUnanswered(standin, handle, time);
        return true;
    default:
        return false;
    }
}

/** Validates an append and sets the time at which it is stored, which the rate limit may delay. */
void acceptAppend(Standin &standin, Handle handle, AppendRequest &request, const StandinTime &time)
{
    if (handleOutage(standin, handle, time)) {
        return;
    }
    if (request.bytes.empty() || request.bytes.size() > maxRecordBytes) {
        standin.outbox.push_back({handle, Refusal{413, "The record is empty or too large."}});
        return;
    }
    auto &slot = standin.lastAppendSlot;
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(time.now.time_since_epoch());
    slot = std::max(slot + std::chrono::microseconds{microsecondsPerSecond / standin.settings.appendsPerSecond}, now);
    const MonotonicTime start{std::chrono::ceil<Milliseconds>(slot)};
    standin.appends.insert({handle, std::move(request.bytes), start + standin.faults.appendLatency});
}

/** Stores an append and answers it, unless its response has to be lost. */
void store(Standin &standin, PendingAppend &append, const StandinTime &time)
{
    auto &log = standin.log;
    log.records.push_back({log.head, LogTime{time.wall.time_since_epoch()}, std::move(append.bytes)});
    const auto offset = log.head++;
    if (standin.faults.loseAppendAnswers > 0) {
        --standin.faults.loseAppendAnswers;
        standin.outbox.push_back({append.handle, NoResponse{}});
        return;
    }
    standin.outbox.push_back({append.handle, AppendStored{offset}});
}

/** Stores the appends that are due, in the order in which they arrived. */
void storeDueAppends(Standin &standin, const StandinTime &time)
{
    std::vector<Ref<AppendTag>> due;
    standin.appends.forEach([&](Ref<AppendTag> ref) {
        const auto dueAt = standin.appends.get<PendingAppend>(ref).dueAt;
        if (dueAt <= time.now) {
            due.push_back(ref);
        } else {
            wakeAt(standin, dueAt);
        }
    });
    std::ranges::sort(due, {}, [&](Ref<AppendTag> ref) { return standin.appends.get<PendingAppend>(ref).handle; });
    for (const auto ref : due) {
        store(standin, standin.appends.get<PendingAppend>(ref), time);
        standin.appends.erase(ref);
    }
}

/** Drops records that exceed the maximum age or the maximum number. */
void dropOldRecords(Standin &standin, const StandinTime &time)
{
    auto &records = standin.log.records;
    const LogTime oldest{time.wall.time_since_epoch() - standin.settings.retention};
    while (!records.empty() && (records.size() > standin.settings.maxRecords || records.front().appendedAt < oldest)) {
        records.pop_front();
    }
}

/** Returns the records from an offset on, up to the size that the read allows. */
LogPage makePage(const LogStore &log, const ReadRequest &read)
{
    LogPage page{log.head, firstRetained(log), {}};
    std::size_t bytes = 0;
    for (auto n = read.from; n >= page.firstRetained && n < log.head && bytes < read.maxBytes; ++n) {
        const auto &record = log.records[n - page.firstRetained];
        page.records.push_back(record);
        bytes += record.bytes.size();
    }
    return page;
}

void acceptRead(Standin &standin, Handle handle, const ReadRequest &read, const StandinTime &time)
{
    if (!handleOutage(standin, handle, time)) {
        standin.reads.insert({handle, read, time.now + standin.faults.readLatency, time.now + read.wait});
    }
}

/** Answers each read for which there are records or whose wait has ended, after the read latency. */
void answerReads(Standin &standin, const StandinTime &time)
{
    standin.reads.forEach([&](Ref<ReadTag> ref) {
        const auto &row = standin.reads.get<PendingRead>(ref);
        const bool hasRecords = row.read.from != standin.log.head;
        const auto answerAt = std::max(row.notBefore, hasRecords ? time.now : row.until);
        if (answerAt > time.now) {
            wakeAt(standin, answerAt);
            return;
        }
        standin.outbox.push_back({row.handle, makePage(standin.log, row.read)});
        standin.reads.erase(ref);
    });
}

/** During a log outage, refuses the waiting reads or leaves them unanswered. */
void abortReads(Standin &standin, const StandinTime &time)
{
    if (standin.faults.logOutage == LogOutage::None) {
        return;
    }
    standin.reads.forEach([&](Ref<ReadTag> ref) {
        handleOutage(standin, standin.reads.get<PendingRead>(ref).handle, time);
        standin.reads.erase(ref);
    });
}

/** Closes the connections of unanswered requests whose time has come. */
void closeUnanswered(Standin &standin, const StandinTime &time)
{
    standin.unanswered.forEach([&](Ref<UnansweredTag> ref) {
        const auto row = standin.unanswered.get<UnansweredRequest>(ref);
        if (row.until > time.now) {
            wakeAt(standin, row.until);
            return;
        }
        standin.outbox.push_back({row.handle, NoResponse{}});
        standin.unanswered.erase(ref);
    });
}

} // namespace

void logSystem(Standin &standin, const StandinTime &time)
{
    for (auto &it : standin.inbox) {
        if (auto *append = std::get_if<AppendRequest>(&it.body)) {
            acceptAppend(standin, it.handle, *append, time);
        } else if (const auto *read = std::get_if<ReadRequest>(&it.body)) {
            acceptRead(standin, it.handle, *read, time);
        }
    }
    storeDueAppends(standin, time);
    dropOldRecords(standin, time);
    abortReads(standin, time);
    answerReads(standin, time);
    closeUnanswered(standin, time);
}

} // namespace flamingotally::standin
