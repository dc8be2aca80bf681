/** @file drain.cpp Moves work off workers that leave and out of failure domains that are out of service. */
#include "node_func.h"
#include "systems/scheduling.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Part of a service's tasks that may be away at once while it is moved. */
constexpr std::uint32_t waveParts = 4;

/** Time after which services are moved no matter how many of their tasks are away. */
constexpr Milliseconds waveBound{20'000};

/** Tells since when a worker is to be emptied; nothing when it is not. */
std::optional<LogTime> drainsSince(const Tables &tables, WorkerRef worker)
{
    const auto &domain = tables.domains.get<DomainState>(tables.workers.get<WorkerLocation>(worker).domain);
    if (domain.service == DomainService::Out) {
        return domain.changedAt;
    }
    const auto &state = tables.workers.get<WorkerState>(worker);
    if (state.service == WorkerService::Leaving) {
        return state.changedAt;
    }
    return std::nullopt;
}

/** Counts, job by job, how many more tasks of a service may be stopped in this wave. */
class ServiceWaves
{
public:
    ServiceWaves(const Tables &tables, const AttemptNumberSet &stopsInHand)
        : m_tables(tables), m_stopsInHand(stopsInHand)
    {
    }

    /** Takes one from the wave of a job. False when the wave is full. */
    bool take(JobRef job)
    {
        auto [it, isNew] = m_left.try_emplace(keyOf(job), 0);
        if (isNew) {
            it->second = waveOf(job);
        }
        if (it->second == 0) {
            return false;
        }
        --it->second;
        return true;
    }

private:
    std::uint32_t waveOf(JobRef job) const
    {
        const auto &state = m_tables.jobs.get<JobState>(job);
        std::uint32_t away = state.waiting;
        for (const auto task : state.tasks) {
            const auto &taskState = m_tables.tasks.get<TaskState>(task);
            if (taskState.phase != TaskPhase::Placed) {
                continue;
            }
            const auto attempt = taskState.attempt;
            const bool isStopping = m_tables.attempts.get<AttemptState>(attempt).stop != StopCause::None
                || m_stopsInHand.contains(m_tables.attempts.get<AttemptIdentity>(attempt).number);
            away += isStopping ? 1 : 0;
        }
        const auto most = std::max(1U, m_tables.jobs.get<JobSpec>(job).count / waveParts);
        return most > away ? most - away : 0;
    }

    const Tables &m_tables;
    const AttemptNumberSet &m_stopsInHand;
    absl::flat_hash_map<std::uint64_t, std::uint32_t> m_left;
};

} // namespace

void drainWorkers(Node &node, const AttemptNumberSet &stopsInHand, const TickTime &time)
{
    const auto &tables = node.tables;
    const auto now = estimateLogTime(node, time);
    ServiceWaves waves(tables, stopsInHand);
    std::vector<AttemptNumber> stops;
    const auto drainAttempt = [&](AttemptRef attempt, LogTime since) {
        const auto &identity = tables.attempts.get<AttemptIdentity>(attempt);
        const bool isStopping = tables.attempts.get<AttemptState>(attempt).stop != StopCause::None;
        if (isStopping || stopsInHand.contains(identity.number)) {
            return;
        }
        const auto job = tables.tasks.get<TaskIdentity>(identity.task).job;
        const auto &profileSpec = tables.jobs.get<JobSpec>(job).profileSpec;
        const bool isService = profileSpec.kind == WorkKind::Service;
        const bool mayMove = isService ? now - since >= waveBound || waves.take(job) : profileSpec.checkpoint;
        if (mayMove) {
            stops.push_back(identity.number);
        }
    };
    tables.workers.forEach([&](WorkerRef worker) {
        const auto since = drainsSince(tables, worker);
        if (!since || !ownsWorker(node, worker, time)) {
            return;
        }
        for (const auto it : attemptsOf(tables, worker)) {
            drainAttempt(it, *since);
        }
    });
    proposeStops(node, stops, StopCause::Drained, time);
}

} // namespace flamingotally
