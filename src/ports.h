/**
 * @file ports.h Concepts of the interfaces to the outside that the runtime uses. The daemon implements them with Asio,
 * the tests with fakes on a virtual clock. All calls return at once; responses arrive in the node's inbox.
 */
#pragma once

#include "core/clock.h"
#include "message_type.h"
#include "tables.h"

#include <concepts>

namespace flamingotally
{

/** Client of the platform's log: appends batches and reads records from an offset on. */
template<typename T>
concept LogClient = requires(T &client, const Batch &batch, std::uint64_t offset)
{
    client.append(batch); // response: Inbox::appendResponses
    client.readFrom(offset); // response: Inbox::logReads; must not be called before the previous response
};

/** Client of the workers: sends orders and receives reports. */
template<typename T>
concept WorkerClient = requires(T &client, const WorkerSync &sync)
{
    client.sync(sync); // response: Inbox::workerReports
};

/** Client of the platform's host list. */
template<typename T>
concept HostList = requires(T &client)
{
    client.readHosts(); // response: Inbox::hostLists
};

/** Connection to the other daemons. */
template<typename T>
concept PeerChannel = requires(T &channel, const std::string &address, const Heartbeat &heartbeat, std::uint64_t offset)
{
    channel.sendHeartbeat(address, heartbeat); // arrives in the peer's Inbox::heartbeats
    channel.fetchRecords(address, offset); // response: Inbox::peerReads
};

/** Encodes the replicated tables as bytes and decodes them. The only port that returns its results directly. */
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

/** Sends responses to callers. */
template<typename T>
concept ResponseSink = requires(T &sink, const CallerResponse &response)
{
    sink.sendResponse(response);
};

} // namespace flamingotally
