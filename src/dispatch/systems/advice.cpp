#include "dispatch/policy/placer.h"
#include "dispatch/systems/systems.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr std::size_t workersPerQuestion = 40;
constexpr std::uint32_t shortPerRelay = 4; ///< The service answers a host's questions one after the other.
constexpr double longQuestionMs = 100; ///< Questions that take longer have a relay for themselves.
constexpr std::size_t relaysPerShortOne = 4; ///< One relay of so many is kept for short questions.
constexpr double unprovenMs = 50; ///< A relay that has not answered yet is taken for so much busier.
constexpr Milliseconds answerSlack{500}; ///< Beyond the time that the service says it takes.
constexpr Milliseconds relayPause{3'000}; ///< After a failure.
constexpr std::size_t spareWorkers = 4; ///< Asked beyond the number of tasks that wait, when known to be good.

/** Tells whether a relay takes another question of this length. */
bool takesQuestion(const Relay &relay, double costMs, const TickTime &time)
{
    const std::uint32_t most = costMs > longQuestionMs || !relay.proven ? 1 : shortPerRelay;
    return relay.asking < most && relay.busyMs <= std::max(longQuestionMs, costMs) && time.now >= relay.avoidUntil;
}

/** Tells whether long questions already have as many of the relays that answer as they may. */
bool areLongOnesFull(const AdviceState &advice, const TickTime &time)
{
    std::size_t usable = 0;
    std::size_t busy = 0;
    for (const auto &[name, relay] : advice.relays) {
        const bool isUsable = time.now >= relay.avoidUntil;
        usable += isUsable ? 1 : 0;
        busy += isUsable && relay.busyMs > longQuestionMs ? 1 : 0;
    }
    const auto kept = std::max<std::size_t>(1, usable / relaysPerShortOne);
    return busy + kept >= usable && usable > 1;
}

/** How soon a relay is likely to answer, in milliseconds. */
double expectedMs(const Relay &relay)
{
    return relay.busyMs + (relay.proven ? 0 : unprovenMs);
}

/** Daemon that will answer first; null when all have enough to do. */
std::pair<const std::string, Relay> *findRelay(Entry &entry, double costMs, const TickTime &time)
{
    auto &relays = entry.advice.relays;
    for (const auto &[name, record] : entry.ownership.daemons) {
        relays.try_emplace(name);
    }
    if (costMs > longQuestionMs && areLongOnesFull(entry.advice, time)) {
        return nullptr;
    }
    std::pair<const std::string, Relay> *best = nullptr;
    for (auto &it : relays) {
        if (takesQuestion(it.second, costMs, time) && (!best || expectedMs(it.second) < expectedMs(best->second))) {
            best = &it;
        }
    }
    return best;
}

/** Workers that a question is to be about. */
struct QuestionWorkers {
    std::vector<std::string> all;
    std::vector<std::string> renewing; ///< Those that are known to be good.
};

/**
 * Workers to ask about, the most free first: of those not asked yet all that could run the group, of those known to be
 * good as many with room as there are tasks that wait.
 */
QuestionWorkers workersToAsk(Entry &entry, GroupRef group, const TickTime &time)
{
    const Placer<FitChoice> placer(entry, group, time);
    const auto &known = entry.work.groups.get<GroupAdvice>(group).byWorker;
    std::vector<std::pair<std::int64_t, std::string>> fresh;
    std::vector<std::pair<std::int64_t, std::string>> expired;
    entry.workers.table.forEach([&](WorkerRef worker) {
        const auto &identity = entry.workers.table.get<WorkerIdentity>(worker);
        const auto free = identity.capacity - entry.workers.table.get<WorkerLoad>(worker).used;
        if (!known.contains(identity.id)) {
            if (placer.isUsable(worker)) {
                fresh.emplace_back(-free.cpuMilli, identity.id);
            }
        } else if (placer.judge(worker) == Fit::NeedsTicket) {
            expired.emplace_back(-free.cpuMilli, identity.id);
        }
    });
    std::ranges::sort(fresh);
    std::ranges::sort(expired);
    QuestionWorkers workers;
    workers.renewing = entry.work.groups.get<GroupAdvice>(group).expired;
    const auto tasks = entry.work.groups.get<GroupState>(group).tasks.size();
    for (std::size_t n = 0; n < expired.size() && n < tasks + spareWorkers; ++n) {
        workers.renewing.push_back(std::move(expired[n].second));
    }
    workers.all = workers.renewing;
    for (std::size_t n = 0; n < fresh.size() && workers.all.size() < workersPerQuestion; ++n) {
        workers.all.push_back(std::move(fresh[n].second));
    }
    return workers;
}

/** Time that the service takes for a question, in milliseconds. */
double costOf(const Entry &entry, GroupRef group, std::size_t workers)
{
    const auto &terms = policyOf(entry, group).advice;
    return terms.decideMs + terms.perWorkerMs * static_cast<double>(workers);
}

void ask(Entry &entry, GroupRef group, const TickTime &time)
{
    if (!findRelay(entry, costOf(entry, group, 1), time)) {
        return;
    }
    auto workers = workersToAsk(entry, group, time);
    const double costMs = costOf(entry, group, workers.all.size());
    auto *relay = workers.all.empty() ? nullptr : findRelay(entry, costMs, time);
    if (!relay) {
        return;
    }
    AdviceRequest question;
    question.number = entry.advice.nextNumber++;
    const bool isOwn = relay->first == entry.settings.name;
    question.relay = isOwn ? std::string() : entry.ownership.daemons[relay->first].peerAddress;
    question.step = nameOf(entry, entry.work.groups.get<GroupState>(group).tasks.front());
    question.workers = workers.all;
    question.timeout = Milliseconds(static_cast<std::int64_t>(costMs + relay->second.busyMs)) + answerSlack;
    auto &advice = entry.work.groups.get<GroupAdvice>(group);
    advice.question = question.number;
    advice.renewing = std::move(workers.renewing);
    advice.expired.clear();
    ++advice.questions;
    ++relay->second.asking;
    relay->second.busyMs += costMs;
    ++entry.counters.questions;
    entry.advice.questions[question.number] = {group, relay->first, std::move(workers.all), costMs};
    entry.outbox.questions.push_back(std::move(question));
}

void keepTickets(Entry &entry, const Question &question, const AdviceResponse &answer)
{
    auto &advice = entry.work.groups.get<GroupAdvice>(question.group);
    const auto validity = policyOf(entry, question.group).advice.validity;
    const auto lifeOf = [&](const std::string &id) {
        const auto it = entry.workers.byId.find(id);
        return it == entry.workers.byId.end() ? 0 : entry.workers.table.get<WorkerLink>(it->second).incarnation;
    };
    for (const auto &id : question.workers) {
        advice.byWorker[id] = {};
    }
    for (const auto &row : answer.granted) {
        advice.byWorker[row.worker] = {true, row.ticket, answer.askedAt + validity, lifeOf(row.worker)};
    }
}

} // namespace

void adviceAnswerSystem(Entry &entry, const TickTime &time)
{
    for (const auto &answer : entry.inbox.adviceResponses) {
        const auto it = entry.advice.questions.find(answer.number);
        if (it == entry.advice.questions.end()) {
            continue;
        }
        const auto question = std::move(it->second);
        entry.advice.questions.erase(it);
        auto &relay = entry.advice.relays[question.relay];
        relay.asking -= std::min(relay.asking, 1U);
        relay.busyMs = std::max(0.0, relay.busyMs - question.costMs);
        entry.work.changed = true;
        if (!entry.work.groups.contains(question.group)) {
            continue;
        }
        auto &advice = entry.work.groups.get<GroupAdvice>(question.group);
        advice.question = 0;
        advice.renewing.clear();
        advice.answeredAt = time.now;
        relay.proven = !answer.failed;
        if (answer.failed) {
            relay.avoidUntil = time.now + relayPause;
            logEvent(entry, EventKind::AdviceFailed, 0, "relay={} workers={}", question.relay, question.workers.size());
            continue;
        }
        keepTickets(entry, question, answer);
    }
}

void adviceQuestionSystem(Entry &entry, const TickTime &time)
{
    std::erase_if(entry.advice.renewals, [&](GroupRef group) {
        if (!entry.work.groups.contains(group)) {
            return true;
        }
        if (entry.work.groups.get<GroupAdvice>(group).question == 0) {
            ask(entry, group, time);
        }
        return entry.work.groups.get<GroupAdvice>(group).expired.empty();
    });
    for (const auto group : entry.advice.wanted) {
        if (entry.work.groups.get<GroupAdvice>(group).question != 0) {
            continue;
        }
        ask(entry, group, time);
    }
    std::erase_if(entry.advice.ahead, [&](GroupRef group) {
        if (!entry.work.groups.contains(group)) {
            return true;
        }
        const auto &advice = entry.work.groups.get<GroupAdvice>(group);
        if (advice.questions == 0 && !entry.work.groups.get<GroupState>(group).open) {
            ask(entry, group, time);
        }
        return advice.questions > 0 || entry.work.groups.get<GroupState>(group).open;
    });
}

} // namespace flamingotally::dispatch
