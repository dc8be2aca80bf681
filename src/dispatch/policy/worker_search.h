/** @file worker_search.h Finds the best worker for a task of one group. */
#pragma once

#include "dispatch/policy/worker_choice.h"
#include "dispatch/policy/worker_evaluation.h"

#include <algorithm>
#include <iterator>

namespace flamingotally::dispatch
{

/**
 * Finds the best worker for each task of a group.
 * @tparam Choice Scores the candidate workers.
 */
template<WorkerChoice Choice>
class WorkerSearch
{
public:
    WorkerSearch(Entry &entry, const WorkerEvaluation &evaluation) : m_entry(entry), m_evaluation(evaluation)
    {
    }

    /**
     * Returns the best worker for a task; unset when none fits.
     * @param rack Rack that the worker must be in; empty for any.
     */
    WorkerRef choose(const TaskState &task, const std::string &rack)
    {
        if (!m_isSearched) {
            findCandidates();
        }
        WorkerRef best;
        double bestScore = 0;
        for (const auto worker : m_candidates) {
            const bool isElsewhere = !rack.empty() && m_entry.workers.table.get<WorkerIdentity>(worker).rack != rack;
            if (isElsewhere || !m_evaluation.hasCapacity(worker) || !m_evaluation.isBelowWorkerLimit(worker)) {
                continue;
            }
            const double score = Choice::score(describe(worker, task));
            if (!best.isSet() || score > bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

private:
    /**
     * Finds the workers that can run a task of the group now. choose() needs no others, as free capacity only shrinks
     * in a pass.
     */
    void findCandidates()
    {
        m_isSearched = true;
        const auto &workers = m_evaluation.permittedWorkers();
        m_entry.counters.workersEvaluated += workers.size();
        m_entry.counters.workersExamined += workers.size();
        std::ranges::copy_if(workers, std::back_inserter(m_candidates), [this](WorkerRef worker) {
            return m_evaluation.isEligible(worker) && m_evaluation.hasCapacity(worker)
                && m_evaluation.isBelowWorkerLimit(worker) && m_evaluation.evaluateTicket(worker) == Fit::Fits;
        });
    }

    /** Returns the properties by which a worker is scored for a task. */
    Candidate describe(WorkerRef worker, const TaskState &task) const
    {
        const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
        const auto &load = m_entry.workers.table.get<WorkerLoad>(worker);
        Candidate it;
        it.capacity = identity.capacity;
        it.freeAfter = identity.capacity - load.used - m_evaluation.reservedOn(worker) - m_evaluation.demand();
        it.isNearData = m_evaluation.step().dataRack.empty() || m_evaluation.step().dataRack == identity.rack;
        it.isReserved = m_evaluation.usesLargeReservation(worker);
        it.isAvoided = task.avoidedWorker == worker;
        it.wouldInterfere = (m_evaluation.step().bestEffort && load.latencyBoundRuns > 0)
            || (m_evaluation.step().targetResponse.count() > 0 && load.bestEffortRuns > 0);
        it.hasRecentStart = task.crashWeight > 0 && m_evaluation.now() - load.placedAt < quietPeriod;
        it.faults = std::min(m_entry.workers.table.get<WorkerHealth>(worker).faults.size(), maxFaults);
        return it;
    }

    /** A worker on which nothing was placed for this long is preferred for a task suspected of a crash. */
    static constexpr Milliseconds quietPeriod{500};
    static constexpr std::size_t maxFaults = 3; ///< Further faults of a worker do not make it rank lower.

    Entry &m_entry;
    const WorkerEvaluation &m_evaluation;
    std::vector<WorkerRef> m_candidates; ///< Workers that could take a task when findCandidates() ran.
    bool m_isSearched = false; ///< findCandidates() has run.
};

} // namespace flamingotally::dispatch
