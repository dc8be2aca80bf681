#include "fakes/oracle.h"

#include "core/digest.h"
#include "core/enum_table.h"
#include "table/reason_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingotally::fakes
{

namespace
{

constexpr EnumTable<Invariant> invariantTable{{
    {Invariant::NoHostOvercommitted, "no host overcommitted"},
    {Invariant::NoTaskInTwoPlaces, "no task in two places"},
    {Invariant::KeyDecidesTeam, "work only for the team of the key"},
    {Invariant::LimitIsKept, "no team above its limit"},
    {Invariant::NoStartInDomainOut, "no start in a domain out of service"},
    {Invariant::CompleteOwnResponse, "whole answer to the own request"},
    {Invariant::NotRunIsCorrect, "not run is true"},
    {Invariant::AtMostOnce, "non-idempotent at most once"},
    {Invariant::LeavingHostGetsNoWork, "leaving target gets no new work"},
    {Invariant::StopCutsNoRequest, "planned stop cuts no request"},
    {Invariant::ConfigurationInEffect, "configuration in force and never reverted"},
    {Invariant::AcceptedWorkEnds, "accepted work reaches an end"},
}};
static_assert(isComplete(invariantTable));

constexpr Milliseconds margin{1'000}; ///< Time that a change may take in addition to the fence and the start slack.
constexpr Milliseconds slowAppend{100}; ///< Append latency from which the log counts as faulty.

/** An item of the configuration that a command changes, and a digest of its new value. */
struct ItemValue {
    std::string item;
    std::uint64_t value = 0;
};

std::uint64_t valueOf(bool flag)
{
    return flag ? 1 : 0;
}

ItemValue itemOf(const Command &command)
{
    if (const auto *team = std::get_if<SetTeam>(&command)) {
        return {"team " + team->name, digestOf(team->policy.limit)};
    }
    if (const auto *grant = std::get_if<GrantKey>(&command)) {
        return {"key " + grant->label, valueOf(true)};
    }
    if (const auto *withdrawal = std::get_if<WithdrawKey>(&command)) {
        return {"key " + withdrawal->label, valueOf(false)};
    }
    if (const auto *profile = std::get_if<PublishProfile>(&command)) {
        return {"profile " + profile->name, digestOf(profile->spec)};
    }
    const auto *domain = std::get_if<SetDomain>(&command);
    return {"domain " + domain->name, valueOf(domain->service == DomainService::In)};
}

/** Value and version of an item in the tables of a daemon. */
struct ShownValue {
    std::uint64_t value = 0; ///< Digest of the value.
    std::uint64_t version = 0;
};

ShownValue shownValue(const Tables &tables, const std::string &item)
{
    const auto name = item.substr(item.find(' ') + 1);
    if (item.starts_with("team ")) {
        const auto row = findRef(tables.lookups.teams, name);
        return row.isSet()
            ? ShownValue{digestOf(tables.teams.get<TeamPolicy>(row).limit), tables.teams.get<TeamPolicy>(row).version}
            : ShownValue{};
    }
    if (item.starts_with("key ")) {
        const auto row = findRef(tables.lookups.keys, name);
        return {valueOf(row.isSet() && !tables.keys.get<KeyGrant>(row).withdrawn), 0};
    }
    if (item.starts_with("profile ")) {
        const auto row = findRef(tables.lookups.profiles, name);
        return row.isSet() ? ShownValue{digestOf(tables.profiles.get<ProfileSpec>(row)),
                                        tables.profiles.get<ProfileIdentity>(row).version}
                           : ShownValue{};
    }
    const auto row = findRef(tables.lookups.domains, name);
    return row.isSet() ? ShownValue{valueOf(tables.domains.get<DomainState>(row).service == DomainService::In),
                                    tables.domains.get<DomainState>(row).version}
                       : ShownValue{};
}

/** Returns true if a call has, according to its response, certainly not been executed and never will be. */
bool isRefusal(const Call &call)
{
    constexpr std::array others{
        Reason::None, Reason::RequestRepeated, Reason::OutcomeUnknown, Reason::ResultExpired, Reason::ResultTruncated};
    return call.state == CallState::NotSent
        || (call.state == CallState::Answered && std::ranges::find(others, call.response.reason) == others.end());
}

bool isAcceptance(const Call &call)
{
    return call.state == CallState::Answered
        && (call.response.reason == Reason::None || call.response.reason == Reason::RequestRepeated);
}

Resources larger(const Resources &one, const Resources &other)
{
    return {std::max(one.cpuMilli, other.cpuMilli),
            std::max(one.memoryMb, other.memoryMb),
            std::max(one.accelerators, other.accelerators)};
}

} // namespace

std::string_view nameOf(Invariant invariant)
{
    return rowOf(invariantTable, invariant).name;
}

Oracle::Oracle(const World &world)
    : m_world(world), m_changeTimeout(world.layout().settings.fence + world.layout().settings.startSlack + margin),
      m_used(world.workers.size()), m_healthySince(world.daemons.size(), Milliseconds{0})
{
}

void Oracle::report(Invariant invariant, std::string what)
{
    m_violations.push_back({invariant, m_now, std::move(what)});
}

void Oracle::check()
{
    ++m_checks;
    for (; m_next < m_world.journal.observations.size(); ++m_next) {
        const auto [at, kind, index] = m_world.journal.observations[m_next];
        m_now = at;
        switch (kind) {
        case ObservationKind::RunStarted:
            onRunStarted(m_world.journal.runs[index]);
            break;
        case ObservationKind::RunEnded:
            onRunEnded(m_world.journal.runs[index]);
            break;
        case ObservationKind::CallSent:
            onCallSent(index);
            break;
        case ObservationKind::CallAnswered:
            onCallAnswered(index);
            break;
        case ObservationKind::End:
            break;
        }
    }
    m_now = m_world.now();
    if (isLogFaulty()) {
        m_lastLogFaultAt = m_now;
    }
    for (std::size_t n = 0; n < m_world.daemons.size(); ++n) {
        checkConfiguration(n);
    }
}

bool Oracle::isLogFaulty() const
{
    const auto &faults = m_world.log.faults;
    std::size_t cut = 0;
    for (std::size_t n = 0; n < m_world.layout().domains; ++n) {
        cut += m_world.isCut(n, m_world.platform()) ? 1 : 0;
    }
    return faults.mode != LogMode::Up || faults.appendLatency >= slowAppend || faults.refusal > 0
        || faults.responseLoss > 0 || m_world.network.late > 0 || cut == m_world.layout().domains;
}

// Calls -------------------------------------------------------------------------------------------------------------

void Oracle::onCallSent(std::size_t index)
{
    const auto &action = m_world.journal.calls[index].request.action;
    if (const auto *config = std::get_if<ConfigAction>(&action)) {
        const auto [item, value] = itemOf(config->command);
        m_changes[item].push_back({index, value});
        if (const auto *grant = std::get_if<GrantKey>(&config->command)) {
            m_labels[grant->digest] = grant->label;
        }
    } else if (const auto *submit = std::get_if<SubmitAction>(&action)) {
        m_submissions[submit->payload].push_back(index);
        if (submit->request.isSet()) {
            m_payloads[submit->request].insert(submit->payload);
        }
    }
}

void Oracle::onCallAnswered(std::size_t index)
{
    const auto &call = m_world.journal.calls[index];
    if (call.wasCutByStop) {
        report(Invariant::StopCutsNoRequest, fmt::format("call {} at entry-{}", index, call.daemon));
    }
    if (const auto *config = std::get_if<ConfigAction>(&call.request.action)) {
        auto &changes = m_changes[itemOf(config->command).item];
        auto &change = *std::ranges::find(changes, index, &Change::call);
        change.refused = isRefusal(call);
        change.accepted = isAcceptance(call);
        change.offset = call.response.result.offset;
        return;
    }
    if (const auto *submit = std::get_if<SubmitAction>(&call.request.action)) {
        if (!submit->request.isSet() && call.response.request.isSet()) {
            m_payloads[call.response.request].insert(submit->payload);
        }
        if (isRefusal(call)) {
            checkNotRun(call, *submit);
        } else if (isAcceptance(call)) {
            checkAcceptance(call, *submit);
        }
    }
    if (call.state == CallState::Answered && call.view) {
        checkView(call.response.request, *call.view);
    }
}

bool Oracle::allRefused(const std::string &payload) const
{
    const auto &calls = m_submissions.at(payload);
    return std::ranges::all_of(calls, [&](std::size_t it) { return isRefusal(m_world.journal.calls[it]); });
}

void Oracle::checkNotRun(const Call &call, const SubmitAction &submit)
{
    const auto ran = [&](const Run &run) {
        return run.payload == submit.payload;
    };
    if (allRefused(submit.payload) && std::ranges::any_of(m_world.journal.runs, ran)) {
        report(Invariant::NotRunIsCorrect,
               fmt::format("payload {} ran although entry-{} answered {}",
                           submit.payload,
                           call.daemon,
                           rowOf(reasonTable, call.response.reason).name));
    }
}

void Oracle::checkAcceptance(const Call &call, const SubmitAction &submit)
{
    const auto request = call.response.request;
    m_accepted.insert(request);
    if (submit.request.isSet() && request != submit.request) {
        report(Invariant::CompleteOwnResponse, fmt::format("payload {}: response to another request", submit.payload));
    }
    const auto *spec = profile(submit.profile);
    const bool isOpen = spec != nullptr && spec->access == QueueAccess::Open;
    if (!isOpen) {
        const auto label = call.request.key ? m_labels.find(*call.request.key) : m_labels.end();
        if (label == m_labels.end()) {
            report(Invariant::KeyDecidesTeam, fmt::format("payload {} accepted without a key", submit.payload));
            return;
        }
        const auto *key = changeInEffect("key " + label->second);
        const auto since = key != nullptr ? m_world.journal.calls[key->call].answeredAt : notYet;
        if (key != nullptr && key->value == valueOf(false) && call.sentAt > since + m_changeTimeout) {
            report(Invariant::KeyDecidesTeam, fmt::format("payload {} accepted with a withdrawn key", submit.payload));
        }
    }
    if (call.view && !call.view->team.empty() && call.view->team != teamOf(call)) {
        report(Invariant::KeyDecidesTeam, fmt::format("payload {} accepted for {}", submit.payload, call.view->team));
    }
}

void Oracle::checkView(const RequestId &request, const JobView &view)
{
    const auto &payloads = m_payloads[request];
    for (std::uint32_t n = 0; n < view.tasks.size(); ++n) {
        const auto &task = view.tasks[n];
        const auto &runs = m_runs[{request, n}];
        const auto isExpected = [&](const std::string &payload) {
            const auto expected = expectedResultOf(payload, n);
            return task.result.length == expected.size() && task.result.digest == digestOfBytes(expected)
                && (task.result.body == expected || (task.result.body.empty() && !task.result.storedBy.empty()));
        };
        if (task.outcome == Outcome::Succeeded && std::ranges::none_of(payloads, isExpected)) {
            report(Invariant::CompleteOwnResponse, fmt::format("task {} of {}: wrong result", n, toString(request)));
        }
        if (task.outcome == Outcome::Withdrawn) {
            m_reportedNotRun.insert({request, n});
            if (!runs.empty()) {
                report(
                    Invariant::NotRunIsCorrect,
                    fmt::format("task {} of {} had run although it was reported as withdrawn", n, toString(request)));
            }
        }
    }
}

// Runs --------------------------------------------------------------------------------------------------------------

void Oracle::onRunStarted(const Run &run)
{
    const auto found = m_submissions.find(run.payload);
    if (found == m_submissions.end()) {
        report(Invariant::CompleteOwnResponse, fmt::format("payload {} ran although nobody submitted it", run.payload));
        return;
    }
    const auto &call = m_world.journal.calls[found->second.front()];
    const auto &submit = std::get<SubmitAction>(call.request.action);
    const TaskKey key{run.request, run.ordinal};
    if (!m_active.insert(key).second) {
        report(Invariant::NoTaskInTwoPlaces, fmt::format("{} on worker-{}", run.payload, run.worker));
    }
    auto &runs = m_runs[key];
    const auto *spec = profile(submit.profile);
    if (!runs.empty() && spec != nullptr && !spec->idempotent) {
        report(Invariant::AtMostOnce, fmt::format("{} on worker-{}", run.payload, run.worker));
    }
    runs.push_back(run.worker);
    if (allRefused(run.payload) || m_reportedNotRun.contains(key)) {
        report(Invariant::NotRunIsCorrect, fmt::format("{} runs after its refusal", run.payload));
    }
    const bool hasOtherId = submit.request.isSet() && submit.request != run.request;
    if (hasOtherId || run.ordinal >= submit.count || submit.perTask != run.reserved) {
        report(Invariant::CompleteOwnResponse,
               fmt::format("{} runs with other parameters than submitted", run.payload));
    }
    checkStart(run, submit);
    checkLimit(run, teamOf(call));
}

void Oracle::checkStart(const Run &run, const SubmitAction &submit)
{
    m_used[run.worker] += submit.perTask;
    const auto &worker = *m_world.workers[run.worker];
    if (!m_used[run.worker].fitsInto(worker.total())) {
        report(Invariant::NoHostOvercommitted, fmt::format("{} on worker-{}", run.payload, run.worker));
    }
    if (const auto *service = changeInEffect("domain " + worker.row().domain); service != nullptr) {
        const auto outSince = m_world.journal.calls[service->call].answeredAt;
        if (service->value == valueOf(false) && m_now > outSince + m_changeTimeout) {
            report(Invariant::NoStartInDomainOut,
                   fmt::format("{} on worker-{}, out since {}", run.payload, run.worker, outSince.count()));
        }
    }
    const auto &settings = m_world.layout().settings;
    const auto listedAt = std::max(worker.leavingSince, m_lastLogFaultAt) + hostListLag + settings.hostListInterval;
    if (worker.leavingSince != notYet && m_now > listedAt + m_changeTimeout) {
        report(Invariant::LeavingHostGetsNoWork,
               fmt::format("{} on worker-{}, leaving since {}", run.payload, run.worker, worker.leavingSince.count()));
    }
}

void Oracle::checkLimit(const Run &run, const std::string &team)
{
    auto &use = m_teamUse[team];
    use += run.reserved;
    const auto item = "team " + team;
    const auto *change = changeInEffect(item);
    const auto limitOf = [&](const Change &it) {
        const auto &action = std::get<ConfigAction>(m_world.journal.calls[it.call].request.action);
        return std::get<SetTeam>(action.command).policy.limit;
    };
    Resources limit;
    if (change != nullptr && m_now > m_world.journal.calls[change->call].answeredAt + m_changeTimeout) {
        limit = limitOf(*change);
    } else {
        for (const auto &it : m_changes[item]) {
            limit = it.refused ? limit : larger(limit, limitOf(it));
        }
    }
    if (!use.fitsInto(limit)) {
        report(Invariant::LimitIsKept, fmt::format("{} has {} of {} millicores", team, use.cpuMilli, limit.cpuMilli));
    }
}

void Oracle::onRunEnded(const Run &run)
{
    const auto found = m_submissions.find(run.payload);
    if (found == m_submissions.end()) {
        return;
    }
    const auto &call = m_world.journal.calls[found->second.front()];
    m_active.erase({run.request, run.ordinal});
    m_used[run.worker] -= std::get<SubmitAction>(call.request.action).perTask;
    m_teamUse[teamOf(call)] -= run.reserved;
}

// Configuration -----------------------------------------------------------------------------------------------------

/**
 * Returns the change of an item that is certainly in effect, or null if that is not certain. It is certain if no other
 * change can have come after it, or any such change sets the same value.
 */
const Oracle::Change *Oracle::changeInEffect(const std::string &item) const
{
    const auto found = m_changes.find(item);
    if (found == m_changes.end()) {
        return nullptr;
    }
    const Change *last = nullptr;
    for (const auto &it : found->second) {
        if (it.accepted && (last == nullptr || it.offset > last->offset)) {
            last = &it;
        }
    }
    for (const auto &it : found->second) {
        const bool isSettled =
            it.settledAt != notYet && last != nullptr && it.settledAt <= m_world.journal.calls[last->call].sentAt;
        if (!it.accepted && !it.refused && !isSettled && last != nullptr && it.value != last->value) {
            return nullptr;
        }
    }
    return last;
}

void Oracle::settle()
{
    for (auto &[item, changes] : m_changes) {
        for (auto &it : changes) {
            it.settledAt = it.settledAt == notYet ? m_world.now() : it.settledAt;
        }
    }
}

std::string Oracle::teamOf(const Call &call) const
{
    const auto *spec = profile(std::get<SubmitAction>(call.request.action).profile);
    if (spec != nullptr && spec->access == QueueAccess::Open) {
        return spec->team;
    }
    const auto label = call.request.key ? m_labels.find(*call.request.key) : m_labels.end();
    if (label == m_labels.end()) {
        return {};
    }
    for (const auto &it : m_changes.at("key " + label->second)) {
        const auto &action = std::get<ConfigAction>(m_world.journal.calls[it.call].request.action);
        if (const auto *grant = std::get_if<GrantKey>(&action.command)) {
            return grant->team;
        }
    }
    return {};
}

const ProfileSpec *Oracle::profile(const std::string &name) const
{
    const auto found = m_changes.find("profile " + name);
    if (found == m_changes.end()) {
        return nullptr;
    }
    const auto &action = std::get<ConfigAction>(m_world.journal.calls[found->second.back().call].request.action);
    return &std::get<PublishProfile>(action.command).spec;
}

void Oracle::checkConfiguration(std::size_t daemon)
{
    const auto &it = m_world.daemons[daemon];
    const bool isHealthy = it.state == ProcessState::Running && it.node->phase == NodePhase::Serving
        && !m_world.isCut(it.domain, m_world.platform()) && m_lastLogFaultAt != m_now;
    if (!isHealthy) {
        m_healthySince[daemon] = m_now;
    }
    if (it.state == ProcessState::Down || it.node->phase != NodePhase::Serving) {
        return;
    }
    for (const auto &[item, changes] : m_changes) {
        const auto [value, version] = shownValue(it.node->tables, item);
        auto &last = m_versions[{it.incarnation * m_world.daemons.size() + daemon, item}];
        if (version < last) {
            report(Invariant::ConfigurationInEffect,
                   fmt::format("{} reverted to an older version on entry-{}", item, daemon));
        }
        last = version;
        const auto *change = changeInEffect(item);
        const auto since = change != nullptr ? m_world.journal.calls[change->call].answeredAt : m_now;
        if (std::max(since, m_healthySince[daemon]) + m_changeTimeout < m_now && value != change->value) {
            report(Invariant::ConfigurationInEffect, fmt::format("{} is not in force on entry-{}", item, daemon));
        }
    }
}

void Oracle::checkEnds()
{
    check();
    const auto daemon = m_world.servingDaemon();
    if (daemon == m_world.daemons.size()) {
        report(Invariant::AcceptedWorkEnds, "no daemon serves");
        return;
    }
    for (const auto &it : m_accepted) {
        const auto view = m_world.showJob(daemon, it);
        if (!view || view->outcome == Outcome::None) {
            report(Invariant::AcceptedWorkEnds,
                   fmt::format("{} ({}) has not ended", toString(it), *m_payloads[it].begin()));
        } else {
            checkView(it, *view);
        }
    }
}

} // namespace flamingotally::fakes
