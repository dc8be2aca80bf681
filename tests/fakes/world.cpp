#include "fakes/world.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace flamingotally::fakes
{

namespace
{
constexpr Milliseconds wallEpoch{1'796'000'000'000}; ///< Wall time at the start of the world.
constexpr std::uint8_t operatorKeyNumber = 255;

std::string hex(const KeyDigest &digest)
{
    std::string text;
    for (const auto it : digest) {
        text += fmt::format("{:02x}", it);
    }
    return text;
}
} // namespace

KeyDigest testKey(std::uint8_t number)
{
    KeyDigest digest;
    digest.fill(number);
    return digest;
}

KeyDigest operatorKey()
{
    return testKey(operatorKeyNumber);
}

std::string World::domainName(std::size_t domain)
{
    return fmt::format("domain-{}", domain);
}

World::World(const WorldLayout &layout) : log(queue), random(layout.seed), m_layout(layout)
{
    for (std::size_t n = 0; n < layout.domains * layout.daemonsPerDomain; ++n) {
        auto &it = daemons.emplace_back();
        it.domain = n / layout.daemonsPerDomain;
        it.settings = layout.settings;
        it.settings.name = fmt::format("entry-{}", n);
        it.settings.domain = domainName(it.domain);
        it.settings.peerAddress = fmt::format("127.0.0.1:{}", 7'000 + n);
        it.settings.httpAddress = fmt::format("127.0.0.1:{}", 8'000 + n);
        it.settings.operatorKeyDigest = hex(operatorKey());
        it.clockOffset = Milliseconds{100'000 + static_cast<std::int64_t>(random() % 1'000'000)};
    }
    for (std::size_t n = 0; n < layout.domains * layout.workersPerDomain; ++n) {
        const auto domain = n / layout.workersPerDomain;
        const auto rack = fmt::format("rack-{}-{}", domain, n % layout.racksPerDomain);
        HostRow row{fmt::format("worker-{}", n), fmt::format("127.0.0.1:{}", 9'000 + n), domainName(domain), rack};
        const bool hasAccelerators = n % layout.acceleratorEvery == layout.acceleratorEvery - 1;
        const auto &total = hasAccelerators ? layout.acceleratorWorkerTotal : layout.workerTotal;
        workers.push_back(std::make_unique<FakeWorker>(queue, journal, n, row, total));
        workers.back()->clockOffset = Milliseconds{100'000 + static_cast<std::int64_t>(random() % 1'000'000)};
    }
    publishHosts();
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        startDaemon(n);
    }
}

void World::runFor(Milliseconds time)
{
    const auto until = queue.now() + time;
    while (queue.runNext(until)) { }
}

WallTime World::wallNow() const
{
    return WallTime{wallEpoch + queue.now()};
}

bool World::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(random) < probability;
}

Milliseconds World::linkDelay()
{
    if (chance(network.late)) {
        return network.delay + Milliseconds{static_cast<std::int64_t>(random() % network.lateBy.count())};
    }
    return network.delay;
}

void World::setCut(std::size_t one, std::size_t other, bool cut)
{
    const auto link = std::minmax(one, other);
    if (cut) {
        m_cutLinks.insert(link);
    } else {
        m_cutLinks.erase(link);
    }
}

bool World::isCut(std::size_t one, std::size_t other) const
{
    return m_cutLinks.contains(std::minmax(one, other));
}

void World::setLogMode(LogMode mode)
{
    log.faults.mode = mode;
    if (mode != LogMode::Up) {
        log.failWaitingReads();
    }
}

void World::endFaults()
{
    m_cutLinks.clear();
    setLogMode(LogMode::Up);
    log.faults = LogFaults{.retention = log.faults.retention, .encode = log.faults.encode};
    network = NetworkFaults{};
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        resumeDaemon(n);
        startDaemon(n);
    }
    for (std::size_t n = 0; n < workers.size(); ++n) {
        workers[n]->setPaused(false);
        workers[n]->failsAll = false;
        bootWorker(n);
        setLeaving(n, false);
    }
}

// Processes ---------------------------------------------------------------------------------------------------------

void World::startDaemon(std::size_t daemon)
{
    auto &it = daemons[daemon];
    if (it.state != ProcessState::Down) {
        return;
    }
    it.state = ProcessState::Running;
    it.startedAt = now();
    it.isStopping = false;
    it.pausesInTick = false;
    it.isTickQueued = false;
    ++it.incarnation;
    it.node = std::make_unique<Node>();
    it.node->settings = it.settings;
    it.node->incarnation = static_cast<std::uint64_t>(wallNow().time_since_epoch().count()) + it.incarnation;
    it.node->random.seed(random());
    wake(daemon);
}

void World::killDaemon(std::size_t daemon)
{
    endProcess(daemon, false);
}

void World::stopDaemon(std::size_t daemon)
{
    if (auto &it = daemons[daemon]; it.state == ProcessState::Running && !it.isStopping) {
        it.isStopping = true;
        it.node->phase = NodePhase::Draining;
        wake(daemon);
    }
}

void World::endProcess(std::size_t daemon, bool isPlanned)
{
    auto &it = daemons[daemon];
    if (it.state == ProcessState::Down) {
        return;
    }
    it.state = ProcessState::Down;
    ++it.incarnation;
    it.node.reset();
    it.queuedDeliveries.clear();
    it.queuedSends.clear();
    for (auto calls = std::exchange(it.openCalls, {}); const auto call : calls) {
        journal.calls[call].wasCutByStop = isPlanned;
        finishCall(call, CallState::Cut);
    }
}

void World::pauseDaemon(std::size_t daemon, bool inTick)
{
    if (auto &it = daemons[daemon]; it.state == ProcessState::Running) {
        it.pausesInTick = inTick;
        it.state = inTick ? ProcessState::Running : ProcessState::Paused;
    }
}

void World::resumeDaemon(std::size_t daemon)
{
    auto &it = daemons[daemon];
    it.pausesInTick = false;
    if (it.state != ProcessState::Paused) {
        return;
    }
    it.state = ProcessState::Running;
    for (auto sends = std::exchange(it.queuedSends, {}); const auto &function : sends) {
        function();
    }
    for (auto queued = std::exchange(it.queuedDeliveries, {}); const auto &delivery : queued) {
        delivery(*it.node, MonotonicTime{now() + it.clockOffset});
    }
    wake(daemon);
}

void World::wake(std::size_t daemon)
{
    if (auto &it = daemons[daemon]; !it.isTickQueued) {
        it.isTickQueued = true;
        queue.at(now(), [this, daemon, incarnation = it.incarnation] { tickDaemon(daemon, incarnation); });
    }
}

void World::tickDaemon(std::size_t daemon, std::uint64_t incarnation)
{
    auto &it = daemons[daemon];
    if (it.incarnation != incarnation || it.state != ProcessState::Running) {
        it.isTickQueued = it.incarnation != incarnation && it.isTickQueued;
        return;
    }
    it.isTickQueued = false;
    if (it.pausesInTick) {
        it.state = ProcessState::Paused; // the messages of this tick are queued until the daemon resumes
    }
    ++it.ticks;
    DaemonPorts ports(*this, daemon);
    runTick(*it.node, ports, ports, ports, ports, ports, ports);
    if (it.node && it.node->phase == NodePhase::Drained && it.state == ProcessState::Running) {
        endProcess(daemon, true);
        return;
    }
    setTimer(daemon);
}

void World::setTimer(std::size_t daemon)
{
    auto &it = daemons[daemon];
    const auto due = it.node->nextWake.time_since_epoch() - it.clockOffset;
    queue.at(std::max(due, now() + Milliseconds{1}), [this, daemon, incarnation = it.incarnation, timer = ++it.timer] {
        if (daemons[daemon].incarnation == incarnation && daemons[daemon].timer == timer) {
            wake(daemon);
        }
    });
}

void World::deliver(std::size_t daemon, std::uint64_t incarnation, Delivery delivery)
{
    auto &it = daemons[daemon];
    if (it.incarnation != incarnation || it.state == ProcessState::Down) {
        return;
    }
    if (it.state == ProcessState::Paused) {
        it.queuedDeliveries.push_back(std::move(delivery));
        return;
    }
    delivery(*it.node, MonotonicTime{now() + it.clockOffset});
    wake(daemon);
}

void World::send(std::size_t daemon, EventFunction function)
{
    if (daemons[daemon].state == ProcessState::Paused) {
        daemons[daemon].queuedSends.push_back(std::move(function));
    } else {
        function();
    }
}

// Hosts -------------------------------------------------------------------------------------------------------------

void World::killWorker(std::size_t worker)
{
    workers[worker]->kill();
    publishHosts();
}

void World::bootWorker(std::size_t worker)
{
    workers[worker]->boot();
    publishHosts();
}

void World::setLeaving(std::size_t worker, bool isLeaving)
{
    if (isLeaving != (workers[worker]->leavingSince != notYet)) {
        workers[worker]->leavingSince = isLeaving ? now() : notYet;
    }
    publishHosts();
}

void World::publishHosts()
{
    std::vector<HostRow> rows;
    for (const auto &it : daemons) {
        rows.push_back({it.settings.name, it.settings.peerAddress, it.settings.domain, "", HostRole::Entry, false});
    }
    for (const auto &it : workers) {
        rows.push_back(it->row());
        rows.back().leaving = it->leavingSince != notYet;
    }
    const auto lag = m_visibleHosts.empty() ? Milliseconds{0} : hostListLag;
    queue.after(lag, [this, rows = std::move(rows)] { m_visibleHosts = rows; });
}

std::size_t World::domainOfWorker(std::size_t worker) const
{
    return worker / m_layout.workersPerDomain;
}

// Callers -----------------------------------------------------------------------------------------------------------

std::size_t World::call(std::size_t daemon, std::optional<KeyDigest> key, CallerAction action)
{
    const auto index = journal.calls.size();
    auto &call = journal.calls.emplace_back();
    call.daemon = daemon;
    call.request = {index + 1, key, std::move(action)};
    call.sentAt = now();
    journal.observations.push_back({now(), ObservationKind::CallSent, index});
    queue.after(network.delay, [this, index] { acceptCall(index); });
    return index;
}

void World::acceptCall(std::size_t call)
{
    const auto daemon = journal.calls[call].daemon;
    auto &it = daemons[daemon];
    if (it.state == ProcessState::Down) {
        finishCall(call, CallState::NotSent);
        return;
    }
    it.openCalls.insert(call);
    deliver(daemon, it.incarnation, [request = journal.calls[call].request](Node &node, MonotonicTime) {
        node.inbox.callerRequests.push_back(request);
    });
}

void World::finishCall(std::size_t call, CallState state)
{
    journal.calls[call].state = state;
    journal.calls[call].answeredAt = now();
    journal.observations.push_back({now(), ObservationKind::CallAnswered, call});
}

RequestId World::makeId()
{
    return makeRequestId(wallNow(), random(), random());
}

std::size_t World::servingDaemon() const
{
    const auto isServing = [](const FakeDaemon &it) {
        return it.state == ProcessState::Running && it.node->phase == NodePhase::Serving;
    };
    return static_cast<std::size_t>(std::ranges::find_if(daemons, isServing) - daemons.begin());
}

std::optional<JobView> World::showJob(std::size_t daemon, const RequestId &request) const
{
    const auto &tables = daemons[daemon].node->tables;
    const auto row = findRef(tables.lookups.requests, request);
    if (!row.isSet()) {
        return std::nullopt;
    }
    const auto &record = tables.requests.get<RequestRecord>(row);
    if (!tables.jobs.contains(record.job)) {
        return JobView{"", record.outcome, {}};
    }
    JobView view;
    const auto &state = tables.jobs.get<JobState>(record.job);
    view.team = tables.teams.get<TeamIdentity>(tables.jobs.get<JobIdentity>(record.job).team).name;
    view.outcome = state.outcome;
    for (const auto it : state.tasks) {
        view.tasks.push_back({tables.tasks.get<TaskState>(it).outcome, tables.tasks.get<TaskResult>(it)});
    }
    return view;
}

} // namespace flamingotally::fakes
