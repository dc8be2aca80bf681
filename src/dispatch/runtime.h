/** @file runtime.h Runs one tick of an entry daemon and passes the outbox and the owner status to the ports. */
#pragma once

#include "dispatch/entry_func.h"
#include "dispatch/ports.h"
#include "dispatch/systems/systems.h"

#include <exception>
#include <utility>

namespace flamingotally::dispatch
{

/**
 * Runs one tick and passes the resulting messages to the ports. Only the owner of the cell watches the worker list, so
 * that port is switched on or off after each tick. The caller has filled the inbox.
 * @param entry The daemon.
 * @param clock Read before the tick, and after it to measure how long the tick took.
 * @param journal,list,orders,adviser,commits,responses,events The ports. `events` counts up `droppedLines` if it drops
 * a line.
 */
template<Clock ClockT,
         Journal JournalT,
         WorkerList ListT,
         WorkerOrders OrdersT,
         AdviceClient AdviserT,
         CommitPort CommitsT,
         ResponseSink ResponsesT,
         EventSink EventsT>
void runTick(Entry &entry,
             const ClockT &clock,
             JournalT &journal,
             ListT &list,
             OrdersT &orders,
             AdviserT &adviser,
             CommitsT &commits,
             ResponsesT &responses,
             EventsT &events)
{
    entry.maxAdviceWorkers = AdviserT::maxAdviceWorkers;
    const TickTime time{clock.now(), clock.wallNow()};
    tick(entry, time);
    const Milliseconds duration{clock.now() - time.now};
    entry.counters.observe(LatencyKind::Tick, duration);
    entry.loadReport.longestTick = std::max(entry.loadReport.longestTick, duration);
    entry.loadReport.tickTime += duration;
    const Outbox out = std::exchange(entry.outbox, Outbox{});
    if (out.readJournal) {
        journal.read(*out.readJournal);
    }
    for (const auto &it : out.batches) {
        journal.append(it);
    }
    for (const auto &it : out.peerReadResponses) {
        journal.respond(it);
    }
    list.watch(entry.isOwner());
    for (const auto &it : out.starts) {
        orders.start(it);
    }
    for (const auto &it : out.stops) {
        orders.stop(it);
    }
    for (const auto &it : out.polls) {
        orders.poll(it);
    }
    for (const auto &it : out.adviceRequests) {
        adviser.send(it);
    }
    for (const auto &it : out.commits) {
        commits.sendCommit(it);
    }
    for (const auto &it : out.commitAnswers) {
        commits.answerCommit(it);
    }
    for (const auto &it : out.responses) {
        responses.sendResponse(it);
    }
    for (const auto &it : out.events) {
        events.write(it, entry.counters.droppedLines);
    }
}

/** Runs one tick like runTick(). After an unexpected error the daemon begins anew instead of ending. */
template<typename ClockT, typename... Ports>
void runTickSafely(Entry &entry, const ClockT &clock, Ports &...ports)
{
    try {
        runTick(entry, clock, ports...);
    } catch (const std::exception &error) {
        recoverFromError(entry, error.what(), clock.now());
    }
}

} // namespace flamingotally::dispatch
