#include "fakes/scenario.h"

#include "fakes/cell.h"
#include "table/job_table.h"
#include "table/reason_table.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <map>
#include <stdexcept>

namespace flamingotally::fakes
{

namespace
{

constexpr std::int64_t millisecondsPerSecond = 1'000;

/** Runs the steps of one scenario on a cell. */
class ScenarioRunner
{
public:
    explicit ScenarioRunner(const toml::table &scenario) : m_scenario(scenario), m_cell(layoutOf(scenario))
    {
    }

    ScenarioReport run()
    {
        const auto begin = m_cell.world.now();
        for (const auto &it : *m_scenario["steps"].as_array()) {
            m_step = it.as_table();
            const auto at = begin + seconds("at", 0);
            m_cell.pass(at - m_cell.world.now());
            if (m_step->contains("do")) {
                perform(text("do"));
            } else {
                expect(text("expect"));
            }
        }
        m_cell.finish();
        m_text += m_cell.verdict();
        return {m_text.empty(), m_text};
    }

private:
    using Verb = void (ScenarioRunner::*)();

    static WorldLayout layoutOf(const toml::table &scenario)
    {
        WorldLayout layout;
        layout.seed = scenario["seed"].value_or(std::uint64_t{1});
        layout.domains = scenario["domains"].value_or(std::uint64_t{2});
        layout.daemonsPerDomain = scenario["daemons"].value_or(std::uint64_t{2});
        layout.workersPerDomain = scenario["workers"].value_or(std::uint64_t{2});
        return layout;
    }

    std::string text(std::string_view name, std::string_view fallback = {}) const
    {
        return std::string((*m_step)[name].value_or(fallback));
    }

    std::size_t number(std::string_view name, std::int64_t fallback = 0) const
    {
        return static_cast<std::size_t>((*m_step)[name].value_or(fallback));
    }

    Milliseconds seconds(std::string_view name, double fallback) const
    {
        return Milliseconds{static_cast<std::int64_t>((*m_step)[name].value_or(fallback) * millisecondsPerSecond)};
    }

    /** Returns the key that the step names: by its team or its number; nothing for "none". */
    std::optional<KeyDigest> key() const
    {
        const auto name = text("key", "red");
        for (std::uint8_t n = 0; n < std::uint8_t{teamNames.size()}; ++n) {
            if (name == teamNames[n]) {
                return testKey(n);
            }
        }
        return name == "none" ? std::nullopt : std::optional(testKey(static_cast<std::uint8_t>(std::stoi(name))));
    }

    /** Returns the index of one end of a link: a failure domain, or, for any text, the platform. */
    std::size_t linkEnd(const toml::node &node) const
    {
        return node.is_string() ? m_cell.world.platform() : static_cast<std::size_t>(*node.value<std::int64_t>());
    }

    /** Returns the call that the step refers to by `of`. */
    const Call &selectedCall() const
    {
        return m_cell.world.journal.calls[m_calls.at(text("of"))];
    }

    RequestId selectedRequest() const
    {
        const auto &call = selectedCall();
        const auto *submit = std::get_if<SubmitAction>(&call.request.action);
        return submit != nullptr && submit->request.isSet() ? submit->request : call.response.request;
    }

    /** Stores the index of a call under the name of the step. */
    void storeCall(std::size_t call)
    {
        m_calls[text("name", fmt::format("#{}", call))] = call;
    }

    void perform(const std::string &verb)
    {
        const auto found = verbs().find(verb);
        if (found == verbs().end()) {
            throw std::invalid_argument("unknown verb " + verb);
        }
        (this->*found->second)();
    }

    // Callers and operators

    void submit()
    {
        Task task;
        task.runTime = seconds("run", 1);
        task.fails = (*m_step)["fails"].value_or(false);
        task.resultBytes = number("answer_bytes", 16);
        auto action = m_cell.makeSubmission(text("profile", "batch"), task);
        action.request = m_step->contains("same_id_as") ? idOf(text("same_id_as")) : m_cell.world.makeId();
        action.perTask = {static_cast<std::int64_t>(number("cores", 1)) * 1'000, 1'024, 0};
        action.count = static_cast<std::uint32_t>(number("count", 1));
        action.runEstimate = seconds("estimate", 0);
        action.waitForEnd = seconds("wait", 0);
        storeCall(m_cell.submit(number("daemon"), key(), action));
    }

    RequestId idOf(const std::string &call) const
    {
        return std::get<SubmitAction>(m_cell.world.journal.calls[m_calls.at(call)].request.action).request;
    }

    void resubmit()
    {
        const auto action = std::get<SubmitAction>(selectedCall().request.action);
        storeCall(m_cell.submit(number("daemon"), key(), action));
    }

    void cancel()
    {
        storeCall(m_cell.world.call(number("daemon"), key(), CancelAction{selectedRequest()}));
    }

    void setLimit()
    {
        storeCall(m_cell.setLimit(number("daemon"), text("team", "red"), static_cast<std::int64_t>(number("cores"))));
    }

    void grantKey()
    {
        const auto keyNumber = static_cast<std::uint8_t>(std::stoi(text("key")));
        storeCall(m_cell.grant(number("daemon"), text("key"), keyNumber, text("team", "red")));
    }

    void withdrawKey()
    {
        storeCall(m_cell.change(number("daemon"), WithdrawKey{{}, text("key", "red")}));
    }

    void takeDomainOut()
    {
        storeCall(m_cell.setDomain(number("daemon"), number("domain"), DomainService::Out));
    }

    void takeDomainIn()
    {
        storeCall(m_cell.setDomain(number("daemon"), number("domain"), DomainService::In));
    }

    void publish()
    {
        const auto profile = text("profile", "batch");
        auto row = *std::ranges::find(cellProfiles(), profile, &ProfileRow::name);
        row.spec.maxRetries = static_cast<std::uint32_t>(number("retries"));
        storeCall(m_cell.publish(number("daemon"), row));
    }

    // Faults

    void killDaemon()
    {
        m_cell.world.killDaemon(number("daemon"));
    }

    void startDaemon()
    {
        m_cell.world.startDaemon(number("daemon"));
    }

    void stopDaemon()
    {
        m_cell.world.stopDaemon(number("daemon"));
    }

    void pauseDaemon()
    {
        m_cell.world.pauseDaemon(number("daemon"), (*m_step)["in_tick"].value_or(false));
    }

    void resumeDaemon()
    {
        m_cell.world.resumeDaemon(number("daemon"));
    }

    void cutLink()
    {
        const auto &between = *(*m_step)["between"].as_array();
        m_cell.world.setCut(linkEnd(between[0]), linkEnd(between[1]), true);
    }

    void restoreLink()
    {
        const auto &between = *(*m_step)["between"].as_array();
        m_cell.world.setCut(linkEnd(between[0]), linkEnd(between[1]), false);
    }

    void log()
    {
        auto &faults = m_cell.world.log.faults;
        const auto mode = text("mode", "up");
        m_cell.world.setLogMode(mode == "up" ? LogMode::Up : mode == "silent" ? LogMode::Silent : LogMode::Refusing);
        faults.appendLatency = seconds("latency", 0.002);
        faults.responseLoss = (*m_step)["answer_loss"].value_or(0.0);
        faults.refusal = (*m_step)["refusal"].value_or(0.0);
    }

    void network()
    {
        m_cell.world.network.late = (*m_step)["late"].value_or(0.0);
        m_cell.world.network.heartbeatLoss = (*m_step)["heartbeat_loss"].value_or(0.0);
    }

    void failAll()
    {
        m_cell.world.workers[number("worker")]->failsAll = true;
    }

    void killWorker()
    {
        m_cell.world.killWorker(number("worker"));
    }

    void bootWorker()
    {
        m_cell.world.bootWorker(number("worker"));
    }

    void pauseWorker()
    {
        m_cell.world.workers[number("worker")]->setPaused(true);
    }

    void resumeWorker()
    {
        m_cell.world.workers[number("worker")]->setPaused(false);
    }

    void markLeaving()
    {
        m_cell.world.setLeaving(number("worker"), true);
    }

    void clearLeaving()
    {
        m_cell.world.setLeaving(number("worker"), false);
    }

    static const std::map<std::string, Verb> &verbs()
    {
        static const std::map<std::string, Verb> all{
            {"submit", &ScenarioRunner::submit},
            {"submit_again", &ScenarioRunner::resubmit},
            {"cancel", &ScenarioRunner::cancel},
            {"set_limit", &ScenarioRunner::setLimit},
            {"grant_key", &ScenarioRunner::grantKey},
            {"withdraw_key", &ScenarioRunner::withdrawKey},
            {"take_domain_out", &ScenarioRunner::takeDomainOut},
            {"take_domain_in", &ScenarioRunner::takeDomainIn},
            {"publish", &ScenarioRunner::publish},
            {"kill_daemon", &ScenarioRunner::killDaemon},
            {"start_daemon", &ScenarioRunner::startDaemon},
            {"stop_daemon", &ScenarioRunner::stopDaemon},
            {"pause_daemon", &ScenarioRunner::pauseDaemon},
            {"resume_daemon", &ScenarioRunner::resumeDaemon},
            {"cut", &ScenarioRunner::cutLink},
            {"mend", &ScenarioRunner::restoreLink},
            {"log", &ScenarioRunner::log},
            {"network", &ScenarioRunner::network},
            {"fail_all", &ScenarioRunner::failAll},
            {"kill_worker", &ScenarioRunner::killWorker},
            {"boot_worker", &ScenarioRunner::bootWorker},
            {"pause_worker", &ScenarioRunner::pauseWorker},
            {"resume_worker", &ScenarioRunner::resumeWorker},
            {"mark_leaving", &ScenarioRunner::markLeaving},
            {"take_back", &ScenarioRunner::clearLeaving},
        };
        return all;
    }

    // Expectations

    /** Returns the number of runs of the selected job, in the domain and on the worker that the step names, if any. */
    std::size_t countRuns(bool onlyActive) const
    {
        const auto request = selectedRequest();
        const auto &world = m_cell.world;
        const auto matches = [&](const Run &it) {
            const bool inDomain = !m_step->contains("domain") || world.domainOfWorker(it.worker) == number("domain");
            const bool onWorker = !m_step->contains("worker") || it.worker == number("worker");
            return it.request == request && inDomain && onWorker && (!onlyActive || it.endedAt == notYet);
        };
        return static_cast<std::size_t>(std::ranges::count_if(world.journal.runs, matches));
    }

    void expectCount(std::size_t found)
    {
        constexpr std::int64_t many = 1'000'000;
        const bool isExact = m_step->contains("exactly");
        const auto min = isExact ? number("exactly") : number("at_least");
        const auto max = isExact ? number("exactly") : number("at_most", many);
        checkExpectation(found >= min && found <= max, std::to_string(found));
    }

    void expect(const std::string &what)
    {
        if (what == "answer") {
            const auto &call = selectedCall();
            const bool isAnswered = call.state == CallState::Answered;
            const auto reason = isAnswered ? rowOf(reasonTable, call.response.reason).name : "no answer";
            checkExpectation(reason == text("is"), reason);
        } else if (what == "outcome") {
            const auto view = m_cell.world.showJob(m_cell.world.servingDaemon(), selectedRequest());
            const auto outcome = view ? rowOf(outcomeTable, view->outcome).name : "unknown job";
            checkExpectation(outcome == text("is"), outcome);
        } else if (what == "starts") {
            expectCount(countRuns(false));
        } else if (what == "running") {
            expectCount(countRuns(true));
        } else if (what == "daemon") {
            const auto &it = m_cell.world.daemons[number("daemon")];
            const bool isServing = it.state == ProcessState::Running && it.node->phase == NodePhase::Serving;
            const std::string_view found = it.state == ProcessState::Down ? "down"
                : isServing                                               ? "serving"
                                                                          : "not serving";
            checkExpectation(found == text("is"), found);
        } else {
            throw std::invalid_argument("unknown expectation " + what);
        }
    }

    void checkExpectation(bool isMet, std::string_view found)
    {
        if (!isMet) {
            m_text += fmt::format("line {}: expected {} of {}, found {}\n",
                                  m_step->source().begin.line,
                                  text("expect"),
                                  text("of"),
                                  found);
        }
    }

    const toml::table &m_scenario;
    Cell m_cell;
    const toml::table *m_step = nullptr;
    std::map<std::string, std::size_t> m_calls;
    std::string m_text;
};

} // namespace

ScenarioReport runScenario(const std::string &path)
{
    const auto scenario = toml::parse_file(path);
    try {
        return ScenarioRunner(scenario).run();
    } catch (const std::exception &exception) {
        return {false, exception.what()};
    }
}

} // namespace flamingotally::fakes
