/**
 * @file dispatch_world.h Entry daemons, a store, workers and a policy service under a virtual clock. What callers and
 * workers see is checked while it runs.
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

/** How the store treats calls. */
enum class StoreMode : std::uint8_t {
    Up,
    Down, ///< Refuses everything.
    Silent, ///< Answers nothing and does nothing.
    LosesAnswers, ///< Does every append and answers none.
    End,
};

/** How a worker treats orders. */
enum class LinkMode : std::uint8_t {
    Up,
    Cut, ///< Nothing arrives.
    Late, ///< Starts are carried out later and never answered.
    End,
};

/** A world in small. */
class DispatchWorld
{
public:
    /**
     * Makes daemons "d0" on and workers "w0" on, each worker in the domain of the same number.
     * @param daemons,workers How many.
     */
    DispatchWorld(std::size_t daemons, std::size_t workers);

    /** Runs for some time. */
    void run(Milliseconds time);

    /** Hands a job in at a daemon; the id counts from one. */
    dispatch::CallHandle submit(std::size_t daemon, dispatch::JobId id, dispatch::JobSpec spec);

    /** Hands a job in at a daemon, on the queue with some prefix. */
    dispatch::CallHandle
    submitTo(const std::string &prefix, std::size_t daemon, dispatch::JobId id, dispatch::JobSpec spec);

    /** Sends another call at a daemon. */
    dispatch::CallHandle call(std::size_t daemon, dispatch::CallVerb verb, dispatch::JobId id);

    /** Answer to a call; nothing while there is none. */
    std::optional<dispatch::CallerResponse> answerOf(dispatch::CallHandle handle) const;

    /** State of a job as a daemon tells it; fails when it gives none in time. */
    dispatch::JobPhase phaseAt(std::size_t daemon, dispatch::JobId id);

    /** Index of the daemon that owns; nothing when there is none or more than one. */
    std::optional<std::size_t> owner() const;

    void kill(std::size_t daemon);
    void startAgain(std::size_t daemon);
    void freeze(std::size_t daemon, Milliseconds time);

    dispatch::Entry &entry(std::size_t daemon)
    {
        return m_daemons[daemon]->entry;
    }

    standin::WorkerModel &worker(std::size_t n)
    {
        return *m_workers[n].model;
    }

    /** Runs that began for a task, over all workers. */
    std::size_t startsOf(const dispatch::TaskName &task) const;

    /** Worker on which a task runs; nothing when it runs nowhere. */
    std::optional<std::size_t> whereIs(const dispatch::TaskName &task) const;

    /** Most tasks that ran at once on any worker. */
    std::size_t mostOnOneWorker() const
    {
        return m_mostOnOneWorker;
    }

    Milliseconds now() const
    {
        return m_queue.now();
    }

    void listWorker(std::size_t n, bool draining);

    /** Puts a configuration in force, under the next version. */
    void publish(dispatch::Configuration next);

    standin::TopicModel topic; ///< The journal.
    std::map<dispatch::TaskName, std::vector<standin::RunScript>> scripts; ///< By run; the last one goes on.
    std::map<std::size_t, StoreMode> storeModes; ///< By daemon.
    std::map<std::size_t, LinkMode> linkModes; ///< By worker.
    std::set<std::size_t> readsNoConfig; ///< Daemons whose reads of the configuration fail.
    dispatch::Configuration configuration;
    std::vector<std::string> domainsOut;
    std::set<std::string> notAdvised; ///< Workers that the policy service refuses.
    std::map<dispatch::JobId, Milliseconds>
        adviceTimes; ///< Time of the policy service for a job; 20 ms when not named.
    std::size_t questionsToFail = 0; ///< So many of the next questions to the policy service are not answered.
    std::map<std::pair<dispatch::JobId, std::uint32_t>, Milliseconds> askedAt; ///< First question of a job's step.
    std::size_t recordsPerRead = std::numeric_limits<std::size_t>::max(); ///< Most that a read of the journal brings.
    Milliseconds storeDelay{0}; ///< Added to the answers of all appends.
    Milliseconds wallStep{0}; ///< Added to the wall clock of all daemons.

    /** Breaches of the promises, as they were seen. */
    std::vector<std::string> breaches;

private:
    friend class WorldPorts;

    struct Daemon {
        dispatch::Entry entry;
        bool alive = true;
        Milliseconds frozenUntil{0};
        Milliseconds wakeAt{0};
        std::uint64_t life = 1;
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
                 std::uint64_t life,
                 Milliseconds delay,
                 const std::function<void(dispatch::Inbox &)> &put);
    void readConfig(std::size_t daemon, std::uint64_t life);
    void advanceWorkers();
    void noteBegun(const standin::StartedRun &run);
    void noteEnded(const standin::StartedRun &run, dispatch::RunEnd how);
    std::size_t indexOf(const std::string &worker) const;
    dispatch::JobSpec const *specOf(dispatch::JobId id) const;

    EventQueue m_queue;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Worker> m_workers;
    std::map<dispatch::CallHandle, dispatch::CallerResponse> m_answers;
    std::map<dispatch::JobId, dispatch::JobSpec> m_specs;
    std::map<dispatch::TaskName, std::map<std::string, std::size_t>> m_running; ///< By task, then by worker.
    std::map<dispatch::TaskName, std::size_t> m_starts;
    std::set<dispatch::TaskName> m_done; ///< Tasks that were seen to end well.
    std::set<dispatch::JobId> m_cancelled;
    dispatch::CallHandle m_nextHandle = 1;
    std::size_t m_mostOnOneWorker = 0;
};

/** A configuration with one queue "q", one pool "p" and the teams "red" and "blue". */
dispatch::Configuration plainConfiguration();

/** A step of equal tasks of one core. */
dispatch::StepSpec plainStep(std::uint32_t count, std::vector<std::uint32_t> after = {});

/** A job of some steps. */
dispatch::JobSpec jobOf(std::vector<dispatch::StepSpec> steps);

/** Fails when the world has seen a promise broken. */
void assertKept(const DispatchWorld &world);

} // namespace flamingotally::fakes
