#include "net/daemon.h"

#include "net/clock.h"
#include "net/front.h"
#include "net/host_list_client.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/log_client.h"
#include "net/log_line.h"
#include "net/peer_channel.h"
#include "net/server_start.h"
#include "net/tick_loop.h"
#include "net/worker_client.h"
#include "runtime.h"
#include "table/node_table.h"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include <random>

namespace flamingotally
{

namespace
{

/** Limit of the total size of the log records that are retained for peers. */
constexpr std::size_t maxRecordBytes = 4 * 1024 * 1024;

HttpServerSettings serverSettingsOf(const Settings &settings)
{
    HttpServerSettings it;
    it.maxBodyBytes = settings.maxBodyBytes;
    it.requestTimeout = settings.requestTimeout;
    return it;
}

/** Values that were last written to the diagnostic log; see logChanges(). */
struct LoggedState {
    NodePhase phase = NodePhase::CatchingUp;
    bool isFresh = false;
    std::uint64_t digestMismatches = 0;
};

} // namespace

struct Daemon::State {
    State(boost::asio::io_context &io, Node initialNode, std::function<void()> whenStopped);

    MonotonicTime tickOnce();
    void logChanges();
    void finishStart(const absl::Status &status);
    void drain();
    void stop();
    PortContext makeContext();
    FrontPorts makeFrontPorts();

    Node node;
    SystemClock clock;
    Logger logger;
    std::function<void()> notifyStopped;
    LoggedState logged;
    bool isDraining = false;
    TickLoop loop;
    HttpClient http;
    RecordRing records{maxRecordBytes};
    HttpLogClient log;
    HttpWorkerClient workers;
    HttpHostList hosts;
    AsioPeerChannel peers;
    Front front;
    HttpServer server;
    ServerStart serverStart;
    absl::Status outcome; ///< Error for which the start was given up.
};

Daemon::State::State(boost::asio::io_context &io, Node initialNode, std::function<void()> whenStopped)
    : node(std::move(initialNode)), logger(node.settings.logLevel), notifyStopped(std::move(whenStopped)),
      loop(io, [this] { return tickOnce(); }), http(io), log(makeContext()), workers(makeContext()),
      hosts(makeContext()), peers(io, makeContext()), front(node, makeFrontPorts()),
      server(io,
             serverSettingsOf(node.settings),
             [this](const HttpRequest &request, HttpResponder respond) { front.handle(request, std::move(respond)); }),
      serverStart(io, node.settings.name, node.settings.addressTimeout)
{
    serverStart.add(node.settings.peerAddress, peers);
    serverStart.add(node.settings.httpAddress, server);
}

PortContext Daemon::State::makeContext()
{
    return {http, node.settings, node.inbox, node.counters, records, clock, [this] {
                loop.wake();
            }};
}

FrontPorts Daemon::State::makeFrontPorts()
{
    FrontPorts ports;
    ports.now = [this] {
        return clock.now();
    };
    ports.wake = [this] {
        loop.wake();
    };
    ports.send = [this](HttpCall call, HttpCallback callback) {
        http.send(std::move(call), std::move(callback));
    };
    return ports;
}

/** Runs one tick, logs changes, and continues a shutdown that is in progress. Returns the time of the next tick. */
MonotonicTime Daemon::State::tickOnce()
{
    runTick(node, clock, log, workers, hosts, peers, front);
    logChanges();
    if (node.phase == NodePhase::Drained) {
        stop();
    } else if (node.phase == NodePhase::Draining) {
        drain();
    }
    return node.nextWake;
}

/** Writes changes of the phase, changes of the view's freshness and new digest mismatches to the diagnostic log. */
void Daemon::State::logChanges()
{
    const auto offset = std::to_string(node.tables.position.nextOffset);
    if (std::exchange(logged.phase, node.phase) != node.phase) {
        const auto level = node.phase == NodePhase::Serving ? LogLevel::Info : LogLevel::Warning;
        logger.write({level, Step::End, "", "phase changed"},
                     {{"phase", std::string(nameOf(nodePhaseTable, node.phase))}, {"offset", offset}});
    }
    if (std::exchange(logged.isFresh, node.view.fresh) != node.view.fresh) {
        const auto level = node.view.fresh ? LogLevel::Info : LogLevel::Warning;
        const auto *message = node.view.fresh ? "view is fresh" : "view is stale: older than the setting fenceMs";
        logger.write({level, Step::ReadLog, node.settings.logAddress, message}, {{"offset", offset}});
    }
    if (std::exchange(logged.digestMismatches, node.counters.digestMismatches) != node.counters.digestMismatches) {
        logger.write(
            {LogLevel::Error, Step::Heartbeat, "", "table digest differs from that of a peer at the same offset"},
            {{"offset", offset}});
    }
}

/** Begins to serve once all addresses are taken, or stops without having served. */
void Daemon::State::finishStart(const absl::Status &status)
{
    outcome = status;
    if (!status.ok()) {
        if (const auto callback = std::exchange(notifyStopped, nullptr)) {
            callback();
        }
        return;
    }
    node.isFrontOpen = true;
    if (node.incarnation == 0) {
        // later than that of each daemon which has had these addresses before
        node.incarnation = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    }
    logger.write({LogLevel::Info, Step::Listen, "", "started"},
                 {{"daemon", node.settings.name},
                  {"domain", node.settings.domain},
                  {"http", server.address()},
                  {"incarnation", std::to_string(node.incarnation)}});
    loop.wake();
}

/** Drains the HTTP server; Node::isFrontOpen becomes false once the server has drained. Further calls do nothing. */
void Daemon::State::drain()
{
    if (std::exchange(isDraining, true)) {
        return;
    }
    server.drain([this] {
        node.isFrontOpen = false;
        loop.wake();
    });
}

void Daemon::State::stop()
{
    loop.stop();
    server.close();
    peers.close();
    logger.write({LogLevel::Info, Step::Shutdown, "", "stopped"}, {{"daemon", node.settings.name}});
    if (const auto callback = std::exchange(notifyStopped, nullptr)) {
        callback();
    }
}

Daemon::Daemon(std::unique_ptr<State> state) : m_state(std::move(state))
{
}

Daemon::~Daemon() = default;

absl::Status Daemon::start()
{
    m_state->serverStart.start([this](const absl::Status &status) { m_state->finishStart(status); });
    return m_state->outcome;
}

absl::Status Daemon::outcome() const
{
    return m_state->outcome;
}

void Daemon::drain()
{
    auto &state = *m_state;
    if (!state.node.isFrontOpen && state.node.phase == NodePhase::CatchingUp) {
        state.serverStart.cancel();
        state.stop();
        return;
    }
    if (state.node.phase != NodePhase::Drained) {
        state.node.phase = NodePhase::Draining;
        state.loop.wake();
    }
}

std::string Daemon::httpAddress() const
{
    return m_state->server.address();
}

DaemonBuilder &DaemonBuilder::withIncarnation(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    return *this;
}

DaemonBuilder &DaemonBuilder::withSeed(std::uint64_t seed)
{
    m_seed = seed;
    return *this;
}

DaemonBuilder &DaemonBuilder::whenStopped(std::function<void()> function)
{
    m_notifyStopped = std::move(function);
    return *this;
}

std::unique_ptr<Daemon> DaemonBuilder::build(boost::asio::io_context &io) const
{
    Node node;
    node.settings = m_settings;
    node.incarnation = m_incarnation;
    node.random.seed(m_seed != 0 ? m_seed : std::random_device()());
    return std::unique_ptr<Daemon>(new Daemon(std::make_unique<Daemon::State>(io, std::move(node), m_notifyStopped)));
}

} // namespace flamingotally
