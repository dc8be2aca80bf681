/** @file runtime.h One tick of an entry daemon between its ports: empties the outbox into them. */
#pragma once

#include "dispatch/ports.h"
#include "dispatch/systems/systems.h"

#include <utility>

namespace flamingotally::dispatch
{

/**
 * Runs one tick and hands what it decided to the ports. The caller has filled the inboxes.
 * @param entry The daemon.
 * @param clock Read once.
 * @param journal,list,orders,adviser,answers,events The ports.
 */
template<Clock ClockT,
         Journal JournalT,
         WorkerList ListT,
         WorkerOrders OrdersT,
         AdviceClient AdviserT,
         ResponseSink AnswersT,
         EventSink EventsT>
void runTick(Entry &entry,
             const ClockT &clock,
             JournalT &journal,
             ListT &list,
             OrdersT &orders,
             AdviserT &adviser,
             AnswersT &answers,
             EventsT &events)
{
    tick(entry, TickTime{clock.now(), clock.wallNow()});
    const Outbox out = std::exchange(entry.outbox, Outbox{});
    if (out.readJournal) {
        journal.read(*out.readJournal);
    }
    for (const auto &it : out.batches) {
        journal.append(it);
    }
    list.watch(entry.isOwner());
    for (const auto &it : out.starts) {
        orders.start(it);
    }
    for (const auto &it : out.stops) {
        orders.stop(it);
    }
    for (const auto &it : out.holds) {
        orders.poll(it);
    }
    for (const auto &it : out.questions) {
        adviser.ask(it);
    }
    for (const auto &it : out.answers) {
        answers.answer(it);
    }
    for (const auto &it : out.events) {
        events.write(it, entry.counters.droppedLines);
    }
}

} // namespace flamingotally::dispatch
