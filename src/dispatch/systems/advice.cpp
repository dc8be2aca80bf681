#include "dispatch/policy/placer.h"
#include "dispatch/systems/systems.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr std::size_t workersPerRequest = 40;
constexpr std::uint32_t shortRequestsPerRelay = 4; ///< The service serves the requests of one host sequentially.
constexpr double longRequestMs = 100; ///< A relay sends only one request at a time that takes longer.
constexpr std::size_t relaysPerReservedRelay = 4; ///< One in this many usable relays is reserved for short requests.
constexpr double unverifiedPenaltyMs = 50; ///< Added to the estimate of a relay whose last request did not succeed.
constexpr Milliseconds responseSlack{500}; ///< Time-out beyond the time that the service is expected to take.
constexpr Milliseconds relayPause{3'000}; ///< A relay gets no requests for this long after a failure.
constexpr std::size_t spareWorkers = 4; ///< Renewed beyond the number of tasks of the group.

/** Returns true if a relay can send another request with this cost. */
bool acceptsRequest(const Relay &relay, double costMs, const TickTime &time)
{
    const std::uint32_t most = costMs > longRequestMs || !relay.lastSucceeded ? 1 : shortRequestsPerRelay;
    return relay.requestsInFlight < most && relay.pendingMs <= std::max(longRequestMs, costMs)
        && time.now >= relay.avoidUntil;
}

/** Returns true if long requests already occupy as many of the usable relays as they may. */
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

/** Estimated time until a relay is free, in milliseconds. */
double expectedMs(const Relay &relay)
{
    return relay.pendingMs + (relay.lastSucceeded ? 0 : unverifiedPenaltyMs);
}

/** Finds the relay that is expected to respond first; null when none can send the request now. */
std::pair<const std::string, Relay> *findRelay(Entry &entry, double costMs, const TickTime &time)
{
    auto &relays = entry.advice.relays;
    for (const auto &[name, record] : entry.ownership.daemons) {
        relays.try_emplace(name);
    }
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

/** Workers to include in a request. */
struct RequestWorkers {
    std::vector<std::string> all;
    std::vector<std::string> renewing; ///< Those in `all` whose earlier tickets are renewed.
};

/**
 * Chooses the workers for a request: those of placed runs whose tickets have expired, then workers with an expired
 * ticket and capacity for a task, up to the number of tasks and a few spare ones, then workers without a decision that
 * could run the group, up to the size of a request. The last two kinds are sorted by free processor capacity.
 */
RequestWorkers chooseWorkers(Entry &entry, GroupRef group, const TickTime &time)
{
    const Placer<FitChoice> placer(entry, group, time);
    const auto &known = entry.work.groups.get<GroupAdvice>(group).tickets;
    std::vector<std::pair<std::int64_t, std::string>> fresh;
    std::vector<std::pair<std::int64_t, std::string>> expired;
    entry.workers.table.forEach([&](WorkerRef worker) {
        const auto &identity = entry.workers.table.get<WorkerIdentity>(worker);
        const auto free = identity.capacity - entry.workers.table.get<WorkerLoad>(worker).used;
        if (!known.contains(identity.id)) {
            if (placer.isUsable(worker)) {
                fresh.emplace_back(-free.cpuMilli, identity.id);
            }
        } else if (placer.evaluate(worker) == Fit::NeedsTicket) {
            expired.emplace_back(-free.cpuMilli, identity.id);
        }
    });
    std::ranges::sort(fresh);
    std::ranges::sort(expired);
    RequestWorkers workers;
    workers.renewing = entry.work.groups.get<GroupAdvice>(group).expired;
    const auto tasks = entry.work.groups.get<GroupState>(group).tasks.size();
    for (std::size_t n = 0; n < expired.size() && n < tasks + spareWorkers; ++n) {
        workers.renewing.push_back(std::move(expired[n].second));
    }
    workers.all = workers.renewing;
    for (std::size_t n = 0; n < fresh.size() && workers.all.size() < workersPerRequest; ++n) {
        workers.all.push_back(std::move(fresh[n].second));
    }
    return workers;
}

/** Estimated time that the service takes for a request, in milliseconds. */
double requestCostMs(const Entry &entry, GroupRef group, std::size_t workers)
{
    const auto &terms = policyOf(entry, group).advice;
    return terms.decideMs + terms.perWorkerMs * static_cast<double>(workers);
}

void sendRequest(Entry &entry, GroupRef group, const TickTime &time)
{
    if (!findRelay(entry, requestCostMs(entry, group, 1), time)) {
        return;
    }
    auto workers = chooseWorkers(entry, group, time);
    const double costMs = requestCostMs(entry, group, workers.all.size());
    auto *relay = workers.all.empty() ? nullptr : findRelay(entry, costMs, time);
    if (!relay) {
        return;
    }
    AdviceRequest request;
    request.number = entry.advice.nextNumber++;
    const bool isOwn = relay->first == entry.settings.name;
    request.relay = isOwn ? std::string() : entry.ownership.daemons[relay->first].peerAddress;
    request.step = nameOf(entry, entry.work.groups.get<GroupState>(group).tasks.front());
    request.workers = workers.all;
    request.timeout = Milliseconds(static_cast<std::int64_t>(costMs + relay->second.pendingMs)) + responseSlack;
    auto &advice = entry.work.groups.get<GroupAdvice>(group);
    advice.pendingNumber = request.number;
    advice.renewing = std::move(workers.renewing);
    advice.expired.clear();
    ++advice.requestCount;
    ++relay->second.requestsInFlight;
    relay->second.pendingMs += costMs;
    ++entry.counters.adviceRequests;
    entry.advice.pending[request.number] = {group, relay->first, std::move(workers.all), costMs};
    entry.outbox.adviceRequests.push_back(std::move(request));
}

void storeTickets(Entry &entry, const PendingAdvice &request, const AdviceResponse &response)
{
    auto &advice = entry.work.groups.get<GroupAdvice>(request.group);
    const auto validity = policyOf(entry, request.group).advice.validity;
    const auto incarnationOf = [&](const std::string &id) {
        const auto it = entry.workers.byId.find(id);
        return it == entry.workers.byId.end() ? 0 : entry.workers.table.get<WorkerLink>(it->second).incarnation;
    };
    for (const auto &id : request.workers) {
        advice.tickets[id] = {};
    }
    for (const auto &row : response.granted) {
        advice.tickets[row.worker] = {true, row.ticket, response.sentAt + validity, incarnationOf(row.worker)};
    }
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
        entry.work.changed = true;
        if (!entry.work.groups.contains(request.group)) {
            continue;
        }
        auto &advice = entry.work.groups.get<GroupAdvice>(request.group);
        advice.pendingNumber = 0;
        advice.renewing.clear();
        advice.respondedAt = time.now;
        relay.lastSucceeded = !response.failed;
        if (response.failed) {
            relay.avoidUntil = time.now + relayPause;
            logEvent(entry, EventKind::AdviceFailed, 0, "relay={} workers={}", request.relay, request.workers.size());
            continue;
        }
        storeTickets(entry, request, response);
    }
}

void adviceRequestSystem(Entry &entry, const TickTime &time)
{
    std::erase_if(entry.advice.renewals, [&](GroupRef group) {
        if (!entry.work.groups.contains(group)) {
            return true;
        }
        if (entry.work.groups.get<GroupAdvice>(group).pendingNumber == 0) {
            sendRequest(entry, group, time);
        }
        return entry.work.groups.get<GroupAdvice>(group).expired.empty();
    });
    for (const auto group : entry.advice.needed) {
        if (entry.work.groups.get<GroupAdvice>(group).pendingNumber != 0) {
            continue;
        }
        sendRequest(entry, group, time);
    }
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
}

} // namespace flamingotally::dispatch
