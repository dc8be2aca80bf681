#include "fakes/fuzz.h"

#include "core/enum_table.h"

#include <fmt/format.h>

#include <ostream>

namespace flamingotally::fakes
{

namespace
{

/** Name and weight of a kind of action. */
struct ActionRow {
    FuzzActionKind value;
    std::string_view name;
    int weight;
};

constexpr EnumTable<FuzzActionKind, ActionRow> actionTable{{
    {FuzzActionKind::Submit, "submit", 40},
    {FuzzActionKind::SubmitToTwoDaemons, "submit_at_two", 5},
    {FuzzActionKind::SubmitOtherBody, "submit_other_body", 2},
    {FuzzActionKind::Resubmit, "submit_again", 6},
    {FuzzActionKind::Wait, "wait", 5},
    {FuzzActionKind::CancelRecent, "cancel_wave", 3},
    {FuzzActionKind::SetLimit, "set_limit", 3},
    {FuzzActionKind::TakeDomainOut, "take_domain_out", 3},
    {FuzzActionKind::TakeDomainIn, "take_domain_in", 4},
    {FuzzActionKind::GrantKey, "grant_key", 3},
    {FuzzActionKind::WithdrawKey, "withdraw_key", 2},
    {FuzzActionKind::PublishProfile, "publish_profile", 2},
    {FuzzActionKind::KillDaemon, "kill_daemon", 2},
    {FuzzActionKind::StopDaemon, "stop_daemon", 2},
    {FuzzActionKind::StartDaemons, "start_daemons", 5},
    {FuzzActionKind::PauseDaemon, "pause_daemon", 2},
    {FuzzActionKind::PauseInTick, "pause_in_tick", 2},
    {FuzzActionKind::ResumeDaemons, "resume_daemons", 5},
    {FuzzActionKind::CutFromPlatform, "cut_from_platform", 2},
    {FuzzActionKind::CutDomains, "cut_domains", 2},
    {FuzzActionKind::IsolateDomain, "cut_domain_off", 2},
    {FuzzActionKind::RestoreLinks, "mend_links", 6},
    {FuzzActionKind::LogSilent, "log_silent", 1},
    {FuzzActionKind::LogRefusing, "log_refusing", 1},
    {FuzzActionKind::LogSlow, "log_slow", 2},
    {FuzzActionKind::LogLosesAnswers, "log_loses_answers", 2},
    {FuzzActionKind::RestoreLog, "mend_log", 6},
    {FuzzActionKind::LateMessages, "late_messages", 2},
    {FuzzActionKind::LoseHeartbeats, "lose_heartbeats", 2},
    {FuzzActionKind::RestoreNetwork, "mend_network", 4},
    {FuzzActionKind::FailAll, "fail_all", 1},
    {FuzzActionKind::FailRunning, "fail_running", 1},
    {FuzzActionKind::KillWorker, "kill_worker", 2},
    {FuzzActionKind::PauseWorker, "pause_worker", 2},
    {FuzzActionKind::RestoreWorkers, "mend_workers", 5},
    {FuzzActionKind::MarkLeaving, "mark_leaving", 2},
    {FuzzActionKind::ClearLeaving, "take_back", 3},
    {FuzzActionKind::Pass, "pass", 40},
}};
static_assert(isComplete(actionTable));

constexpr std::int64_t minCores = 4; ///< Lowest limit of a team, in cores.
constexpr std::uint8_t maxKeys = 200; ///< Maximum number of keys granted.
constexpr Milliseconds pauseAfterAction{40};
constexpr Milliseconds maxPause{5'000}; ///< Longest pause of a pass action, and wait time of a wait action.
constexpr Milliseconds untilStopped{-1}; ///< Run time of tasks that run until they are stopped.

WorldLayout layoutOf(std::uint64_t seed)
{
    WorldLayout layout;
    layout.seed = seed;
    layout.domains = 2 + seed % 2;
    layout.workersPerDomain = 2;
    layout.settings.snapshotInterval = Milliseconds{5'000}; // ten intervals are less than the retention of the log
    return layout;
}

} // namespace

std::ostream &operator<<(std::ostream &stream, const FuzzAction &action)
{
    return stream << rowOf(actionTable, action.kind).name << ' ' << action.which << ' ' << action.how;
}

int weightOf(FuzzActionKind kind)
{
    return rowOf(actionTable, kind).weight;
}

FuzzedCell::FuzzedCell(std::uint64_t seed) : cell(layoutOf(seed)), m_world(cell.world)
{
}

void FuzzedCell::perform(const FuzzAction &action)
{
    if (action.kind <= FuzzActionKind::CancelRecent) {
        performCallerAction(action);
    } else if (action.kind <= FuzzActionKind::PublishProfile) {
        performOperatorAction(action);
    } else if (action.kind <= FuzzActionKind::ResumeDaemons) {
        performDaemonAction(action);
    } else if (action.kind <= FuzzActionKind::RestoreNetwork) {
        performPlatformAction(action);
    } else if (action.kind <= FuzzActionKind::ClearLeaving) {
        performWorkerAction(action);
    } else {
        cell.pass(Milliseconds{action.which % maxPause.count()});
    }
    cell.pass(pauseAfterAction);
}

void FuzzedCell::performOperatorAction(const FuzzAction &action)
{
    const std::string team = teamNames[action.which % teamNames.size()];
    switch (action.kind) {
    case FuzzActionKind::SetLimit: // two operators race
        cell.setLimit(action.how, team, minCores + action.how % ampleCores);
        cell.setLimit(action.how + 1, team, minCores + action.which % ampleCores);
        break;
    case FuzzActionKind::TakeDomainOut:
        cell.setDomain(action.how, action.which % m_world.layout().domains, DomainService::Out);
        break;
    case FuzzActionKind::TakeDomainIn:
        cell.setDomain(action.how, action.which % m_world.layout().domains, DomainService::In);
        break;
    case FuzzActionKind::GrantKey:
        if (m_keyCount < maxKeys) {
            cell.grant(action.how, fmt::format("key-{}", m_keyCount), m_keyCount, team);
            ++m_keyCount;
        }
        break;
    case FuzzActionKind::WithdrawKey:
        if (const auto number = action.which % m_keyCount; number >= teamNames.size()) {
            cell.change(action.how, WithdrawKey{{}, fmt::format("key-{}", number)});
        }
        break;
    default: {
        auto profile = cellProfiles()[action.which % cellProfiles().size()];
        profile.spec.retryBackoff = Milliseconds{100 + action.how % 400};
        cell.publish(action.how, profile);
        break;
    }
    }
}

// Callers -----------------------------------------------------------------------------------------------------------

void FuzzedCell::submit(const FuzzAction &action)
{
    const auto &[name, spec] = cellProfiles()[action.which % cellProfiles().size()];
    Task task;
    task.runTime = spec.kind == WorkKind::Service ? untilStopped : Milliseconds{20 + action.how % 3'000};
    task.fails = action.how % 13 == 0;
    task.resultBytes = action.how % 11 == 0 ? 10'000 : 16;
    auto submit = cell.makeSubmission(name, task);
    submit.request = !spec.idempotent || action.how % 3 != 0 ? m_world.makeId() : RequestId{};
    submit.perTask = {1'000 * (1 + action.how % 6), 512 * (1 + action.which % 8), action.how % 7 == 0 ? 1 : 0};
    submit.count = spec.kind == WorkKind::Request ? 1 : 1 + action.how % 4;
    submit.runEstimate = Milliseconds{action.which % 10'000};
    submit.waitForEnd = Milliseconds{action.how % 2 == 0 ? 0 : 8'000};
    const bool hasKey = spec.access == QueueAccess::Keyed && action.how % 17 != 0;
    const auto key = hasKey ? std::optional(testKey(static_cast<std::uint8_t>(action.how % m_keyCount))) : std::nullopt;
    cell.submit(action.how, key, submit);
    if (action.kind == FuzzActionKind::SubmitToTwoDaemons && submit.request.isSet()) {
        cell.submit(action.how + 1, key, submit);
    }
    if (action.kind == FuzzActionKind::SubmitOtherBody && submit.request.isSet()) {
        const auto other = cell.makeSubmission(name, task);
        submit.payload = other.payload;
        submit.bodyDigest = other.bodyDigest;
        cell.submit(action.how + 1, key, submit);
    }
}

void FuzzedCell::resubmit(const FuzzAction &action)
{
    if (cell.submissions.empty()) {
        return;
    }
    const auto call = m_world.journal.calls[cell.submissions[action.which % cell.submissions.size()]];
    const auto &submit = std::get<SubmitAction>(call.request.action);
    if (!submit.request.isSet()) {
        return;
    }
    if (action.kind == FuzzActionKind::Wait) {
        m_world.call(action.how % m_world.daemons.size(), call.request.key, WaitAction{submit.request, maxPause});
    } else {
        cell.submit(action.how, call.request.key, submit);
    }
}

void FuzzedCell::cancelRecent(const FuzzAction &action)
{
    for (std::size_t n = cell.submissions.size(); n > 0 && cell.submissions.size() - n < action.which % 30; --n) {
        const auto call = m_world.journal.calls[cell.submissions[n - 1]];
        const auto request = call.response.request;
        if (request.isSet()) {
            m_world.call(action.how % m_world.daemons.size(), call.request.key, CancelAction{request});
        }
    }
}

void FuzzedCell::performCallerAction(const FuzzAction &action)
{
    if (action.kind == FuzzActionKind::CancelRecent) {
        cancelRecent(action);
    } else if (action.kind == FuzzActionKind::Resubmit || action.kind == FuzzActionKind::Wait) {
        resubmit(action);
    } else {
        submit(action);
    }
}

// Faults ------------------------------------------------------------------------------------------------------------

void FuzzedCell::performDaemonAction(const FuzzAction &action)
{
    const auto daemon = action.which % m_world.daemons.size();
    switch (action.kind) {
    case FuzzActionKind::KillDaemon:
        m_world.killDaemon(daemon);
        break;
    case FuzzActionKind::StopDaemon:
        m_world.stopDaemon(daemon);
        break;
    case FuzzActionKind::PauseDaemon:
        m_world.pauseDaemon(daemon, false);
        break;
    case FuzzActionKind::PauseInTick:
        m_world.pauseDaemon(daemon, true);
        break;
    case FuzzActionKind::StartDaemons:
        for (std::size_t n = 0; n < m_world.daemons.size(); ++n) {
            m_world.startDaemon(n);
        }
        break;
    default:
        for (std::size_t n = 0; n < m_world.daemons.size(); ++n) {
            m_world.resumeDaemon(n);
        }
        break;
    }
}

void FuzzedCell::performPlatformAction(const FuzzAction &action)
{
    const auto domains = m_world.layout().domains;
    const auto domain = action.which % domains;
    auto &faults = m_world.log.faults;
    switch (action.kind) {
    case FuzzActionKind::CutFromPlatform:
        m_world.setCut(domain, m_world.platform(), true);
        break;
    case FuzzActionKind::CutDomains:
        m_world.setCut(domain, (domain + 1) % domains, true);
        break;
    case FuzzActionKind::IsolateDomain:
        for (std::size_t n = 0; n <= domains; ++n) {
            m_world.setCut(domain, n, n != domain);
        }
        break;
    case FuzzActionKind::RestoreLinks:
        for (std::size_t n = 0; n <= domains; ++n) {
            for (std::size_t other = n + 1; other <= domains; ++other) {
                m_world.setCut(n, other, false);
            }
        }
        break;
    case FuzzActionKind::LogSilent:
        m_world.setLogMode(LogMode::Silent);
        break;
    case FuzzActionKind::LogRefusing:
        m_world.setLogMode(LogMode::Refusing);
        break;
    case FuzzActionKind::LogSlow:
        faults.appendLatency = Milliseconds{action.which % 6'000};
        break;
    case FuzzActionKind::LogLosesAnswers:
        faults.responseLoss = 0.5;
        faults.refusal = action.which % 2 == 0 ? 0.3 : 0;
        break;
    case FuzzActionKind::RestoreLog:
        m_world.setLogMode(LogMode::Up);
        faults = LogFaults{.retention = faults.retention, .encode = faults.encode};
        break;
    case FuzzActionKind::LateMessages:
        m_world.network.late = 0.1;
        break;
    case FuzzActionKind::LoseHeartbeats:
        m_world.network.heartbeatLoss = 0.5;
        break;
    default:
        m_world.network = NetworkFaults{};
        break;
    }
}

void FuzzedCell::performWorkerAction(const FuzzAction &action)
{
    const auto worker = action.which % m_world.workers.size();
    auto &it = *m_world.workers[worker];
    switch (action.kind) {
    case FuzzActionKind::FailAll:
        it.failsAll = true;
        break;
    case FuzzActionKind::FailRunning:
        it.failRunning();
        break;
    case FuzzActionKind::KillWorker:
        m_world.killWorker(worker);
        break;
    case FuzzActionKind::PauseWorker:
        it.setPaused(true);
        break;
    case FuzzActionKind::MarkLeaving:
        m_world.setLeaving(worker, true);
        break;
    case FuzzActionKind::ClearLeaving:
        m_world.setLeaving(worker, false);
        break;
    default:
        for (std::size_t n = 0; n < m_world.workers.size(); ++n) {
            m_world.workers[n]->setPaused(false);
            m_world.workers[n]->failsAll = false;
            m_world.bootWorker(n);
        }
        break;
    }
}

} // namespace flamingotally::fakes
