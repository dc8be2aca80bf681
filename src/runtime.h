/** @file runtime.h Runs one tick of a daemon, passes its outbox to the ports, and runs its snapshot work. */
#pragma once

#include "codec/cereal_codec.h"
#include "core/digest.h"
#include "ports.h"
#include "systems/systems.h"

#include <utility>

namespace flamingotally
{

/** Encodes the tables and decodes the supplied snapshot, if a tick requested it; results go to the next inbox. */
template<SnapshotCodec CodecT>
void runSnapshotWork(Node &node, const Outbox &out)
{
    if (out.mustEncodeSnapshot) {
        node.inbox.encodedSnapshot =
            EncodedSnapshot{node.tables.position.nextOffset, digestOf(node.tables), CodecT::encode(node.tables)};
    }
    if (out.snapshotToDecode) {
        node.inbox.decodedSnapshot =
            DecodedSnapshot{out.snapshotToDecode->offset, CodecT::decode(out.snapshotToDecode->bytes)};
    }
}

/**
 * Runs one tick, passes its outbox to the ports, and runs the snapshot work. The inbox must be filled first.
 * @param node The daemon.
 * @param clock Clock; `now()` and `wallNow()` are read once each, before the tick.
 * @param log,workers,hosts,peers,callers The ports; `callers` receives the responses to callers.
 */
template<Clock ClockT,
         LogClient LogT,
         WorkerClient WorkersT,
         HostList HostsT,
         PeerChannel PeersT,
         ResponseSink ResponsesT,
         SnapshotCodec CodecT = CerealSnapshotCodec>
void runTick(
    Node &node, const ClockT &clock, LogT &log, WorkersT &workers, HostsT &hosts, PeersT &peers, ResponsesT &callers)
{
    tick(node, TickTime{clock.now(), clock.wallNow()});
    Outbox out = std::exchange(node.outbox, Outbox{});
    if (out.append) {
        log.append(*out.append);
    }
    if (out.readFrom) {
        log.readFrom(*out.readFrom);
    }
    for (const auto &it : out.workerSyncs) {
        workers.sync(it);
    }
    if (out.mustReadHosts) {
        hosts.readHosts();
    }
    for (const auto &[address, heartbeat] : out.heartbeats) {
        peers.sendHeartbeat(address, heartbeat);
    }
    for (const auto &[address, fromOffset] : out.recordFetches) {
        peers.fetchRecords(address, fromOffset);
    }
    for (const auto &it : out.responses) {
        callers.sendResponse(it);
    }
    runSnapshotWork<CodecT>(node, out);
}

} // namespace flamingotally
