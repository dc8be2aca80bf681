#include "policy/task_need.h"

#include <algorithm>

namespace flamingotally
{

bool FailedNeeds::covers(const Resources &amount) const
{
    return std::ranges::any_of(m_amounts, [&](const Resources &it) { return it.fitsInto(amount); });
}

void FailedNeeds::add(const Resources &amount)
{
    std::erase_if(m_amounts, [&](const Resources &it) { return amount.fitsInto(it); });
    m_amounts.push_back(amount);
}

std::size_t placementClassOf(const TaskNeed &need)
{
    return (need.mayBorrow ? 1U : 0U) | (need.mayProbe ? 2U : 0U);
}

void SpreadCounts::add(const CapacityTable &capacities, std::size_t row)
{
    ++byDomain[capacities.domains[row]];
    ++byRack[capacities.racks[row]];
    ++byWorker[row];
}

std::optional<SpreadCounts> countSpread(const Tables &tables, const CapacityTable &capacities, JobRef job)
{
    if (tables.jobs.get<JobSpec>(job).profileSpec.spread == Spread::None) {
        return std::nullopt;
    }
    SpreadCounts counts;
    counts.byDomain.assign(tables.domains.capacity(), 0);
    counts.byRack.assign(tables.racks.capacity(), 0);
    counts.byWorker.assign(capacities.size(), 0);
    for (const auto task : tables.jobs.get<JobState>(job).tasks) {
        const auto &state = tables.tasks.get<TaskState>(task);
        if (state.phase == TaskPhase::Placed) {
            counts.add(capacities, tables.attempts.get<AttemptIdentity>(state.attempt).worker.index);
        }
    }
    return counts;
}

TaskNeed needOf(const ProfileSpec &profileSpec, const Resources &amount)
{
    TaskNeed need;
    need.amount = amount;
    need.spread = profileSpec.spread;
    const bool isShort = profileSpec.kind == WorkKind::Request;
    need.mayBorrow = isShort || profileSpec.checkpoint;
    const bool isPatient = profileSpec.kind == WorkKind::Batch && profileSpec.urgency != Urgency::Urgent;
    need.mayProbe = isPatient && profileSpec.idempotent && profileSpec.maxRetries > 0;
    return need;
}

TaskNeed needOf(const Tables &tables, const WaitingJob &job, TaskRef task, const std::optional<SpreadCounts> &counts)
{
    const auto &spec = tables.jobs.get<JobSpec>(job.job);
    TaskNeed need = needOf(spec.profileSpec, spec.perTask);
    need.counts = counts ? &*counts : nullptr;
    need.avoid = tables.tasks.get<TaskState>(task).lastFailedOn;
    need.seed = keyOf(task);
    return need;
}

} // namespace flamingotally
