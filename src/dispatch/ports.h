/**
 * @file ports.h The interfaces through which an entry daemon reaches the platform, as concepts. All calls return
 * immediately; responses arrive in the inbox.
 */
#pragma once

#include "core/clock.h"
#include "dispatch/entry_base.h"

#include <concepts>

namespace flamingotally::dispatch
{

/** Store of records by key, and the daemons through which it is read. */
template<typename T>
concept Journal =
    requires(T &journal, const JournalReadRequest &read, const JournalBatch &batch, const PeerReadResponse &response)
{
    journal.read(read); // -> Inbox::journalReads
    journal.append(batch); // -> Inbox::appendResponses
    journal.respond(response); // to a request in Inbox::peerReads
};

/** List of workers. It is watched only while this daemon is the owner. */
template<typename T>
concept WorkerList = requires(T &list, bool on)
{
    list.watch(on); // -> Inbox::workerLists
};

/** Sends orders to workers. */
template<typename T>
concept WorkerOrders = requires(T &orders, const PollOrder &poll, const StartOrder &start, const StopOrder &stop)
{
    orders.poll(poll); // -> Inbox::pollResponses
    orders.start(start); // -> Inbox::orderResponses
    orders.stop(stop); // -> Inbox::orderResponses
};

/**
 * Sends requests to the policy service, directly or through the daemon in AdviceRequest::relay.
 * T::maxAdviceWorkers is the maximum number of workers in a request.
 */
template<typename T>
concept AdviceClient = requires(T &adviser, const AdviceRequest &request)
{
    {
        T::maxAdviceWorkers
        } -> std::convertible_to<std::size_t>;
    adviser.send(request); // -> Inbox::adviceResponses
};

/** Sends batches to the owner of the cell, and as owner answers those of other daemons (Inbox::commitCalls). */
template<typename T>
concept CommitPort = requires(T &port, const CommitRequest &request, const CommitAnswer &commitAnswer)
{
    port.sendCommit(request); // -> Inbox::commitResponses
    port.answerCommit(commitAnswer);
};

/** Returns responses to callers. */
template<typename T>
concept ResponseSink = requires(T &sink, const CallerResponse &response)
{
    sink.sendResponse(response);
};

/** Writes log lines. It never blocks, and counts the lines that it drops. */
template<typename T>
concept EventSink = requires(T &sink, const Event &event, std::uint64_t &dropped)
{
    sink.write(event, dropped);
};

} // namespace flamingotally::dispatch
