/**
 * @file world.h A cell under a virtual clock: real daemons over fake log, workers, host list, network and callers.
 * One seed gives one course of events. No threads, no sockets.
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

constexpr Milliseconds hostListLag{1'000}; ///< Before a change of hosts shows on the platform's list.

/** How a world is laid out. */
struct WorldLayout {
    std::uint64_t seed = 1;
    std::size_t domains = 3;
    std::size_t daemonsPerDomain = 2;
    std::size_t workersPerDomain = 3;
    std::size_t racksPerDomain = 2;
    Resources workerTotal{16'000, 32'768, 0};
    Resources acceleratorWorkerTotal{16'000, 32'768, 4};
    std::size_t acceleratorEvery = 3; ///< Each worker of this number has accelerators.
    Settings settings; ///< For every daemon; names and addresses are filled in.
};

/** Life of a daemon's process. */
enum class ProcessState : std::uint8_t {
    Down,
    Running,
    Paused,
    End,
};

class World;

/** All ports of one daemon, into its world. */
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
    void answer(const CallerResponse &answer);

private:
    World &m_world;
    std::size_t m_daemon;
};

/** Takes a message into a daemon: into its inbox, stamped with its clock. */
using Delivery = std::function<void(Node &, MonotonicTime)>;

/** One entry daemon's process. */
struct FakeDaemon {
    Settings settings;
    std::size_t domain = 0;
    ProcessState state = ProcessState::Down;
    std::unique_ptr<Node> node; ///< Empty while down.
    std::uint64_t life = 0; ///< Number of the process; messages for an earlier one are dropped.
    Milliseconds clockOffset{0}; ///< Of its monotonic clock.
    Milliseconds startedAt{0};
    bool pauseInTick = false; ///< Pause after the next tick has decided and before it has sent.
    bool stopping = false;
    bool tickQueued = false;
    std::uint64_t timer = 0; ///< Number of the timer that counts.
    std::uint64_t ticks = 0;
    std::uint64_t messages = 0; ///< Requests and datagrams that it has sent, over all its lives.
    std::vector<Delivery> heldDeliveries; ///< In its socket buffers while paused.
    std::vector<EventFunction> heldSends;
    std::set<std::size_t> openCalls;
};

/** Switches of the network, for all links. */
struct NetworkFaults {
    double heartbeatLoss = 0; ///< Share of heartbeats lost.
    double late = 0; ///< Share of messages that come late, and so out of order.
    Milliseconds lateBy{3'000}; ///< Longest delay of those.
    Milliseconds delay{1};
};

/** The cell. */
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
    void pauseDaemon(std::size_t daemon, bool inTick);
    void resumeDaemon(std::size_t daemon);

    /** Planned stop: the daemon drains, and goes down once it has drained. */
    void stopDaemon(std::size_t daemon);

    void killWorker(std::size_t worker);
    void bootWorker(std::size_t worker);
    void setLeaving(std::size_t worker, bool leaving);

    /** Cuts or mends the link between two failure domains, or one and the platform. */
    void setCut(std::size_t one, std::size_t other, bool cut);
    bool isCut(std::size_t one, std::size_t other) const;

    /** Place of the platform among the ends of links. */
    std::size_t platform() const
    {
        return m_layout.domains;
    }

    void setLogMode(LogMode mode);

    /** Ends every fault: links, log, network, pauses; starts what is down. */
    void endFaults();

    /**
     * Sends a request to a daemon.
     * @param daemon Index of the daemon.
     * @param key Digest of the key, if any.
     * @param action What is asked.
     * @return Place of the call in the journal.
     */
    std::size_t call(std::size_t daemon, std::optional<KeyDigest> key, CallerAction action);

    std::size_t domainOfWorker(std::size_t worker) const;

    /** Makes a request id issued now. */
    RequestId makeId();

    /** What a daemon that runs shows of a job; nothing when it does not know it. */
    std::optional<JobView> showJob(std::size_t daemon, const RequestId &request) const;

    /** Index of a daemon that serves; the number of daemons when none does. */
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

    /** Name of a failure domain, by its index. */
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

    bool chance(double share);
    Milliseconds linkDelay();
    void deliver(std::size_t daemon, std::uint64_t life, Delivery delivery);
    void send(std::size_t daemon, EventFunction function);
    void wake(std::size_t daemon);
    void tickDaemon(std::size_t daemon, std::uint64_t life);
    void setTimer(std::size_t daemon);
    void endProcess(std::size_t daemon, bool planned);
    void finishCall(std::size_t call, CallState state);
    void takeCall(std::size_t call);
    void publishHosts();

    WorldLayout m_layout;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::vector<HostRow> m_visibleHosts; ///< The host list, which lags.
};

/** Digest of the bootstrap operator's key. */
KeyDigest operatorKey();

/** Digest of the key of a number. */
KeyDigest testKey(std::uint8_t number);

} // namespace flamingotally::fakes
