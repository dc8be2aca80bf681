#include "dispatch/policy/placer.h"
#include "dispatch/systems/systems.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr std::size_t workersPerQuestion = 40;
constexpr std::uint32_t questionsPerRelay = 2; ///< The service answers a machine's questions one after the other.
constexpr Milliseconds answerSlack{1'500}; ///< Beyond the time that the service says it takes.
constexpr Milliseconds relayPause{3'000}; ///< After a failure.
constexpr std::size_t spareWorkers = 4; ///< Asked beyond the number of tasks that wait, when known to be good.

/** Daemon that will answer first; null when all have enough to do. */
std::pair<const std::string, Relay> *findRelay(Entry &entry, const TickTime &time)
{
    auto &relays = entry.advice.relays;
    for (const auto &[name, record] : entry.ownership.daemons) {
        relays.try_emplace(name);
    }
    std::pair<const std::string, Relay> *best = nullptr;
    for (auto &it : relays) {
        const bool isFree = it.second.asking < questionsPerRelay && time.now >= it.second.avoidUntil;
        if (isFree && (!best || it.second.busyMs < best->second.busyMs)) {
            best = &it;
        }
    }
    return best;
}

/** Workers to ask about: those with room whose answer is missing or has expired, the most free first. */
std::vector<std::string> workersToAsk(Entry &entry, GroupRef group, const TickTime &time)
{
    const Placer<FitChoice> placer(entry, group, time);
    const auto &known = entry.work.groups.get<GroupAdvice>(group).byWorker;
    std::vector<std::pair<std::int64_t, std::string>> fresh;
    std::vector<std::pair<std::int64_t, std::string>> expired;
    entry.workers.table.forEach([&](WorkerRef worker) {
        if (placer.judge(worker) != Fit::NeedsTicket) {
            return;
        }
        const auto &identity = entry.workers.table.get<WorkerIdentity>(worker);
        const auto free = identity.capacity - entry.workers.table.get<WorkerRoom>(worker).used;
        (known.contains(identity.id) ? expired : fresh).emplace_back(-free.cpuMilli, identity.id);
    });
    std::ranges::sort(fresh);
    std::ranges::sort(expired);
    std::vector<std::string> workers;
    const auto waiting = entry.work.groups.get<GroupState>(group).tasks.size();
    for (std::size_t n = 0; n < expired.size() && n < waiting + spareWorkers; ++n) {
        workers.push_back(std::move(expired[n].second));
    }
    for (std::size_t n = 0; n < fresh.size() && workers.size() < workersPerQuestion; ++n) {
        workers.push_back(std::move(fresh[n].second));
    }
    return workers;
}

void ask(Entry &entry, GroupRef group, std::pair<const std::string, Relay> &relay, const TickTime &time)
{
    auto workers = workersToAsk(entry, group, time);
    if (workers.empty()) {
        return;
    }
    const auto &terms = treatmentOf(entry, group).advice;
    const double costMs = terms.decideMs + terms.perWorkerMs * static_cast<double>(workers.size());
    AdviceQuestion question;
    question.number = entry.advice.nextNumber++;
    const bool isOwn = relay.first == entry.settings.name;
    question.relay = isOwn ? std::string() : entry.ownership.daemons[relay.first].peerAddress;
    const auto &tasks = entry.work.groups.get<GroupState>(group).tasks;
    question.step = nameOf(entry, tasks.front());
    question.workers = workers;
    question.timeout = Milliseconds(static_cast<std::int64_t>(costMs + relay.second.busyMs)) + answerSlack;
    entry.work.groups.get<GroupAdvice>(group).question = question.number;
    ++relay.second.asking;
    relay.second.busyMs += costMs;
    ++entry.counters.questions;
    entry.advice.questions[question.number] = {group, relay.first, std::move(workers), costMs};
    entry.outbox.questions.push_back(std::move(question));
}

void keepTickets(Entry &entry, const Question &question, const AdviceAnswer &answer)
{
    auto &advice = entry.work.groups.get<GroupAdvice>(question.group);
    const auto validity = treatmentOf(entry, question.group).advice.validity;
    const auto lifeOf = [&](const std::string &id) {
        const auto it = entry.workers.byId.find(id);
        return it == entry.workers.byId.end() ? 0 : entry.workers.table.get<WorkerLink>(it->second).life;
    };
    for (const auto &id : question.workers) {
        advice.byWorker[id] = {};
    }
    for (const auto &row : answer.good) {
        advice.byWorker[row.worker] = {true, row.ticket, answer.askedAt + validity, lifeOf(row.worker)};
    }
}

} // namespace

void adviceAnswerSystem(Entry &entry, const TickTime &time)
{
    for (const auto &answer : entry.inbox.adviceAnswers) {
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
        entry.work.groups.get<GroupAdvice>(question.group).question = 0;
        if (answer.failed) {
            relay.avoidUntil = time.now + relayPause;
            note(entry, EventKind::AdviceFailed, 0, "relay={} workers={}", question.relay, question.workers.size());
            continue;
        }
        keepTickets(entry, question, answer);
    }
}

void adviceQuestionSystem(Entry &entry, const TickTime &time)
{
    for (const auto group : entry.advice.wanted) {
        if (entry.work.groups.get<GroupAdvice>(group).question != 0) {
            continue;
        }
        auto *relay = findRelay(entry, time);
        if (!relay) {
            return;
        }
        ask(entry, group, *relay, time);
    }
}

} // namespace flamingotally::dispatch
