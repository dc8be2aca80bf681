/**
 * @file ports.h What the runtime needs of the outside, as concepts. Asio implements them in the daemon, fakes with a
 * virtual clock in the tests. All calls return at once; answers arrive in the node's inboxes.
 */
#pragma once

#include "core/clock.h"
#include "message_type.h"
#include "tables.h"

#include <concepts>

namespace flamingotally
{

/** Appends to the log and reads it from an offset on. */
template<typename T>
concept LogClient = requires(T &client, const Batch &batch, std::uint64_t offset)
{
    client.append(batch); // -> Inbox::appendResponses
    client.readFrom(offset); // -> Inbox::logReads; one at a time, asked again after each answer
};

/** Exchanges orders and reports with workers. */
template<typename T>
concept WorkerClient = requires(T &client, const WorkerSync &sync)
{
    client.sync(sync); // -> Inbox::workerReports
};

/** Reads the platform's host list. */
template<typename T>
concept HostList = requires(T &client)
{
    client.readHosts(); // -> Inbox::hostLists
};

/** Talks to other daemons. */
template<typename T>
concept PeerChannel = requires(T &channel, const std::string &address, const Heartbeat &heartbeat, std::uint64_t offset)
{
    channel.sendHeartbeat(address, heartbeat); // -> the peer's Inbox::heartbeats
    channel.fetchRecords(address, offset); // -> Inbox::peerReads
};

/** Turns the replicated tables into bytes and back. The only port that answers at once. */
template<typename T>
concept SnapshotCodec = requires(const Tables &tables, std::string_view bytes)
{
    {
        T::encode(tables)
        } -> std::same_as<std::string>;
    {
        T::decode(bytes)
        } -> std::same_as<std::optional<Tables>>;
};

/** Hands answers back to callers. */
template<typename T>
concept ResponseSink = requires(T &sink, const CallerResponse &answer)
{
    sink.answer(answer);
};

} // namespace flamingotally
