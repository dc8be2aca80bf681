#include "fakes/fuzz.h"

#include "core/enum_table.h"

#include <fmt/format.h>

#include <ostream>

namespace flamingotally::fakes
{

namespace
{

/** Row of a kind of act. */
struct ActRow {
    ActKind value;
    std::string_view name;
    int weight;
};

constexpr EnumTable<ActKind, ActRow> actTable{{
    {ActKind::Submit, "submit", 40},
    {ActKind::SubmitAtTwo, "submit_at_two", 5},
    {ActKind::SubmitOtherBody, "submit_other_body", 2},
    {ActKind::SubmitAgain, "submit_again", 6},
    {ActKind::Wait, "wait", 5},
    {ActKind::CancelWave, "cancel_wave", 3},
    {ActKind::SetLimit, "set_limit", 3},
    {ActKind::TakeDomainOut, "take_domain_out", 3},
    {ActKind::TakeDomainIn, "take_domain_in", 4},
    {ActKind::GrantKey, "grant_key", 3},
    {ActKind::WithdrawKey, "withdraw_key", 2},
    {ActKind::PublishProfile, "publish_profile", 2},
    {ActKind::KillDaemon, "kill_daemon", 2},
    {ActKind::StopDaemon, "stop_daemon", 2},
    {ActKind::StartDaemons, "start_daemons", 5},
    {ActKind::PauseDaemon, "pause_daemon", 2},
    {ActKind::PauseInTick, "pause_in_tick", 2},
    {ActKind::ResumeDaemons, "resume_daemons", 5},
    {ActKind::CutFromPlatform, "cut_from_platform", 2},
    {ActKind::CutDomains, "cut_domains", 2},
    {ActKind::CutDomainOff, "cut_domain_off", 2},
    {ActKind::MendLinks, "mend_links", 6},
    {ActKind::LogSilent, "log_silent", 1},
    {ActKind::LogRefusing, "log_refusing", 1},
    {ActKind::LogSlow, "log_slow", 2},
    {ActKind::LogLosesAnswers, "log_loses_answers", 2},
    {ActKind::MendLog, "mend_log", 6},
    {ActKind::LateMessages, "late_messages", 2},
    {ActKind::LoseHeartbeats, "lose_heartbeats", 2},
    {ActKind::MendNetwork, "mend_network", 4},
    {ActKind::FailAll, "fail_all", 1},
    {ActKind::FailRunning, "fail_running", 1},
    {ActKind::KillWorker, "kill_worker", 2},
    {ActKind::PauseWorker, "pause_worker", 2},
    {ActKind::MendWorkers, "mend_workers", 5},
    {ActKind::MarkLeaving, "mark_leaving", 2},
    {ActKind::TakeBack, "take_back", 3},
    {ActKind::Pass, "pass", 40},
}};
static_assert(isComplete(actTable));

constexpr std::int64_t leastCores = 4;
constexpr std::uint8_t mostKeys = 200;
constexpr Milliseconds afterAct{40};
constexpr Milliseconds longestPass{5'000};
constexpr Milliseconds untilStopped{-1};

WorldLayout layoutOf(std::uint64_t seed)
{
    WorldLayout layout;
    layout.seed = seed;
    layout.domains = 2 + seed % 2;
    layout.workersPerDomain = 2;
    layout.settings.snapshotInterval = Milliseconds{5'000}; // ten times this lies inside the log's retention
    return layout;
}

} // namespace

std::ostream &operator<<(std::ostream &stream, const Act &act)
{
    return stream << rowOf(actTable, act.kind).name << ' ' << act.which << ' ' << act.how;
}

int weightOf(ActKind kind)
{
    return rowOf(actTable, kind).weight;
}

FuzzedCell::FuzzedCell(std::uint64_t seed) : cell(layoutOf(seed)), m_world(cell.world)
{
}

void FuzzedCell::perform(const Act &act)
{
    if (act.kind <= ActKind::CancelWave) {
        actOnCallers(act);
    } else if (act.kind <= ActKind::PublishProfile) {
        actOnOperators(act);
    } else if (act.kind <= ActKind::ResumeDaemons) {
        actOnDaemons(act);
    } else if (act.kind <= ActKind::MendNetwork) {
        actOnPlatform(act);
    } else if (act.kind <= ActKind::TakeBack) {
        actOnWorkers(act);
    } else {
        cell.pass(Milliseconds{act.which % longestPass.count()});
    }
    cell.pass(afterAct);
}

void FuzzedCell::actOnOperators(const Act &act)
{
    const std::string team = teamNames[act.which % teamNames.size()];
    switch (act.kind) {
    case ActKind::SetLimit: // two operators race
        cell.setLimit(act.how, team, leastCores + act.how % ampleCores);
        cell.setLimit(act.how + 1, team, leastCores + act.which % ampleCores);
        break;
    case ActKind::TakeDomainOut:
        cell.setDomain(act.how, act.which % m_world.layout().domains, DomainService::Out);
        break;
    case ActKind::TakeDomainIn:
        cell.setDomain(act.how, act.which % m_world.layout().domains, DomainService::In);
        break;
    case ActKind::GrantKey:
        if (m_keys < mostKeys) {
            cell.grant(act.how, fmt::format("key-{}", m_keys), m_keys, team);
            ++m_keys;
        }
        break;
    case ActKind::WithdrawKey:
        if (const auto number = act.which % m_keys; number >= teamNames.size()) {
            cell.change(act.how, WithdrawKey{{}, fmt::format("key-{}", number)});
        }
        break;
    default: {
        auto profile = cellProfiles()[act.which % cellProfiles().size()];
        profile.spec.retryBackoff = Milliseconds{100 + act.how % 400};
        cell.publish(act.how, profile);
        break;
    }
    }
}

// Callers -----------------------------------------------------------------------------------------------------------

void FuzzedCell::submit(const Act &act)
{
    const auto &[name, spec] = cellProfiles()[act.which % cellProfiles().size()];
    Task task;
    task.runTime = spec.kind == WorkKind::Service ? untilStopped : Milliseconds{20 + act.how % 3'000};
    task.fails = act.how % 13 == 0;
    task.answerBytes = act.how % 11 == 0 ? 10'000 : 16;
    auto submit = cell.makeSubmission(name, task);
    submit.request = !spec.idempotent || act.how % 3 != 0 ? m_world.makeId() : RequestId{};
    submit.perTask = {1'000 * (1 + act.how % 6), 512 * (1 + act.which % 8), act.how % 7 == 0 ? 1 : 0};
    submit.count = spec.kind == WorkKind::Request ? 1 : 1 + act.how % 4;
    submit.runEstimate = Milliseconds{act.which % 10'000};
    submit.waitForEnd = Milliseconds{act.how % 2 == 0 ? 0 : 8'000};
    const bool hasKey = spec.access == QueueAccess::Keyed && act.how % 17 != 0;
    const auto key = hasKey ? std::optional(testKey(static_cast<std::uint8_t>(act.how % m_keys))) : std::nullopt;
    cell.submit(act.how, key, submit);
    if (act.kind == ActKind::SubmitAtTwo && submit.request.isSet()) {
        cell.submit(act.how + 1, key, submit);
    }
    if (act.kind == ActKind::SubmitOtherBody && submit.request.isSet()) {
        const auto other = cell.makeSubmission(name, task);
        submit.payload = other.payload;
        submit.bodyDigest = other.bodyDigest;
        cell.submit(act.how + 1, key, submit);
    }
}

void FuzzedCell::submitAgain(const Act &act)
{
    if (cell.submissions.empty()) {
        return;
    }
    const auto call = m_world.journal.calls[cell.submissions[act.which % cell.submissions.size()]];
    const auto &submit = std::get<SubmitAction>(call.request.action);
    if (!submit.request.isSet()) {
        return;
    }
    if (act.kind == ActKind::Wait) {
        m_world.call(act.how % m_world.daemons.size(), call.request.key, WaitAction{submit.request, longestPass});
    } else {
        cell.submit(act.how, call.request.key, submit);
    }
}

void FuzzedCell::cancelWave(const Act &act)
{
    for (std::size_t n = cell.submissions.size(); n > 0 && cell.submissions.size() - n < act.which % 30; --n) {
        const auto call = m_world.journal.calls[cell.submissions[n - 1]];
        const auto request = call.answer.request;
        if (request.isSet()) {
            m_world.call(act.how % m_world.daemons.size(), call.request.key, CancelAction{request});
        }
    }
}

void FuzzedCell::actOnCallers(const Act &act)
{
    if (act.kind == ActKind::CancelWave) {
        cancelWave(act);
    } else if (act.kind == ActKind::SubmitAgain || act.kind == ActKind::Wait) {
        submitAgain(act);
    } else {
        submit(act);
    }
}

// Faults ------------------------------------------------------------------------------------------------------------

void FuzzedCell::actOnDaemons(const Act &act)
{
    const auto daemon = act.which % m_world.daemons.size();
    switch (act.kind) {
    case ActKind::KillDaemon:
        m_world.killDaemon(daemon);
        break;
    case ActKind::StopDaemon:
        m_world.stopDaemon(daemon);
        break;
    case ActKind::PauseDaemon:
        m_world.pauseDaemon(daemon, false);
        break;
    case ActKind::PauseInTick:
        m_world.pauseDaemon(daemon, true);
        break;
    case ActKind::StartDaemons:
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

void FuzzedCell::actOnPlatform(const Act &act)
{
    const auto domains = m_world.layout().domains;
    const auto domain = act.which % domains;
    auto &faults = m_world.log.faults;
    switch (act.kind) {
    case ActKind::CutFromPlatform:
        m_world.setCut(domain, m_world.platform(), true);
        break;
    case ActKind::CutDomains:
        m_world.setCut(domain, (domain + 1) % domains, true);
        break;
    case ActKind::CutDomainOff:
        for (std::size_t n = 0; n <= domains; ++n) {
            m_world.setCut(domain, n, n != domain);
        }
        break;
    case ActKind::MendLinks:
        for (std::size_t n = 0; n <= domains; ++n) {
            for (std::size_t other = n + 1; other <= domains; ++other) {
                m_world.setCut(n, other, false);
            }
        }
        break;
    case ActKind::LogSilent:
        m_world.setLogMode(LogMode::Silent);
        break;
    case ActKind::LogRefusing:
        m_world.setLogMode(LogMode::Refusing);
        break;
    case ActKind::LogSlow:
        faults.appendLatency = Milliseconds{act.which % 6'000};
        break;
    case ActKind::LogLosesAnswers:
        faults.answerLoss = 0.5;
        faults.refusal = act.which % 2 == 0 ? 0.3 : 0;
        break;
    case ActKind::MendLog:
        m_world.setLogMode(LogMode::Up);
        faults = LogFaults{.retention = faults.retention, .encode = faults.encode};
        break;
    case ActKind::LateMessages:
        m_world.network.late = 0.1;
        break;
    case ActKind::LoseHeartbeats:
        m_world.network.heartbeatLoss = 0.5;
        break;
    default:
        m_world.network = NetworkFaults{};
        break;
    }
}

void FuzzedCell::actOnWorkers(const Act &act)
{
    const auto worker = act.which % m_world.workers.size();
    auto &it = *m_world.workers[worker];
    switch (act.kind) {
    case ActKind::FailAll:
        it.failsAll = true;
        break;
    case ActKind::FailRunning:
        it.failRunning();
        break;
    case ActKind::KillWorker:
        m_world.killWorker(worker);
        break;
    case ActKind::PauseWorker:
        it.setPaused(true);
        break;
    case ActKind::MarkLeaving:
        m_world.setLeaving(worker, true);
        break;
    case ActKind::TakeBack:
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
