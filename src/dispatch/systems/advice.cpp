#include "dispatch/entry_func.h"
#include "dispatch/policy/request_workers.h"
#include "dispatch/systems/systems.h"
#include "dispatch/ticket_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Maximum short requests in flight through one relay. The service serves the requests of one host sequentially. */
constexpr std::uint32_t shortRequestsPerRelay = 4;
constexpr double longRequestMs = 100; ///< Requests that take longer are long; a relay sends only one of them at a time.
/** One of this many usable relays (at least one) serves only short requests. */
constexpr std::size_t relaysPerReservedRelay = 4;
/** Added to the expected delay of a relay whose last request did not succeed. */
constexpr double unverifiedPenaltyMs = 50;
/** Added to the time that the service is expected to take; the sum is the time-out. */
constexpr Milliseconds responseSlack{500};
constexpr Milliseconds relayPause{3'000}; ///< A relay gets no requests for this long after a failure.
/** After this many consecutive failures, by whatever relays, the cause is taken to be the group and not the relays. */
constexpr std::uint32_t failuresOfGroup = 2;
constexpr Milliseconds failingGroupPause{300}; ///< Pause of such a group before its next request.

/** Returns true if a relay can send another request that takes the given time, in addition to those in flight. */
bool acceptsRequest(const Relay &relay, double costMs, const TickTime &time)
{
    const std::uint32_t maxInFlight = costMs > longRequestMs || !relay.lastSucceeded ? 1 : shortRequestsPerRelay;
    return relay.requestsInFlight < maxInFlight && relay.pendingMs <= std::max(longRequestMs, costMs)
        && time.now >= relay.avoidUntil;
}

/**
 * Returns true if long requests occupy all usable relays but those reserved for short requests. With a single usable
 * relay there is no limit.
 */
bool isLongRequestLimitReached(const AdviceState &advice, const TickTime &time)
{
    std::size_t usable = 0;
    std::size_t busy = 0;
    for (const auto &[name, relay] : advice.relays) {
        const bool isUsable = time.now >= relay.avoidUntil;
        usable += isUsable ? 1 : 0;
        busy += isUsable && relay.pendingMs > longRequestMs ? 1 : 0;
    }
    const auto reservedRelays = std::max<std::size_t>(1, usable / relaysPerReservedRelay);
    return busy + reservedRelays >= usable && usable > 1;
}

/** Returns the expected delay until a relay is free, in milliseconds. */
double expectedMs(const Relay &relay)
{
    return relay.pendingMs + (relay.lastSucceeded ? 0 : unverifiedPenaltyMs);
}

/** Adds a relay for each daemon that is alive and has none yet, and removes those of daemons that are not alive. */
void updateRelays(Entry &entry)
{
    const auto &daemons = entry.ownership.daemons;
    for (const auto &[name, daemon] : daemons) {
        if (daemon.isAlive) {
            entry.advice.relays.try_emplace(name);
        }
    }
    std::erase_if(entry.advice.relays, [&](const auto &it) {
        const auto daemon = daemons.find(it.first);
        return (daemon == daemons.end() || !daemon->second.isAlive) && it.second.requestsInFlight == 0;
    });
}

/** Finds the relay that is expected to respond first; null when none can send the request now. */
std::pair<const std::string, Relay> *findRelay(Entry &entry, double costMs, const TickTime &time)
{
    auto &relays = entry.advice.relays;
    if (costMs > longRequestMs && isLongRequestLimitReached(entry.advice, time)) {
        return nullptr;
    }
    std::pair<const std::string, Relay> *best = nullptr;
    for (auto &it : relays) {
        if (acceptsRequest(it.second, costMs, time) && (!best || expectedMs(it.second) < expectedMs(best->second))) {
            best = &it;
        }
    }
    return best;
}

/** Returns the ids of the workers that are still in the table. */
std::vector<std::string> idsOf(const Entry &entry, const std::vector<WorkerRef> &workers)
{
    std::vector<std::string> ids;
    ids.reserve(workers.size());
    for (const auto worker : workers) {
        if (entry.workers.table.contains(worker)) {
            ids.push_back(entry.workers.table.get<WorkerIdentity>(worker).id);
        }
    }
    return ids;
}

/** Returns true if a group is in the tables and has tasks that wait to be placed. */
bool isWaiting(const Entry &entry, GroupRef group)
{
    return entry.work.groups.contains(group) && waitingTasks(entry, group) > 0;
}

/** Sends a request about a group to the policy service; does nothing without a usable relay or workers to ask about. */
void sendRequest(Entry &entry, GroupRef group, const TickTime &time)
{
    if (!findRelay(entry, requestCostMs(policyOf(entry, group).advice, 1), time)) {
        return;
    }
    auto workers = chooseWorkers(entry, group, time);
    const double costMs = requestCostMs(policyOf(entry, group).advice, workers.all.size());
    auto *relay = workers.all.empty() ? nullptr : findRelay(entry, costMs, time);
    if (!relay) {
        return;
    }
    AdviceRequest request;
    request.number = entry.advice.nextNumber++;
    const bool isOwn = relay->first == entry.settings.name;
    request.relay = isOwn ? std::string() : entry.ownership.daemons[relay->first].record.peerAddress;
    request.step = nameOf(entry, entry.work.groups.get<GroupState>(group).tasks.front());
    request.workers = idsOf(entry, workers.all);
    request.timeout = Milliseconds(static_cast<std::int64_t>(costMs + relay->second.pendingMs)) + responseSlack;
    auto &advice = entry.work.groups.get<GroupAdvice>(group);
    advice.pendingNumber = request.number;
    const auto renewed = std::min(advice.workersToRenew.size(), entry.maxAdviceWorkers);
    advice.workersToRenew.erase(advice.workersToRenew.begin(),
                                advice.workersToRenew.begin() + static_cast<std::ptrdiff_t>(renewed));
    advice.renewing = std::move(workers.renewing);
    ++advice.requestCount;
    ++relay->second.requestsInFlight;
    relay->second.pendingMs += costMs;
    ++entry.counters.adviceRequests;
    entry.advice.pending[request.number] = {group, relay->first, std::move(workers.all), costMs, false};
    entry.outbox.adviceRequests.push_back(std::move(request));
}

/** Adds the time since the last response in which an open group had no valid ticket. */
void countTimeWithoutTickets(GroupAdvice &advice, const GroupState &group, const TickTime &time)
{
    const auto since = std::max({group.openedAt, advice.validUntil, advice.respondedAt});
    if (group.open && time.now > since) {
        advice.timeWithoutTickets += time.now - since;
    }
}

/**
 * Sends requests for the groups that need them, most urgent first. Those for which no relay is free stay listed, and
 * are tried again after the next response, which frees a relay, or the next pass.
 */
void sendNeeded(Entry &entry, const TickTime &time)
{
    const auto triedInPass = std::exchange(entry.advice.triedInPass, entry.work.pass.number);
    if (triedInPass == entry.work.pass.number && entry.inbox.adviceResponses.empty()) {
        return;
    }
    std::erase_if(entry.advice.needed, [&](GroupRef group) {
        if (!isWaiting(entry, group) || entry.work.groups.get<GroupAdvice>(group).pendingNumber != 0) {
            return true;
        }
        sendRequest(entry, group, time);
        return entry.work.groups.get<GroupAdvice>(group).pendingNumber != 0;
    });
}

/** Returns the number of requests for groups of the backlog that may be in flight. */
std::size_t backlogLimit(const AdviceState &advice, const TickTime &time)
{
    const auto usable =
        std::ranges::count_if(advice.relays, [&](const auto &it) { return time.now >= it.second.avoidUntil; });
    const std::size_t part = advice.needed.empty() ? 2 : 4; // others that wait for a relay go first
    return std::max<std::size_t>(1, static_cast<std::size_t>(usable) / part);
}

/** Sends requests for the groups of the backlog, first come, first served, as far as relays may be used for them. */
void sendBacklog(Entry &entry, const TickTime &time)
{
    auto &advice = entry.advice;
    const auto limit = backlogLimit(advice, time);
    auto inFlight = static_cast<std::size_t>(
        std::ranges::count_if(advice.pending, [](const auto &it) { return it.second.isOfBacklog; }));
    while (!advice.backlog.empty() && inFlight < limit) {
        const auto group = advice.backlog.front();
        if (isWaiting(entry, group) && !findRelay(entry, requestCostMs(policyOf(entry, group).advice, 1), time)) {
            return; // those behind it wait for their turn
        }
        advice.backlog.pop_front();
        if (!entry.work.groups.contains(group)) {
            continue;
        }
        auto &groupAdvice = entry.work.groups.get<GroupAdvice>(group);
        groupAdvice.isQueued = false;
        if (isWaiting(entry, group) && groupAdvice.pendingNumber == 0) {
            sendRequest(entry, group, time);
        }
        if (const auto it = advice.pending.find(groupAdvice.pendingNumber); it != advice.pending.end()) {
            inFlight += std::exchange(it->second.isOfBacklog, true) ? 0 : 1; // it may have been sent before
        }
    }
}

/** Stores a ticket for each granted worker of a request, and a refusal for each of the others. */
void storeTickets(Entry &entry, const PendingAdvice &request, const AdviceResponse &response)
{
    auto &advice = entry.work.groups.get<GroupAdvice>(request.group);
    const auto validity = policyOf(entry, request.group).advice.validity;
    for (const auto worker : request.workers) {
        if (entry.workers.table.contains(worker)) {
            storeTicket(advice, worker, {});
        }
    }
    if (!response.granted.empty()) {
        advice.validUntil = std::max(advice.validUntil, response.sentAt + validity);
    }
    for (const auto &row : response.granted) {
        if (const auto it = entry.workers.byId.find(row.worker); it != entry.workers.byId.end()) {
            const auto incarnation = entry.workers.table.get<WorkerLink>(it->second).incarnation;
            storeTicket(advice, it->second, {true, row.ticket, response.sentAt + validity, incarnation});
        }
    }
}

/** Pauses the relay of a request that failed, or the request's group if its requests fail again and again. */
void handleFailure(Entry &entry, const PendingAdvice &request, const TickTime &time)
{
    auto &advice = entry.work.groups.get<GroupAdvice>(request.group);
    const bool isOfGroup = ++advice.failedInRow >= failuresOfGroup;
    if (isOfGroup) {
        advice.searchAt = time.now + failingGroupPause;
    } else {
        entry.advice.relays[request.relay].avoidUntil = time.now + relayPause;
    }
    const auto job = entry.work.groups.get<GroupIdentity>(request.group).job;
    logEvent(entry,
             EventKind::AdviceFailed,
             entry.jobs.table.get<JobIdentity>(job).id,
             "relay={} workers={} failed_in_row={} pauses={}",
             request.relay,
             request.workers.size(),
             advice.failedInRow,
             isOfGroup ? "step" : "relay");
}

} // namespace

void adviceResponseSystem(Entry &entry, const TickTime &time)
{
    for (const auto &response : entry.inbox.adviceResponses) {
        const auto it = entry.advice.pending.find(response.number);
        if (it == entry.advice.pending.end()) {
            continue;
        }
        const auto request = std::move(it->second);
        entry.advice.pending.erase(it);
        auto &relay = entry.advice.relays[request.relay];
        relay.requestsInFlight -= std::min(relay.requestsInFlight, 1U);
        relay.pendingMs = std::max(0.0, relay.pendingMs - request.costMs);
        entry.work.passRequested = true;
        if (!entry.work.groups.contains(request.group)) {
            continue;
        }
        auto &advice = entry.work.groups.get<GroupAdvice>(request.group);
        advice.pendingNumber = 0;
        advice.renewing.clear();
        countTimeWithoutTickets(advice, entry.work.groups.get<GroupState>(request.group), time);
        advice.respondedAt = time.now;
        relay.lastSucceeded = !response.failed;
        if (response.failed) {
            handleFailure(entry, request, time);
            continue;
        }
        advice.failedInRow = 0;
        storeTickets(entry, request, response);
    }
}

void adviceRequestSystem(Entry &entry, const TickTime &time)
{
    if (!entry.advice.renewals.empty() || !entry.advice.needed.empty() || !entry.advice.prefetch.empty()
        || !entry.advice.backlog.empty()) {
        updateRelays(entry);
    }
    std::erase_if(entry.advice.renewals, [&](GroupRef group) {
        if (!entry.work.groups.contains(group)) {
            return true;
        }
        if (entry.work.groups.get<GroupAdvice>(group).pendingNumber == 0) {
            sendRequest(entry, group, time);
        }
        return entry.work.groups.get<GroupAdvice>(group).workersToRenew.empty();
    });
    sendNeeded(entry, time);
    std::erase_if(entry.advice.prefetch, [&](GroupRef group) {
        if (!entry.work.groups.contains(group)) {
            return true;
        }
        const auto &advice = entry.work.groups.get<GroupAdvice>(group);
        if (advice.requestCount == 0 && !entry.work.groups.get<GroupState>(group).open) {
            sendRequest(entry, group, time);
        }
        return advice.requestCount > 0 || entry.work.groups.get<GroupState>(group).open;
    });
    sendBacklog(entry, time);
}

} // namespace flamingotally::dispatch
