#include "fakes/fake_worker.h"

#include "core/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace flamingotally::fakes
{

namespace
{
constexpr std::size_t maxInlineBytes = 4'096; ///< Results that are longer stay on the worker.
constexpr Milliseconds usageLag{2'000}; ///< Run time from which the usage of an attempt is reported.
} // namespace

std::string payloadOf(const Task &task)
{
    return fmt::format("{} {} {} {}", task.serial, task.runTime.count(), task.fails ? 1 : 0, task.resultBytes);
}

Task taskOf(const std::string &payload)
{
    Task task;
    std::int64_t runTime = 0;
    std::istringstream(payload) >> task.serial >> runTime >> task.fails >> task.resultBytes;
    task.runTime = Milliseconds{runTime};
    return task;
}

std::string expectedResultOf(const std::string &payload, std::uint32_t ordinal)
{
    std::string content = fmt::format("{}/{}:", payload, ordinal);
    content.resize(std::max(content.size(), taskOf(payload).resultBytes), '.');
    return content;
}

FakeWorker::FakeWorker(EventQueue &queue, Journal &journal, std::size_t index, HostRow row, Resources total)
    : m_queue(queue), m_journal(journal), m_index(index), m_row(std::move(row)), m_total(total),
      m_bootId(1'000 * (index + 1))
{
}

WorkerTime FakeWorker::clock() const
{
    return WorkerTime{m_queue.now() + clockOffset};
}

void FakeWorker::sync(const WorkerSync &sync, Reply reply)
{
    if (!m_up) {
        return;
    }
    if (m_paused) {
        m_pendingSyncs.emplace_back(sync, std::move(reply));
        return;
    }
    expireLeases();
    const bool isCurrentBoot = sync.bootId == m_bootId;
    if (isCurrentBoot) {
        processOrders(sync);
    }
    const bool hasOrders = !sync.starts.empty() || !sync.stops.empty();
    if (!isCurrentBoot || hasOrders || m_lastReport > sync.seenReport || sync.wait == Milliseconds{0}) {
        reply(makeReport());
        return;
    }
    const auto number = m_nextPoll++;
    m_polls.push_back({number, std::move(reply)});
    m_queue.after(sync.wait, [this, number] {
        const auto found = std::ranges::find(m_polls, number, &Poll::number);
        if (found != m_polls.end() && !m_paused) {
            const auto expired = *found;
            m_polls.erase(found);
            expired.reply(makeReport());
        }
    });
}

void FakeWorker::processOrders(const WorkerSync &sync)
{
    while (!m_ends.empty() && m_ends.front().report <= sync.ackedReport) {
        m_ends.pop_front();
    }
    for (const auto &it : sync.renewals) {
        if (const auto found = m_active.find(it.attempt); found != m_active.end()) {
            found->second.leaseUntil = std::max(found->second.leaseUntil, it.leaseUntil);
            scheduleCheck(it.attempt);
        }
    }
    for (const auto &it : sync.stops) {
        if (m_active.contains(it.attempt)) {
            if (!it.onlyBeforeStart) {
                end(it.attempt, it.checkpoint ? Outcome::Checkpointed : Outcome::Cancelled);
            }
        } else if (m_knownAttempts.insert(it.attempt).second) {
            reportEnd(it.attempt, Outcome::NeverStarted, {}); // a later start order for this attempt is ignored
        }
    }
    for (const auto &it : sync.starts) {
        if (m_knownAttempts.insert(it.attempt).second) {
            start(it);
        }
    }
}

void FakeWorker::start(const StartOrder &order)
{
    if (clock() > order.notAfter || clock() >= order.leaseUntil) {
        reportEnd(order.attempt, Outcome::NeverStarted, {});
        return;
    }
    const auto task = taskOf(order.payload);
    const auto run = m_journal.runs.size();
    const auto now = m_queue.now();
    m_journal.runs.push_back({m_index,
                              order.attempt,
                              order.request,
                              order.ordinal,
                              order.payload,
                              order.reserved,
                              now,
                              notYet,
                              Outcome::None});
    m_journal.observations.push_back({now, ObservationKind::RunStarted, run});
    const auto saved = m_journal.saved.find({order.payload, order.ordinal});
    const auto left = task.runTime - (saved != m_journal.saved.end() ? saved->second : Milliseconds{0});
    const Milliseconds endsAt = task.runTime < Milliseconds{0} ? Milliseconds::max() : now + left;
    m_active[order.attempt] = {run, order.leaseUntil, failsAll ? now + Milliseconds{5} : endsAt};
    scheduleCheck(order.attempt);
}

void FakeWorker::scheduleCheck(AttemptNumber attempt)
{
    const auto &active = m_active.at(attempt);
    const auto leaseEnd = active.leaseUntil.time_since_epoch() - clockOffset;
    m_queue.at(std::min(active.endsAt, leaseEnd), [this, attempt, boot = m_bootId] { checkAttempt(attempt, boot); });
}

void FakeWorker::checkAttempt(AttemptNumber attempt, std::uint64_t boot)
{
    const auto found = m_active.find(attempt);
    if (boot != m_bootId || found == m_active.end()) {
        return;
    }
    const auto &active = found->second;
    if (clock() >= active.leaseUntil) {
        end(attempt, Outcome::Lost);
    } else if (m_paused) {
        m_queue.at(active.leaseUntil.time_since_epoch() - clockOffset,
                   [this, attempt, boot] { checkAttempt(attempt, boot); });
    } else if (m_queue.now() >= active.endsAt) {
        const bool fails = failsAll || taskOf(m_journal.runs[active.run].payload).fails;
        end(attempt, fails ? Outcome::Failed : Outcome::Succeeded);
    }
    if (!m_paused && !m_active.contains(attempt)) {
        respondToPolls();
    }
}

void FakeWorker::expireLeases()
{
    std::vector<AttemptNumber> ended;
    for (const auto &[attempt, active] : m_active) {
        if (clock() >= active.leaseUntil) {
            ended.push_back(attempt);
        }
    }
    for (const auto it : ended) {
        end(it, Outcome::Lost);
    }
}

void FakeWorker::end(AttemptNumber attempt, Outcome outcome)
{
    const auto found = m_active.find(attempt);
    auto &run = m_journal.runs[found->second.run];
    run.endedAt = m_queue.now();
    run.outcome = outcome;
    if (outcome == Outcome::Checkpointed) {
        m_journal.saved[{run.payload, run.ordinal}] += run.endedAt - run.startedAt;
    }
    m_journal.observations.push_back({run.endedAt, ObservationKind::RunEnded, found->second.run});
    m_active.erase(found);
    TaskResult result;
    if (outcome == Outcome::Succeeded) {
        const auto content = expectedResultOf(run.payload, run.ordinal);
        result.length = content.size();
        result.digest = digestOfBytes(content);
        result.body = content.size() <= maxInlineBytes ? content : "";
        result.storedBy = content.size() <= maxInlineBytes ? "" : m_row.name;
    }
    reportEnd(attempt, outcome, std::move(result));
}

void FakeWorker::reportEnd(AttemptNumber attempt, Outcome outcome, TaskResult result)
{
    m_ends.push_back({++m_lastReport, {attempt, outcome, std::move(result)}});
}

void FakeWorker::failRunning()
{
    while (!m_active.empty()) {
        end(m_active.begin()->first, Outcome::Failed);
    }
    respondToPolls();
}

void FakeWorker::respondToPolls()
{
    for (auto polls = std::exchange(m_polls, {}); const auto &it : polls) {
        it.reply(makeReport());
    }
}

WorkerReport FakeWorker::makeReport() const
{
    WorkerReport report;
    report.worker = m_row.name;
    report.bootId = m_bootId;
    report.total = m_total;
    report.clock = clock();
    report.ends.assign(m_ends.begin(), m_ends.end());
    for (const auto &[attempt, active] : m_active) {
        report.active.push_back(attempt);
        const auto &run = m_journal.runs[active.run];
        if (m_queue.now() - run.startedAt >= usageLag) {
            report.usage.push_back(
                {attempt, {run.reserved.cpuMilli / 2, run.reserved.memoryMb / 2, run.reserved.accelerators}});
        }
    }
    return report;
}

void FakeWorker::kill()
{
    for (const auto &[attempt, active] : m_active) {
        auto &run = m_journal.runs[active.run];
        run.endedAt = m_queue.now();
        run.outcome = Outcome::Lost;
        m_journal.observations.push_back({run.endedAt, ObservationKind::RunEnded, active.run});
    }
    m_active.clear();
    m_knownAttempts.clear();
    m_ends.clear();
    m_polls.clear();
    m_pendingSyncs.clear();
    m_lastReport = 0;
    m_up = false;
    m_paused = false;
    ++m_bootId;
}

void FakeWorker::boot()
{
    m_up = true;
}

void FakeWorker::setPaused(bool paused)
{
    if (!m_up || m_paused == paused) {
        return;
    }
    m_paused = paused;
    if (paused) {
        return;
    }
    for (const auto attempt : makeReport().active) {
        checkAttempt(attempt, m_bootId);
    }
    respondToPolls();
    for (auto pending = std::exchange(m_pendingSyncs, {}); auto &[exchange, reply] : pending) {
        sync(exchange, std::move(reply));
    }
}

} // namespace flamingotally::fakes
