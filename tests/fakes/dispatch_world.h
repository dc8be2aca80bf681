/**
 * @file dispatch_world.h Entry daemons, a store, workers and a policy service under a virtual clock. Checks the
 * invariants that callers and workers observe while it runs.
 */
#pragma once

#include "dispatch/runtime.h"
#include "fakes/event_queue.h"
#include "store_model.h"
#include "worker_model.h"

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace flamingotally::fakes
{

/** Fault mode of the store for the calls of a daemon. */
enum class StoreMode : std::uint8_t {
    Up,
    Down, ///< Refuses all calls.
    Silent, ///< Executes no call and sends no response.
    LosesResponses, ///< Executes all appends but loses their responses.
    End,
};

/** Fault mode of the link to a worker. */
enum class LinkMode : std::uint8_t {
    Up,
    Cut, ///< No message arrives.
    DelaysStarts, ///< Starts are executed late and get no response.
    End,
};

/** A simulated cell. */
class DispatchWorld
{
public:
    /**
     * Makes daemons "d0", "d1", ... and workers "w0", "w1", ..., each worker in the domain of the same number.
     * @param daemons,workers Their numbers.
     */
    DispatchWorld(std::size_t daemons, std::size_t workers);

    /** Runs the simulation for some virtual time. */
    void run(Milliseconds time);

    /** Submits a job at a daemon, on the queue "/q/". @param id Id of the job, from 1. */
    dispatch::CallHandle submit(std::size_t daemon, dispatch::JobId id, dispatch::JobSpec spec);

    /** Submits a job at a daemon, on the queue with a path prefix. */
    dispatch::CallHandle
    submitTo(const std::string &prefix, std::size_t daemon, dispatch::JobId id, dispatch::JobSpec spec);

    /** Sends a call other than a submission to a daemon. */
    dispatch::CallHandle call(std::size_t daemon, dispatch::CallVerb verb, dispatch::JobId id);

    /** Returns the response to a call; nothing while there is none. */
    std::optional<dispatch::CallerResponse> responseTo(dispatch::CallHandle handle) const;

    /** Returns the phase of a job that a daemon reports; fails the test if it does not respond in time. */
    dispatch::JobPhase phaseAt(std::size_t daemon, dispatch::JobId id);

    /** Returns the index of the daemon that owns the cell; nothing if there is none or more than one. */
    std::optional<std::size_t> owner() const;

    void kill(std::size_t daemon);
    void restart(std::size_t daemon);
    void freeze(std::size_t daemon, Milliseconds time);

    dispatch::Entry &entry(std::size_t daemon)
    {
        return m_daemons[daemon]->entry;
    }

    standin::WorkerModel &worker(std::size_t n)
    {
        return *m_workers[n].model;
    }

    /** Returns the number of runs of a task that began on any worker. */
    std::size_t startsOf(const dispatch::TaskName &task) const;

    /** Returns the worker on which a task runs; nothing if it does not run. */
    std::optional<std::size_t> runningOn(const dispatch::TaskName &task) const;

    /** Returns the largest number of tasks that ran on one worker at the same time. */
    std::size_t maxRunsPerWorker() const
    {
        return m_maxRunsPerWorker;
    }

    Milliseconds now() const
    {
        return m_queue.now();
    }

    void listWorker(std::size_t n, bool draining);

    /** Publishes a configuration with the next version. */
    void publish(dispatch::Configuration next);

    standin::TopicModel topic; ///< The journal.
    std::map<dispatch::TaskName, std::vector<standin::RunScript>>
        scripts; ///< By run number; the last one applies to all later runs.
    std::map<std::size_t, StoreMode> storeModes; ///< By daemon.
    std::map<std::size_t, LinkMode> linkModes; ///< By worker.
    std::set<std::size_t> failingConfigReaders; ///< Daemons whose reads of the configuration fail.
    dispatch::Configuration configuration;
    std::vector<std::string> domainsOut;
    std::set<std::string> refusedWorkers; ///< Workers that the policy service does not advise.
    std::map<dispatch::JobId, Milliseconds>
        adviceTimes; ///< Response time of the policy service by job; 20 ms if not set.
    std::size_t requestsToFail = 0; ///< Number of next requests to the policy service that fail.
    std::map<std::pair<dispatch::JobId, std::uint32_t>, Milliseconds>
        adviceRequestedAt; ///< First request to the policy service for a step of a job.
    std::size_t recordsPerRead =
        std::numeric_limits<std::size_t>::max(); ///< Maximum number of records in a read of the journal.
    Milliseconds storeDelay{0}; ///< Added to the response time of all appends.
    Milliseconds wallStep{0}; ///< Added to the wall clock of all daemons.

    /** Violations of the invariants, in the order in which they were observed. */
    std::vector<std::string> violations;

private:
    friend class WorldPorts;

    struct Daemon {
        dispatch::Entry entry;
        bool alive = true;
        Milliseconds frozenUntil{0};
        Milliseconds wakeAt{0};
        std::uint64_t incarnation = 1;
        bool watches = false;
        std::uint64_t eventsDropped = 0;
    };

    struct Worker {
        std::unique_ptr<standin::WorkerModel> model;
        dispatch::WorkerListing listing;
    };

    void begin(std::size_t daemon);
    void tick(std::size_t daemon);
    void wake(std::size_t daemon);
    void deliver(std::size_t daemon,
                 std::uint64_t incarnation,
                 Milliseconds delay,
                 const std::function<void(dispatch::Inbox &)> &put);
    void readConfig(std::size_t daemon, std::uint64_t incarnation);
    void advanceWorkers();
    void onRunBegun(const standin::StartedRun &run);
    void onRunEnded(const standin::StartedRun &run, dispatch::RunEnd how);
    std::size_t indexOf(const std::string &worker) const;
    dispatch::JobSpec const *specOf(dispatch::JobId id) const;

    EventQueue m_queue;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Worker> m_workers;
    std::map<dispatch::CallHandle, dispatch::CallerResponse> m_responses;
    std::map<dispatch::JobId, dispatch::JobSpec> m_specs;
    std::map<dispatch::TaskName, std::map<std::string, std::size_t>> m_running; ///< By task, then by worker.
    std::map<dispatch::TaskName, std::size_t> m_starts;
    std::set<dispatch::TaskName> m_done; ///< Tasks that have succeeded.
    std::set<dispatch::JobId> m_cancelled;
    dispatch::CallHandle m_nextHandle = 1;
    std::size_t m_maxRunsPerWorker = 0;
};

/** Returns a configuration with one queue "q", one pool "p" and the teams "red" and "blue". */
dispatch::Configuration plainConfiguration();

/** Returns a step of equal tasks of one core. */
dispatch::StepSpec plainStep(std::uint32_t count, std::vector<std::uint32_t> after = {});

/** Returns a job of some steps. */
dispatch::JobSpec jobOf(std::vector<dispatch::StepSpec> steps);

/** Fails the test if the world has observed a violation. */
void assertNoViolations(const DispatchWorld &world);

} // namespace flamingotally::fakes
