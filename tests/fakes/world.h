/**
 * @file world.h A cell under a virtual clock: the real daemon code with fake log, workers, host list, network and
 * callers. The same seed gives the same events. Uses no threads and no sockets.
 */
#pragma once

#include "fakes/fake_log.h"
#include "fakes/fake_worker.h"
#include "runtime.h"

#include <memory>
#include <random>
#include <set>

namespace flamingotally::fakes
{

constexpr Milliseconds hostListLag{1'000}; ///< Time before a change of hosts appears on the platform's list.

/** Layout of a world. */
struct WorldLayout {
    std::uint64_t seed = 1;
    std::size_t domains = 3;
    std::size_t daemonsPerDomain = 2;
    std::size_t workersPerDomain = 3;
    std::size_t racksPerDomain = 2;
    Resources workerTotal{16'000, 32'768, 0};
    Resources acceleratorWorkerTotal{16'000, 32'768, 4};
    std::size_t acceleratorEvery = 3; ///< One in this many workers has accelerators.
    Settings settings; ///< Settings of all daemons; names and addresses are filled in.
};

/** State of a daemon's process. */
enum class ProcessState : std::uint8_t {
    Down,
    Running,
    Paused,
    End,
};

class World;

/** All ports of one daemon, connected to its world. */
class DaemonPorts
{
public:
    DaemonPorts(World &world, std::size_t daemon) : m_world(world), m_daemon(daemon)
    {
    }

    MonotonicTime now() const;
    WallTime wallNow() const;
    void append(const Batch &batch);
    void readFrom(std::uint64_t offset);
    void sync(const WorkerSync &sync);
    void readHosts();
    void sendHeartbeat(const std::string &address, const Heartbeat &heartbeat);
    void fetchRecords(const std::string &address, std::uint64_t offset);
    void sendResponse(const CallerResponse &response);

private:
    World &m_world;
    std::size_t m_daemon;
};

/** Puts a message into the inbox of a node. The time is that of its arrival by the daemon's clock. */
using Delivery = std::function<void(Node &, MonotonicTime)>;

/** Process of an entry daemon. */
struct FakeDaemon {
    Settings settings;
    std::size_t domain = 0;
    ProcessState state = ProcessState::Down;
    std::unique_ptr<Node> node; ///< Null while the process is down.
    /** Increases when a process starts or ends; messages for an earlier process are dropped. */
    std::uint64_t incarnation = 0;
    Milliseconds clockOffset{0}; ///< Offset of the daemon's monotonic clock from the virtual clock.
    Milliseconds startedAt{0};
    bool pausesInTick = false; ///< Whether the next tick pauses the process before its messages are sent.
    bool isStopping = false; ///< Whether a planned stop has begun.
    bool isTickQueued = false; ///< Whether a tick is in the event queue.
    std::uint64_t timer = 0; ///< Number of the current timer; earlier timers are ignored.
    std::uint64_t ticks = 0;
    std::uint64_t messages = 0; ///< Requests and datagrams sent by all processes of the daemon.
    std::vector<Delivery> queuedDeliveries; ///< Messages that arrived while the process was paused.
    std::vector<EventFunction> queuedSends; ///< Messages of the tick in which the process was paused.
    std::set<std::size_t> openCalls; ///< Indexes in the journal of calls without a response.
};

/** Faults and delays of all network links. */
struct NetworkFaults {
    double heartbeatLoss = 0; ///< Fraction of heartbeats that are lost.
    double late = 0; ///< Fraction of messages that arrive late and thus out of order.
    Milliseconds lateBy{3'000}; ///< Longest additional delay of late messages.
    Milliseconds delay{1};
};

/** A simulated cell. */
class World
{
public:
    explicit World(const WorldLayout &layout);

    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /** Lets virtual time pass. */
    void runFor(Milliseconds time);

    /** Starts the process of a daemon that is down. */
    void startDaemon(std::size_t daemon);
    void killDaemon(std::size_t daemon);

    /** Pauses the process of a daemon, at once or in its next tick, before the messages of that tick are sent. */
    void pauseDaemon(std::size_t daemon, bool inTick);
    void resumeDaemon(std::size_t daemon);

    /** Stops a daemon in a planned way: the daemon drains, then its process ends. */
    void stopDaemon(std::size_t daemon);

    void killWorker(std::size_t worker);
    void bootWorker(std::size_t worker);
    /** Sets whether the host list marks a worker as leaving. */
    void setLeaving(std::size_t worker, bool isLeaving);

    /** Cuts or restores the link between two failure domains, or between a failure domain and the platform. */
    void setCut(std::size_t one, std::size_t other, bool cut);
    bool isCut(std::size_t one, std::size_t other) const;

    /** Returns the index of the platform as an end of a link. */
    std::size_t platform() const
    {
        return m_layout.domains;
    }

    void setLogMode(LogMode mode);

    /**
     * Ends all faults of links, log and network. Resumes or starts all daemons and workers, and clears all leaving
     * marks.
     */
    void endFaults();

    /**
     * Sends a request to a daemon.
     * @param daemon Index of the daemon.
     * @param key Digest of the key, if any.
     * @param action The action.
     * @return Index of the call in the journal.
     */
    std::size_t call(std::size_t daemon, std::optional<KeyDigest> key, CallerAction action);

    std::size_t domainOfWorker(std::size_t worker) const;

    /** Makes a request id issued now. */
    RequestId makeId();

    /**
     * Returns the state of a job in the tables of a daemon that is not down; nothing if they do not contain the job.
     */
    std::optional<JobView> showJob(std::size_t daemon, const RequestId &request) const;

    /** Returns the index of a serving daemon; the number of daemons if none is serving. */
    std::size_t servingDaemon() const;

    Milliseconds now() const
    {
        return queue.now();
    }

    WallTime wallNow() const;

    const WorldLayout &layout() const
    {
        return m_layout;
    }

    /** Returns the name of a failure domain. */
    static std::string domainName(std::size_t domain);

    EventQueue queue;
    Journal journal;
    FakeLog log;
    NetworkFaults network;
    std::vector<FakeDaemon> daemons;
    std::vector<std::unique_ptr<FakeWorker>> workers;
    std::mt19937_64 random;

private:
    friend class DaemonPorts;

    bool chance(double probability);
    Milliseconds linkDelay();
    void deliver(std::size_t daemon, std::uint64_t incarnation, Delivery delivery);
    void send(std::size_t daemon, EventFunction function);
    void wake(std::size_t daemon);
    void tickDaemon(std::size_t daemon, std::uint64_t incarnation);
    void setTimer(std::size_t daemon);
    void endProcess(std::size_t daemon, bool isPlanned);
    void finishCall(std::size_t call, CallState state);
    void acceptCall(std::size_t call);
    void publishHosts();

    WorldLayout m_layout;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::vector<HostRow> m_visibleHosts; ///< Host list that the platform shows to daemons, hostListLag late.
};

/** Returns the digest of the bootstrap operator's key. */
KeyDigest operatorKey();

/** Returns the digest of the key with a number. */
KeyDigest testKey(std::uint8_t number);

} // namespace flamingotally::fakes
