#include "worker_model.h"

#include <algorithm>
#include <utility>

namespace flamingotally::standin
{

using namespace dispatch;

WorkerModel::WorkerModel(std::string id, Resources capacity, WorkerHooks hooks, Milliseconds bootedAt)
    : m_id(std::move(id)), m_capacity(capacity), m_hooks(std::move(hooks)), m_bootedAt(bootedAt)
{
}

WorkerTime WorkerModel::clock(Milliseconds now) const
{
    return WorkerTime{now - m_bootedAt};
}

bool WorkerModel::acceptToken(Token token)
{
    if (token < m_token) {
        return false;
    }
    m_token = token;
    return true;
}

void WorkerModel::endRun(std::map<TaskName, Running>::iterator it, RunEnd how)
{
    auto &highest = m_highestRuns[it->first];
    highest = std::max(highest, it->second.run);
    m_ended.push_back({m_nextEndNumber++, it->first, it->second.run, how, {}});
    m_hooks.ended({it->first, it->second.run, m_id, it->second.startedAt}, how);
    m_running.erase(it);
}

std::uint32_t WorkerModel::progressPercent(const Running &run, Milliseconds now)
{
    constexpr std::int64_t percent = 100;
    const auto work = std::max<std::int64_t>(run.script.work.count(), 1);
    return run.script.isStalled ? 0 : static_cast<std::uint32_t>((now - run.startedAt).count() * percent / work);
}

Milliseconds WorkerModel::endOf(const Running &run) const
{
    const auto endsAt = std::min(run.endsAt, m_leaseUntil.time_since_epoch() + m_bootedAt);
    return run.script.crashesAfter ? std::min(endsAt, run.startedAt + *run.script.crashesAfter) : endsAt;
}

std::optional<WorkerModel::Crash> WorkerModel::nextCrash() const
{
    std::optional<Crash> next;
    for (const auto &[task, run] : m_running) {
        const auto at = endOf(run);
        const bool isCrash = run.script.crashesAfter && at == run.startedAt + *run.script.crashesAfter;
        if (isCrash && (!next || at < next->at)) {
            next = Crash{at, at + run.script.downtime};
        }
    }
    return next;
}

void WorkerModel::advance(Milliseconds now)
{
    if (const auto crash = nextCrash(); crash && crash->at <= now) {
        endRuns(crash->at - Milliseconds{1});
        ++m_crashes;
        restart(crash->backAt);
        if (m_hooks.crashed) {
            m_hooks.crashed(m_id, m_bootedAt);
        }
    }
    endRuns(now);
}

void WorkerModel::endRuns(Milliseconds now)
{
    for (auto it = m_running.begin(); it != m_running.end();) {
        const auto current = it++;
        const auto leaseExpiresAt = m_leaseUntil.time_since_epoch() + m_bootedAt;
        if (current->second.endsAt <= std::min(now, leaseExpiresAt)) {
            endRun(current, current->second.script.end);
        } else if (leaseExpiresAt <= now) {
            endRun(current, RunEnd::LeaseExpired);
        }
    }
}

std::optional<Milliseconds> WorkerModel::nextEnd() const
{
    std::optional<Milliseconds> next;
    for (const auto &[task, run] : m_running) {
        next = next ? std::min(*next, endOf(run)) : endOf(run);
    }
    return next;
}

PollResponse WorkerModel::poll(const PollOrder &order, Milliseconds now)
{
    advance(now);
    PollResponse response;
    response.worker = order.worker;
    response.token = order.token;
    if (isDown(now)) {
        return response;
    }
    response.clock = clock(now);
    response.incarnation = incarnation();
    if (!acceptToken(order.token)) {
        response.result = OrderResult::Fenced;
        return response;
    }
    m_leaseUntil = std::max(m_leaseUntil, order.leaseUntil);
    std::erase_if(m_ended, [&](const EndRow &it) { return it.number <= order.acknowledged; });
    response.result = OrderResult::Accepted;
    for (const auto &[task, run] : m_running) {
        response.running.push_back({task, run.run, {}, progressPercent(run, now)});
    }
    response.hasMoreEnds = m_ended.size() > m_maxEndsPerReport;
    const auto n = std::min(m_ended.size(), m_maxEndsPerReport);
    response.ended.assign(m_ended.begin(), m_ended.begin() + static_cast<std::ptrdiff_t>(n));
    response.lastEndNumber = response.ended.empty() ? 0 : response.ended.back().number;
    const auto isGarbled = [this](const auto &row) {
        return m_garbled.contains({row.task, row.run});
    };
    const auto garbled = std::erase_if(response.running, isGarbled) + std::erase_if(response.ended, isGarbled);
    response.hasMalformedRows = garbled > 0;
    return response;
}

OrderResult WorkerModel::start(const StartOrder &order, Milliseconds now)
{
    advance(now);
    if (isDown(now)) {
        return OrderResult::NoResponse;
    }
    if (!acceptToken(order.token)) {
        return OrderResult::Fenced;
    }
    const auto running = m_running.find(order.task);
    if (running != m_running.end()) {
        return running->second.run == order.number ? OrderResult::Accepted : OrderResult::Superseded;
    }
    const auto highest = m_highestRuns.find(order.task);
    if (highest != m_highestRuns.end() && order.number <= highest->second) {
        return OrderResult::Superseded;
    }
    if (order.leaseUntil <= clock(now)) {
        return OrderResult::Late;
    }
    m_leaseUntil = std::max(m_leaseUntil, order.leaseUntil);
    const auto script = m_hooks.script(order.task, order.number);
    const auto endsAt = script.isStalled ? Milliseconds::max() : now + script.work;
    m_running[order.task] = {order.number, endsAt, now, script};
    m_hooks.started({order.task, order.number, m_id, now});
    advance(now);
    return isDown(now) ? OrderResult::NoResponse : OrderResult::Accepted;
}

OrderResult WorkerModel::stop(const StopOrder &order, Milliseconds now)
{
    advance(now);
    if (isDown(now)) {
        return OrderResult::NoResponse;
    }
    if (!acceptToken(order.token)) {
        return OrderResult::Fenced;
    }
    auto &highest = m_highestRuns[order.task];
    highest = std::max(highest, order.number);
    if (const auto it = m_running.find(order.task); it != m_running.end() && it->second.run <= order.number) {
        endRun(it, RunEnd::Stopped);
    }
    return OrderResult::Accepted;
}

void WorkerModel::restart(Milliseconds now)
{
    for (const auto &[task, run] : std::exchange(m_running, {})) {
        m_hooks.ended({task, run.run, m_id, run.startedAt}, RunEnd::LeaseExpired);
    }
    m_bootedAt = now;
    m_token = 0;
    m_leaseUntil = {};
    m_nextEndNumber = 1;
    m_ended.clear();
    m_highestRuns.clear();
}

} // namespace flamingotally::standin
