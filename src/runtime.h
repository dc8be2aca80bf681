/** @file runtime.h One daemon's tick between its ports: empties outboxes into them. */
#pragma once

#include "codec/cereal_codec.h"
#include "core/digest.h"
#include "ports.h"
#include "systems/systems.h"

#include <utility>

namespace flamingotally
{

/** Encodes and decodes the snapshots that a tick asked for. What comes of it is there at the next tick. */
template<SnapshotCodec CodecT>
void runSnapshotWork(Node &node, const Outbox &out)
{
    if (out.encodeSnapshot) {
        node.inbox.encodedSnapshot =
            EncodedSnapshot{node.tables.position.nextOffset, digestOf(node.tables), CodecT::encode(node.tables)};
    }
    if (out.decodeSnapshot) {
        node.inbox.decodedSnapshot =
            DecodedSnapshot{out.decodeSnapshot->offset, CodecT::decode(out.decodeSnapshot->bytes)};
    }
}

/**
 * Runs one tick and hands what it decided to the ports. The caller has filled the inboxes.
 * @param node The daemon.
 * @param clock Read once.
 * @param log,workers,hosts,peers,answers The ports.
 */
template<Clock ClockT,
         LogClient LogT,
         WorkerClient WorkersT,
         HostList HostsT,
         PeerChannel PeersT,
         ResponseSink AnswersT,
         SnapshotCodec CodecT = CerealSnapshotCodec>
void runTick(
    Node &node, const ClockT &clock, LogT &log, WorkersT &workers, HostsT &hosts, PeersT &peers, AnswersT &responses)
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
    if (out.readHosts) {
        hosts.readHosts();
    }
    for (const auto &[address, heartbeat] : out.heartbeats) {
        peers.sendHeartbeat(address, heartbeat);
    }
    for (const auto &[address, fromOffset] : out.recordFetches) {
        peers.fetchRecords(address, fromOffset);
    }
    for (const auto &it : out.responses) {
        responses.answer(it);
    }
    runSnapshotWork<CodecT>(node, out);
}

} // namespace flamingotally
