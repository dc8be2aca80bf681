/**
 * @file gang_capacity.h Plans where a waiting gang will run, reserves that capacity, and decides when it asks for
 * tickets.
 *
 * Load pattern: a nearly full pool, gangs whose members need most of a worker each, and a policy service whose tickets
 * are valid for little longer than a request takes. Gangs that ask whenever one member has room occupy all relays with
 * requests whose tickets expire unused, and small tasks take each worker again before all members have room.
 */
#pragma once

#include "dispatch/entry_func.h"
#include "dispatch/policy/advice_cost.h"
#include "dispatch/policy/gang_places.h"
#include "dispatch/policy/team_limit.h"

namespace flamingotally::dispatch
{

/** Returns true if a group is a gang whose capacity is planned, as the policy service is slow. */
inline bool isPlannedGang(const Entry &entry, GroupRef group)
{
    return stepOf(entry, group).gang && isAdviceSlow(policyOf(entry, group).advice);
}

/**
 * Returns, by worker, the capacity for which gangs have requests in flight that renew tickets, without having that
 * capacity reserved. Another gang that asked about it would get tickets that it cannot use.
 */
inline absl::flat_hash_map<WorkerRef, Resources> capacityInRequests(const Entry &entry)
{
    absl::flat_hash_map<WorkerRef, Resources> sums;
    for (const auto &[number, request] : entry.advice.pending) {
        if (!entry.work.groups.contains(request.group)) {
            continue;
        }
        const auto &plan = entry.work.groups.get<GroupAdvice>(request.group).gangPlan;
        if (plan.renewsPlaces && !plan.isReserved) {
            for (const auto worker : plan.places) {
                sums[worker] += demandOf(stepOf(entry, request.group));
            }
        }
    }
    return sums;
}

/**
 * Returns true if all places of a gang's plan are still free after a pass. If the gang has none of them reserved, they
 * must be neither reserved for another gang nor subject of its request.
 */
inline bool arePlacesFree(const Entry &entry, GroupRef group)
{
    const auto &plan = entry.work.groups.get<GroupAdvice>(group).gangPlan;
    auto taken = plan.isReserved ? absl::flat_hash_map<WorkerRef, Resources>{} : capacityInRequests(entry);
    for (const auto worker : plan.places) {
        taken[worker] += demandOf(stepOf(entry, group));
    }
    return std::ranges::all_of(plan.places, [&](WorkerRef worker) {
        if (!entry.workers.table.contains(worker)) {
            return false;
        }
        const auto &load = entry.workers.table.get<WorkerLoad>(worker);
        const bool isOfOthers = !plan.isReserved && load.reservedInPass + 1 == entry.work.pass.number;
        const auto free = entry.workers.table.get<WorkerIdentity>(worker).capacity - load.used;
        return taken[worker].fitsInto(isOfOthers ? free - load.reservedForGangs : free);
    });
}

/** Plans and reserves capacity for one waiting gang. */
class GangCapacity
{
public:
    GangCapacity(Entry &entry, const WorkerEvaluation &evaluation, const TickTime &time)
        : m_entry(entry), m_evaluation(evaluation), m_time(time),
          m_advice(entry.work.groups.get<GroupAdvice>(evaluation.group())),
          m_plan(entry.work.groups.get<GroupAdvice>(evaluation.group()).gangPlan),
          m_tasks(entry.work.groups.get<GroupState>(evaluation.group()).tasks.size())
    {
    }

    /**
     * Updates the plan, and reserves its places for the rest of the pass.
     * @param isUseful The gang is not too late to be useful. One that is reserves only while a request is in flight.
     * @return True if a request for tickets could lead to a placement.
     */
    bool update(bool isUseful)
    {
        if (!mayBePlaced()) {
            m_plan = {};
            return false;
        }
        const bool isPending = m_advice.pendingNumber != 0;
        m_plan.isReserved = m_plan.isReserved && isUseful;
        if (!isPending && m_time.now >= m_plan.searchAt) {
            makePlan(isUseful);
            logFirstReservation();
        }
        if (m_plan.isReserved || (isPending && m_plan.renewsPlaces)) {
            reservePlaces();
        }
        return !isPending && m_time.now >= m_advice.searchAt && (m_plan.renewsPlaces || m_plan.asksUndecided);
    }

private:
    static constexpr Milliseconds reservedInterval{50}; ///< A plan whose places are reserved is kept for this long.
    /** Any other plan is kept for this long, so that many gangs that wait for their turn take little time of a pass. */
    static constexpr Milliseconds otherInterval{150};
    /** At most one of this many workers of a pool, and at least one worker, is reserved for gangs. */
    static constexpr std::size_t poolDivisor = 4;

    /** What the workers of the pool that the service does not refuse have to offer. */
    struct Offer {
        std::vector<GangPlace> granted; ///< Places on workers that the service allows, the best first.
        std::size_t freeUndecided = 0; ///< Number of free places on workers that it has not decided on.
        std::size_t undecided = 0; ///< Number of places on these workers if they ran nothing but endless tasks.
    };

    /** Returns the pool in the current pass. There is one, as the gang has been visited with workers in it. */
    PassPool *poolOfPass() const
    {
        const auto it = std::ranges::find(m_entry.work.pass.pools, m_evaluation.policy().pool, &PassPool::name);
        return it == m_entry.work.pass.pools.end() ? nullptr : &*it;
    }

    /** Returns the maximum number of workers of the pool that may be reserved for gangs. */
    std::size_t reservationLimit() const
    {
        return std::max<std::size_t>(1, m_evaluation.pool().workers.size() / poolDivisor);
    }

    /** Returns true if the gang was asked about, and all its tasks wait and stay within the team's limit. */
    bool mayBePlaced() const
    {
        const auto all = m_evaluation.step().perTask * static_cast<std::int64_t>(m_tasks);
        return m_advice.requestCount > 0 && readyTasks(m_entry, m_evaluation.group(), m_time) == m_tasks
            && isWithinTeamLimit(m_entry, m_evaluation.group(), all);
    }

    /**
     * Makes the plan. A gang that is too late, or for which too much of the pool is reserved for more urgent ones, can
     * only have places that are free.
     */
    void makePlan(bool isUseful)
    {
        const auto reservedSince = m_plan.reservedSince;
        m_plan = {};
        m_plan.reservedSince = reservedSince;
        const bool mayReserve = isUseful && m_evaluation.pool().reservedForGangs < reservationLimit();
        const auto offer = findPlaces(mayReserve || !isUseful ? PlaceSearch::All : PlaceSearch::Free);
        const auto free = static_cast<std::size_t>(std::ranges::count_if(offer.granted, &GangPlace::isFree));
        if (mayReserve && offer.granted.size() >= m_tasks) {
            const auto chosen = choosePlaces(offer.granted);
            const bool isAlone = m_evaluation.pool().reservedForGangs == 0; // it needs more than may be reserved
            if (chosen.size() == m_tasks || (isAlone && free < m_tasks)) {
                setPlaces(chosen, /*isReserved=*/true);
            }
        }
        if (m_plan.places.empty() && free >= m_tasks) {
            setPlaces(firstPlaces(offer.granted), /*isReserved=*/false);
        }
        const bool fitsWithUndecided = offer.freeUndecided > 0 && free + offer.freeUndecided >= m_tasks;
        const bool needsUndecided = offer.undecided > 0 && offer.granted.size() + offer.undecided >= m_tasks;
        m_plan.asksUndecided =
            (free < m_tasks && fitsWithUndecided) || (offer.granted.size() < m_tasks && needsUndecided);
        m_plan.searchAt = m_time.now + (m_plan.isReserved ? reservedInterval : otherInterval);
    }

    /** Logs that the places of the gang are reserved, once while it waits. */
    void logFirstReservation()
    {
        if (!m_plan.isReserved || m_plan.reservedSince != MonotonicTime{}) {
            return;
        }
        m_plan.reservedSince = m_time.now;
        ++m_entry.counters.gangsReserved;
        const auto &identity = m_entry.work.groups.get<GroupIdentity>(m_evaluation.group());
        const bool isKnown = m_plan.readyAt != MonotonicTime{};
        logEvent(m_entry,
                 EventKind::GangReserved,
                 m_entry.jobs.table.get<JobIdentity>(identity.job).id,
                 "step={} tasks={} places={} ready_in_ms={} waited_ms={} questions={}",
                 identity.step,
                 m_tasks,
                 m_plan.places.size(),
                 isKnown ? std::max(Milliseconds{0}, Milliseconds(m_plan.readyAt - m_time.now)).count() : -1,
                 (m_time.now - m_entry.work.groups.get<GroupState>(m_evaluation.group()).openedAt).count(),
                 m_advice.requestCount);
    }

    /** Sets the places of the plan. */
    void setPlaces(const std::vector<GangPlace> &places, bool isReserved)
    {
        const bool isComplete = places.size() == m_tasks;
        m_plan.isReserved = isReserved;
        m_plan.renewsPlaces = isComplete && std::ranges::all_of(places, &GangPlace::isFree)
            && !std::ranges::all_of(places, &GangPlace::hasTicket);
        const bool isKnown = isComplete && std::ranges::all_of(places, &GangPlace::isKnown);
        for (const auto &it : places) {
            m_plan.places.push_back(it.worker);
            m_plan.readyAt = isKnown ? std::max(m_plan.readyAt, it.readyAt) : MonotonicTime{};
        }
    }

    /**
     * Finds the places for tasks of the gang, beside what is reserved for groups that come earlier in the pass and what
     * requests of other gangs are about.
     */
    Offer findPlaces(PlaceSearch search) const
    {
        Offer offer;
        const auto inRequests = capacityInRequests(m_entry);
        std::vector<GangPlace> undecided;
        m_entry.counters.workersExamined += m_evaluation.pool().workers.size();
        for (const auto worker : m_evaluation.pool().workers) {
            const auto permission = m_evaluation.permissionOf(worker);
            if (permission == Permission::Refused || !m_evaluation.isEligible(worker)) {
                continue;
            }
            const auto it = inRequests.find(worker);
            const auto taken = m_evaluation.allReservedOn(worker) + (it == inRequests.end() ? Resources{} : it->second);
            auto &places = permission == Permission::Granted ? offer.granted : undecided;
            appendPlaces(m_entry, m_evaluation, worker, taken, m_tasks, search, places);
        }
        std::ranges::stable_sort(offer.granted, {}, &GangPlace::key);
        offer.undecided = undecided.size();
        offer.freeUndecided = static_cast<std::size_t>(std::ranges::count_if(undecided, &GangPlace::isFree));
        return offer;
    }

    /** Returns the best places for all tasks. */
    std::vector<GangPlace> firstPlaces(const std::vector<GangPlace> &places) const
    {
        return {places.begin(), places.begin() + static_cast<std::ptrdiff_t>(m_tasks)};
    }

    /** Returns the best places that may be reserved; fewer than there are tasks if these need too many workers. */
    std::vector<GangPlace> choosePlaces(const std::vector<GangPlace> &places) const
    {
        std::vector<GangPlace> chosen;
        absl::flat_hash_set<WorkerRef> added; // those without reservations for gangs that are more urgent
        const auto limit = reservationLimit() - m_evaluation.pool().reservedForGangs;
        for (const auto &it : places) {
            const bool isNew = !isReservedForGangs(it.worker) && !added.contains(it.worker);
            if (isNew && added.size() == limit) {
                continue;
            }
            if (isNew) {
                added.insert(it.worker);
            }
            chosen.push_back(it);
            if (chosen.size() == m_tasks) {
                break;
            }
        }
        return chosen;
    }

    /** Returns true if capacity of a worker is reserved for a gang in this pass. */
    bool isReservedForGangs(WorkerRef worker) const
    {
        const auto &load = m_entry.workers.table.get<WorkerLoad>(worker);
        return load.reservedInPass == m_entry.work.pass.number && load.reservedForGangs != Resources{};
    }

    /** Reserves the places of the plan for the rest of the pass, as far as the limit allows. */
    void reservePlaces()
    {
        auto *pool = poolOfPass();
        for (const auto worker : m_plan.places) {
            const bool isNew = pool && isInPass(m_entry, worker) && !isReservedForGangs(worker);
            if (!pool || !isInPass(m_entry, worker) || (isNew && pool->reservedForGangs >= reservationLimit())) {
                continue;
            }
            auto &load = loadInPass(m_entry, worker);
            load.reservedForGangs += m_evaluation.demand();
            load.gangsReadyAt = isNew ? m_plan.readyAt : std::min(load.gangsReadyAt, m_plan.readyAt);
            pool->reservedForGangs += isNew ? 1 : 0;
            m_entry.work.pass.reservedForGangs += isNew ? 1 : 0;
        }
    }

    Entry &m_entry;
    const WorkerEvaluation &m_evaluation;
    const TickTime &m_time;
    const GroupAdvice &m_advice;
    GangPlan &m_plan;
    std::size_t m_tasks; ///< Number of tasks of the gang, which are all placed together.
};

} // namespace flamingotally::dispatch
