#include "fakes/world.h"

#include <algorithm>
#include <utility>

namespace flamingotally::fakes
{

namespace
{

constexpr Milliseconds exchangeTimeout{2'000}; ///< Time-out of requests to the platform or a peer.

} // namespace

MonotonicTime DaemonPorts::now() const
{
    return MonotonicTime{m_world.now() + m_world.daemons[m_daemon].clockOffset};
}

WallTime DaemonPorts::wallNow() const
{
    return m_world.wallNow();
}

void DaemonPorts::append(const Batch &batch)
{
    ++m_world.daemons[m_daemon].messages;
    auto &world = m_world;
    const auto daemon = m_daemon;
    const auto incarnation = world.daemons[daemon].incarnation;
    world.send(daemon, [&world, daemon, incarnation, batch] {
        const auto domain = world.daemons[daemon].domain;
        const auto answered = std::make_shared<bool>(false);
        const auto respond = [&world, daemon, incarnation, answered, sequence = batch.sequence](AppendOutcome outcome) {
            if (std::exchange(*answered, true) && outcome == AppendOutcome::Unknown) {
                return;
            }
            world.deliver(daemon, incarnation, [=](Node &node, MonotonicTime) {
                node.inbox.appendResponses.push_back({sequence, outcome});
            });
        };
        world.queue.after(world.daemons[daemon].settings.appendTimeout, [respond] { respond(AppendOutcome::Unknown); });
        if (world.isCut(domain, world.platform()) || world.log.faults.mode == LogMode::Silent) {
            return;
        }
        if (world.log.faults.mode == LogMode::Refusing || world.chance(world.log.faults.refusal)) {
            world.queue.after(world.linkDelay(), [respond] { respond(AppendOutcome::Refused); });
            return;
        }
        world.queue.after(world.linkDelay() + world.log.faults.appendLatency, [&world, domain, respond, batch] {
            if (world.log.faults.mode != LogMode::Up) {
                return;
            }
            world.log.store(batch);
            if (!world.chance(world.log.faults.responseLoss) && !world.isCut(domain, world.platform())) {
                world.queue.after(world.linkDelay(), [respond] { respond(AppendOutcome::Stored); });
            }
        });
    });
}

void DaemonPorts::readFrom(std::uint64_t offset)
{
    ++m_world.daemons[m_daemon].messages;
    auto &world = m_world;
    const auto daemon = m_daemon;
    const auto incarnation = world.daemons[daemon].incarnation;
    const auto requestedAt = now();
    world.send(daemon, [&world, daemon, incarnation, requestedAt, offset] {
        const auto domain = world.daemons[daemon].domain;
        const auto wait = world.daemons[daemon].settings.logPoll;
        const auto respond =
            [&world, daemon, incarnation, requestedAt, done = std::make_shared<bool>(false)](LogRead read) {
                if (!std::exchange(*done, true)) {
                    read.requestedAt = requestedAt;
                    world.deliver(daemon, incarnation, [read = std::move(read)](Node &node, MonotonicTime) {
                        node.inbox.logReads.push_back(read);
                    });
                }
            };
        LogRead failed;
        failed.failed = true;
        world.queue.after(wait + exchangeTimeout, [respond, failed] { respond(failed); });
        if (world.log.faults.mode == LogMode::Refusing) {
            world.queue.after(world.linkDelay(), [respond, failed] { respond(failed); });
        }
        if (world.isCut(domain, world.platform()) || world.log.faults.mode != LogMode::Up) {
            return;
        }
        world.queue.after(world.linkDelay(), [&world, domain, wait, offset, respond] {
            world.log.read(offset, wait, [&world, domain, respond](const LogRead &read) {
                if (!world.isCut(domain, world.platform()) && world.log.faults.mode == LogMode::Up) {
                    world.queue.after(world.linkDelay(), [respond, read] { respond(read); });
                }
            });
        });
    });
}

void DaemonPorts::sync(const WorkerSync &sync)
{
    ++m_world.daemons[m_daemon].messages;
    auto &world = m_world;
    const auto daemon = m_daemon;
    const auto incarnation = world.daemons[daemon].incarnation;
    const auto isWorker = [&](const auto &it) {
        return it->row().name == sync.worker;
    };
    const auto worker = static_cast<std::size_t>(std::ranges::find_if(world.workers, isWorker) - world.workers.begin());
    if (worker == world.workers.size()) {
        return;
    }
    world.send(daemon, [&world, daemon, incarnation, worker, sync] {
        const auto domain = world.daemons[daemon].domain;
        const bool hadWait = sync.wait > Milliseconds{0};
        const auto respond = [&world, daemon, incarnation, hadWait, done = std::make_shared<bool>(false)](
                                 WorkerReport report) {
            if (!std::exchange(*done, true)) {
                report.hadWait = hadWait;
                world.deliver(daemon, incarnation, [report = std::move(report)](Node &node, MonotonicTime receivedAt) {
                    node.inbox.workerReports.push_back(report);
                    node.inbox.workerReports.back().receivedAt = receivedAt;
                });
            }
        };
        WorkerReport failed;
        failed.worker = sync.worker;
        failed.failed = true;
        const auto timeout = sync.wait + world.daemons[daemon].settings.workerTimeout;
        world.queue.after(timeout, [respond, failed] { respond(failed); });
        const auto workerDomain = world.domainOfWorker(worker);
        if (world.isCut(domain, workerDomain)) {
            return;
        }
        world.queue.after(world.linkDelay(), [&world, domain, workerDomain, worker, sync, respond] {
            if (world.isCut(domain, workerDomain)) {
                return;
            }
            world.workers[worker]->sync(sync, [&world, domain, workerDomain, respond](const WorkerReport &report) {
                if (!world.isCut(domain, workerDomain)) {
                    world.queue.after(world.linkDelay(), [respond, report] { respond(report); });
                }
            });
        });
    });
}

void DaemonPorts::readHosts()
{
    ++m_world.daemons[m_daemon].messages;
    auto &world = m_world;
    const auto daemon = m_daemon;
    const auto incarnation = world.daemons[daemon].incarnation;
    world.send(daemon, [&world, daemon, incarnation] {
        const bool failed =
            world.isCut(world.daemons[daemon].domain, world.platform()) || world.log.faults.mode != LogMode::Up;
        world.queue.after(failed ? exchangeTimeout : 2 * world.linkDelay(), [&world, daemon, incarnation, failed] {
            HostListRead read{failed ? std::vector<HostRow>{} : world.m_visibleHosts, failed};
            world.deliver(daemon, incarnation, [read = std::move(read)](Node &node, MonotonicTime) {
                node.inbox.hostLists.push_back(read);
            });
        });
    });
}

void DaemonPorts::sendHeartbeat(const std::string &address, const Heartbeat &heartbeat)
{
    ++m_world.daemons[m_daemon].messages;
    auto &world = m_world;
    const auto sender = m_daemon;
    const auto isPeer = [&](const FakeDaemon &it) {
        return it.settings.peerAddress == address;
    };
    const auto peer = static_cast<std::size_t>(std::ranges::find_if(world.daemons, isPeer) - world.daemons.begin());
    if (peer == world.daemons.size()) {
        return;
    }
    world.send(sender, [&world, sender, peer, heartbeat] {
        const auto from = world.daemons[sender].domain;
        if (world.isCut(from, world.daemons[peer].domain) || world.chance(world.network.heartbeatLoss)) {
            return;
        }
        world.queue.after(world.linkDelay(), [&world, peer, heartbeat] {
            world.deliver(peer, world.daemons[peer].incarnation, [heartbeat](Node &node, MonotonicTime receivedAt) {
                node.inbox.heartbeats.push_back({heartbeat, receivedAt});
            });
        });
    });
}

void DaemonPorts::fetchRecords(const std::string &address, std::uint64_t offset)
{
    ++m_world.daemons[m_daemon].messages;
    auto &world = m_world;
    const auto daemon = m_daemon;
    const auto incarnation = world.daemons[daemon].incarnation;
    const auto isPeer = [&](const FakeDaemon &it) {
        return it.settings.peerAddress == address;
    };
    const auto peer = static_cast<std::size_t>(std::ranges::find_if(world.daemons, isPeer) - world.daemons.begin());
    if (peer == world.daemons.size()) {
        return;
    }
    world.send(daemon, [&world, daemon, incarnation, peer, offset] {
        const auto respond = [&world, daemon, incarnation](LogRead read) {
            world.deliver(daemon, incarnation, [read = std::move(read)](Node &node, MonotonicTime) {
                node.inbox.peerReads.push_back(read);
            });
        };
        const auto &other = world.daemons[peer];
        const bool isReachable = !world.isCut(world.daemons[daemon].domain, other.domain);
        if (!isReachable || other.state != ProcessState::Running) {
            LogRead failed;
            failed.failed = true;
            world.queue.after(exchangeTimeout, [respond, failed] { respond(failed); });
            return;
        }
        const auto read = world.log.copy(offset, other.node->tables.position.nextOffset);
        world.queue.after(2 * world.linkDelay(), [respond, read] { respond(read); });
    });
}

void DaemonPorts::sendResponse(const CallerResponse &response)
{
    auto &world = m_world;
    const auto daemon = m_daemon;
    const auto call = static_cast<std::size_t>(response.handle - 1);
    auto view = world.showJob(daemon, response.request);
    const auto incarnation = world.daemons[daemon].incarnation;
    world.send(daemon, [&world, daemon, incarnation, call, response, view = std::move(view)] {
        if (world.daemons[daemon].incarnation == incarnation && world.daemons[daemon].openCalls.erase(call) != 0) {
            world.journal.calls[call].response = response;
            world.journal.calls[call].view = view;
            world.finishCall(call, CallState::Answered);
        }
    });
}

} // namespace flamingotally::fakes
