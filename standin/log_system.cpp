#include "standin_systems.h"

#include <algorithm>

namespace flamingotally::standin
{

namespace
{

constexpr std::size_t maxRecordBytes = 1024 * 1024;
constexpr std::uint64_t microsecondsPerSecond = 1'000'000;

std::uint64_t firstRetained(const LogStore &log)
{
    return log.head - log.records.size();
}

/** Leaves a request without a response; its connection is closed after hangUpAfter. */
void leaveUnanswered(Standin &standin, Handle handle, const StandinTime &time)
{
    standin.unanswered.insert({handle, time.now + standin.settings.hangUpAfter});
}

/** Refuses a request or leaves it unanswered while the log is down. Returns false when the log is up. */
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

/** Validates an append and schedules it. The rate limit may delay it. */
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

void store(Standin &standin, PendingAppend &append, const StandinTime &time)
{
    auto &log = standin.log;
    log.records.push_back({log.head, LogTime{time.wall.time_since_epoch()}, std::move(append.bytes)});
    const auto offset = log.head++;
    if (standin.faults.loseAppendAnswers > 0) {
        --standin.faults.loseAppendAnswers;
        standin.outbox.push_back({append.handle, HangUp{}});
        return;
    }
    standin.outbox.push_back({append.handle, AppendStored{offset}});
}

/** Stores appends that are due, in the order of their arrival. */
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

void dropOldRecords(Standin &standin, const StandinTime &time)
{
    auto &records = standin.log.records;
    const LogTime oldest{time.wall.time_since_epoch() - standin.settings.retention};
    while (!records.empty() && (records.size() > standin.settings.maxRecords || records.front().appendedAt < oldest)) {
        records.pop_front();
    }
}

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

/** Answers reads that have records to return or whose wait has ended. */
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

/** Applies a log outage to the reads that are waiting. */
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

void closeUnanswered(Standin &standin, const StandinTime &time)
{
    standin.unanswered.forEach([&](Ref<UnansweredTag> ref) {
        const auto row = standin.unanswered.get<UnansweredRequest>(ref);
        if (row.until > time.now) {
            wakeAt(standin, row.until);
            return;
        }
        standin.outbox.push_back({row.handle, HangUp{}});
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
