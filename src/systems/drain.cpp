/** @file drain.cpp Drains workers that are leaving and failure domains that are out of service. */
#include "node_func.h"
#include "systems/scheduling.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace flamingotally
{

namespace
{

/** In a drain, one task of a service in `waveDivisor` may be unavailable at a time, but always at least one. */
constexpr std::uint32_t waveDivisor = 4;

/** Time after the start of a drain. From then on, tasks of services are stopped without regard to the waves. */
constexpr Milliseconds waveTimeout{20'000};

/** Returns when the drain of a worker began, or nothing if the worker is not being drained. */
std::optional<LogTime> drainStart(const Tables &tables, WorkerRef worker)
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

/** Counts, for each job of a service, how many more of its tasks can be stopped in this wave. */
class ServiceWaves
{
public:
    ServiceWaves(const Tables &tables, const AttemptNumberSet &proposedStops)
        : m_tables(tables), m_proposedStops(proposedStops)
    {
    }

    /** Reserves one stop in the wave of a job. Returns false if the wave is full. */
    bool reserveStop(JobRef job)
    {
        auto [it, isNew] = m_stopsLeft.try_emplace(keyOf(job), 0);
        if (isNew) {
            it->second = stopsAllowedNow(job);
        }
        if (it->second == 0) {
            return false;
        }
        --it->second;
        return true;
    }

private:
    /** Returns how many tasks of a job can be stopped now: the permitted number minus those already unavailable. */
    std::uint32_t stopsAllowedNow(JobRef job) const
    {
        const auto &state = m_tables.jobs.get<JobState>(job);
        std::uint32_t unavailable = state.waiting;
        for (const auto task : state.tasks) {
            const auto &taskState = m_tables.tasks.get<TaskState>(task);
            if (taskState.phase != TaskPhase::Placed) {
                continue;
            }
            const auto attempt = taskState.attempt;
            const bool isStopping = m_tables.attempts.get<AttemptState>(attempt).stop != StopCause::None
                || m_proposedStops.contains(m_tables.attempts.get<AttemptIdentity>(attempt).number);
            unavailable += isStopping ? 1 : 0;
        }
        const auto maxUnavailable = std::max(1U, m_tables.jobs.get<JobSpec>(job).count / waveDivisor);
        return maxUnavailable > unavailable ? maxUnavailable - unavailable : 0;
    }

    const Tables &m_tables;
    const AttemptNumberSet &m_proposedStops;
    absl::flat_hash_map<std::uint64_t, std::uint32_t> m_stopsLeft;
};

} // namespace

void drainWorkers(Node &node, const AttemptNumberSet &proposedStops, const TickTime &time)
{
    const auto &tables = node.tables;
    const auto now = estimateLogTime(node, time);
    ServiceWaves waves(tables, proposedStops);
    std::vector<AttemptNumber> stops;
    const auto drainAttempt = [&](AttemptRef attempt, LogTime drainingSince) {
        const auto &identity = tables.attempts.get<AttemptIdentity>(attempt);
        const bool isStopping = tables.attempts.get<AttemptState>(attempt).stop != StopCause::None;
        if (isStopping || proposedStops.contains(identity.number)) {
            return;
        }
        const auto job = tables.tasks.get<TaskIdentity>(identity.task).job;
        const auto &profileSpec = tables.jobs.get<JobSpec>(job).profileSpec;
        const bool isService = profileSpec.kind == WorkKind::Service;
        const bool mayMove =
            isService ? now - drainingSince >= waveTimeout || waves.reserveStop(job) : profileSpec.checkpoint;
        if (mayMove) {
            stops.push_back(identity.number);
        }
    };
    tables.workers.forEach([&](WorkerRef worker) {
        const auto drainingSince = drainStart(tables, worker);
        if (!drainingSince || !ownsWorker(node, worker, time)) {
            return;
        }
        for (const auto it : attemptsOf(tables, worker)) {
            drainAttempt(it, *drainingSince);
        }
    });
    proposeStops(node, stops, StopCause::Drained, time);
}

} // namespace flamingotally
