/**
 * @file ports.h What an entry daemon needs of the outside, as concepts. All calls return at once; answers arrive in the
 * inboxes.
 */
#pragma once

#include "core/clock.h"
#include "dispatch/entry_base.h"

#include <concepts>

namespace flamingotally::dispatch
{

/** Keeps records by key. */
template<typename T>
concept Journal = requires(T &journal, const JournalReadRequest &read, const JournalBatch &batch)
{
    journal.read(read); // -> Inbox::journalReads
    journal.append(batch); // -> Inbox::appendResponses
};

/** Watches the list of workers while it is needed. */
template<typename T>
concept WorkerList = requires(T &list, bool on)
{
    list.watch(on); // -> Inbox::workerLists
};

/** Takes orders to workers. */
template<typename T>
concept WorkerOrders = requires(T &orders, const PollOrder &poll, const StartOrder &start, const StopOrder &stop)
{
    orders.poll(poll); // -> Inbox::pollResponses
    orders.start(start); // -> Inbox::orderResponses
    orders.stop(stop); // -> Inbox::orderResponses
};

/** Asks the policy service, itself or through another daemon. */
template<typename T>
concept AdviceClient = requires(T &adviser, const AdviceRequest &question)
{
    adviser.ask(question); // -> Inbox::adviceResponses
};

/** Hands answers back to callers. */
template<typename T>
concept ResponseSink = requires(T &sink, const CallerResponse &answer)
{
    sink.answer(answer);
};

/** Takes lines of the log. Never waits. */
template<typename T>
concept EventSink = requires(T &sink, const Event &event, std::uint64_t &dropped)
{
    sink.write(event, dropped);
};

} // namespace flamingotally::dispatch
