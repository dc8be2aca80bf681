/**
 * @file measure.cpp Runs a workload through the real tables and systems of the daemons, over fakes and under a virtual
 * clock, and prints the five measures: waiting times, use of the capacity, distance of the teams from their shares,
 * cost of control and, with --domain-out, the work done around an outage of a failure domain. It models neither the
 * network, nor power, nor the inside of a host.
 */
#include "bench/figures.h"
#include "table/policy_table.h"

#include <boost/program_options.hpp>

#include <cmath>
#include <cstdio>
#include <ctime>

using namespace flamingotally;
using namespace flamingotally::bench;

namespace
{

constexpr Milliseconds startupTime{5'000};
constexpr Milliseconds configurationTime{1'000};
constexpr Milliseconds domainOutTime{20'000};
/** Time in which a domain should be full after its return to service. */
constexpr Milliseconds domainRecoveryTime{10'000};
/** Time after a domain was taken out of service in which work may still leave the domain. */
constexpr Milliseconds leavingTime{5'000};
constexpr std::uint32_t servicesPerJob = 50;
constexpr std::uint32_t queueLimit = 4'000;
constexpr std::int64_t milli = 1'000;
constexpr std::int64_t mbPerGb = 1'024;

/** Parsed command line. */
struct Options {
    std::string workload;
    PolicyKind policy = PolicyKind::Share;
    double load = 1.0; ///< Multiple of the full load: factor on the arrival rates of the workload.
    bool shouldTakeDomainOut = false; ///< Take a failure domain out of service during the measurement.
    std::string csv; ///< File to which the figures are appended; empty for none.
    std::int64_t appendMs = 10; ///< Latency of an append to the log, in milliseconds.
};

/** Runs one workload in a simulated world and prints the figures of the run. */
class Measurement
{
public:
    Measurement(const Options &options, Workload workload)
        : m_options(options), m_workload(std::move(workload)), m_world(m_workload.layout),
          m_random(m_workload.layout.seed)
    {
        m_world.log.faults.appendLatency = Milliseconds{options.appendMs};
        m_world.runFor(startupTime);
        configure();
        m_world.runFor(configurationTime);
        submitServices();
        startArrivals();
    }

    void run()
    {
        m_world.runFor(m_workload.warmUpTime);
        m_before = costs();
        m_window.from = m_world.now();
        if (m_options.shouldTakeDomainOut) {
            runDomainOutage();
        } else {
            m_world.runFor(m_workload.measuredTime);
        }
        m_window.to = m_world.now();
        m_after = costs();
    }

    void print() const
    {
        printWaits();
        printPacking();
        printShares();
        printCosts();
        if (m_options.shouldTakeDomainOut) {
            printDomainOutage();
        }
    }

private:
    /** Cost of control since the start of the world, summed over all daemons. */
    struct Costs {
        std::uint64_t messages = 0;
        std::uint64_t appends = 0;
        std::uint64_t bytes = 0; ///< Bytes appended to the log.
        std::uint64_t ticks = 0;
        std::uint64_t starts = 0; ///< Attempts that workers started.
        std::uint64_t rejections = 0; ///< Commands that were rejected when they were applied.
        double cpuSeconds = 0.0; ///< Processor time of the whole process, fakes included.
    };

    /** Random arrivals of jobs of one class from one team. */
    struct ArrivalSource {
        std::size_t classIndex = 0;
        std::size_t team = 0;
        double perSecond = 0.0; ///< Mean number of jobs per second.
    };

    /** Requests a change of the configuration as operator. */
    void changeConfig(Command command)
    {
        m_world.call(0, fakes::operatorKey(), ConfigAction{std::move(command)});
    }

    /** Sets up the teams, each with a key and with the capacity of the cell as its limit, and the profiles. */
    void configure()
    {
        const Span second{Milliseconds{0}, Milliseconds{milli}};
        const auto cellTotal = capacityIn(m_workload.layout, second, m_workload.layout.domains);
        for (std::size_t n = 0; n < m_workload.shares.size(); ++n) {
            SetTeam team;
            team.name = fmt::format("team-{}", n);
            team.policy.share = m_workload.shares[n];
            team.policy.queueLimit = queueLimit;
            team.policy.limit = {static_cast<std::int64_t>(cellTotal.cpu),
                                 static_cast<std::int64_t>(cellTotal.memory),
                                 static_cast<std::int64_t>(cellTotal.accelerators)};
            changeConfig(team);
        }
        m_world.runFor(configurationTime);
        for (std::size_t n = 0; n < m_workload.shares.size(); ++n) {
            const auto name = fmt::format("team-{}", n);
            changeConfig(GrantKey{{}, name, fakes::testKey(static_cast<std::uint8_t>(n)), name, KeyRole::Submitter});
        }
        for (const auto &it : m_workload.classes) {
            PublishProfile publish;
            publish.name = it.name;
            publish.spec = it.spec;
            changeConfig(publish);
        }
    }

    /** Submits a job of a class, with random sizes, to a random daemon. */
    void submit(std::size_t classIndex, std::size_t team, std::uint32_t count)
    {
        const auto &classRow = m_workload.classes[classIndex];
        SubmitAction action;
        action.request = m_world.makeId();
        action.name = classRow.name;
        action.profile = classRow.name;
        action.perTask = {classRow.cores.draw(m_random) * milli,
                          classRow.memoryGb.draw(m_random) * mbPerGb,
                          classRow.accelerators.draw(m_random)};
        action.count = count;
        const bool isEndless = classRow.spec.kind == WorkKind::Service;
        const Milliseconds runTime{isEndless ? -1 : classRow.runMs.draw(m_random)};
        action.payload = fakes::payloadOf({++m_serial, runTime, false, 16});
        action.bodyDigest = m_serial;
        const auto daemon = m_random() % m_world.daemons.size();
        SubmittedJob job{classIndex, team, count, action.perTask, runTime, m_world.now(), 0};
        const auto request = action.request;
        job.callIndex = m_world.call(daemon, fakes::testKey(static_cast<std::uint8_t>(team)), std::move(action));
        m_jobs[request] = job;
    }

    /** Submits the endless tasks of all classes in several jobs; the teams submit in turn. */
    void submitServices()
    {
        std::size_t team = 0;
        for (std::size_t n = 0; n < m_workload.classes.size(); ++n) {
            for (auto remaining = m_workload.classes[n].fixedTasks; remaining > 0;) {
                const auto count =
                    std::min({remaining, servicesPerJob, std::max(1U, m_workload.classes[n].fixedTasks / 6)});
                submit(n, team++ % m_workload.shares.size(), count);
                remaining -= count;
            }
        }
    }

    /**
     * Returns the arrivals per second at which the work of a class uses WorkClass::load of the cell, times the load of
     * the command line.
     */
    double rateOf(const WorkClass &classRow) const
    {
        const Span second{Milliseconds{0}, Milliseconds{milli}};
        const auto cellTotal = capacityIn(m_workload.layout, second, m_workload.layout.domains);
        const double seconds = classRow.runMs.mean() / milli;
        const double perTask =
            classRow.isAcceleratorLoad ? classRow.accelerators.mean() : classRow.cores.mean() * milli;
        const double capacity = classRow.isAcceleratorLoad ? cellTotal.accelerators : cellTotal.cpu;
        return m_options.load * classRow.load * capacity / (perTask * classRow.count.mean() * seconds);
    }

    /** Schedules the first random job of each class and team. */
    void startArrivals()
    {
        for (std::size_t n = 0; n < m_workload.classes.size(); ++n) {
            const auto &classRow = m_workload.classes[n];
            for (std::size_t team = 0; classRow.load > 0.0 && team < m_workload.demand.size(); ++team) {
                scheduleNext({n, team, rateOf(classRow) * m_workload.demand[team]});
            }
        }
    }

    /** Submits a job after an exponentially distributed pause, and schedules the one after it. */
    void scheduleNext(const ArrivalSource &source)
    {
        const double seconds = std::exponential_distribution<>(source.perSecond)(m_random);
        const Milliseconds pause{static_cast<std::int64_t>(std::ceil(seconds * milli))};
        m_world.queue.after(pause, [this, source] {
            const auto count = m_workload.classes[source.classIndex].count.draw(m_random);
            submit(source.classIndex, source.team, static_cast<std::uint32_t>(count));
            scheduleNext(source);
        });
    }

    /** Takes the last domain out of service or returns it. */
    void setDomain(DomainService service)
    {
        changeConfig(SetDomain{{}, fakes::World::domainName(m_workload.layout.domains - 1), service});
    }

    /** Takes the last domain out of service, returns it, and measures before, during and after the outage. */
    void runDomainOutage()
    {
        m_world.runFor(domainRecoveryTime);
        m_outAt = m_world.now();
        setDomain(DomainService::Out);
        m_world.runFor(domainOutTime);
        m_inAt = m_world.now();
        setDomain(DomainService::In);
        m_world.runFor(2 * domainRecoveryTime);
    }

    /** Returns the costs up to now. */
    Costs costs() const
    {
        Costs sum;
        for (const auto &it : m_world.daemons) {
            const auto &counters = it.node->counters;
            sum.messages += it.messages;
            sum.ticks += it.ticks;
            sum.appends += counters.appends;
            sum.bytes += counters.appendedBytes;
            for (const auto count : counters.rejections) {
                sum.rejections += count;
            }
        }
        sum.starts = m_world.journal.runs.size();
        sum.cpuSeconds = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
        return sum;
    }

    /** Prints one figure, and appends it to the CSV file when there is one. */
    void printRow(const std::string &measure, const std::string &subject, double value, const char *unit) const
    {
        fmt::print("  {:<18} {:<16} {:>12.2f} {}\n", measure, subject, value, unit);
        if (m_options.csv.empty()) {
            return;
        }
        if (auto *file = std::fopen(m_options.csv.c_str(), "a"); file != nullptr) {
            fmt::print(file,
                       "{},{},{},{},{},{},{:.4f},{}\n",
                       m_options.workload,
                       rowOf(policyTable, m_options.policy).name,
                       m_options.load,
                       m_options.shouldTakeDomainOut ? "domain-out" : "steady",
                       measure,
                       subject,
                       value,
                       unit);
            std::fclose(file);
        }
    }

    void printWaits() const
    {
        for (std::size_t n = 0; n < m_workload.classes.size(); ++n) {
            const auto &classRow = m_workload.classes[n];
            if (classRow.fixedTasks > 0) {
                continue;
            }
            const auto figures = waitFiguresOf(m_world.journal, m_jobs, n, m_window);
            printRow("wait p50", classRow.name, figures.p50, "ms");
            printRow("wait p99", classRow.name, figures.p99, "ms");
            printRow("tasks", classRow.name, static_cast<double>(figures.tasks), "tasks");
            printRow("unstarted", classRow.name, static_cast<double>(figures.unstarted), "tasks");
            printRow("refused", classRow.name, static_cast<double>(figures.refused), "tasks");
        }
    }

    /** Prints for each resource the percentage used, and the percentage that could have been used (bound). */
    void printPacking() const
    {
        const auto capacity = capacityIn(m_workload.layout, m_window, m_workload.layout.domains);
        const auto used = usedIn(m_world.journal, m_jobs, m_window);
        const auto demanded = demandIn(m_world.journal, m_jobs, m_window);
        auto printUse = [this](const char *name, double inUse, double wanted, double cellTotal) {
            printRow("used", name, 100.0 * inUse / cellTotal, "%");
            printRow("bound", name, 100.0 * std::min(1.0, wanted / cellTotal), "%");
        };
        printUse("cpu", used.cpu, demanded.cpu, capacity.cpu);
        printUse("memory", used.memory, demanded.memory, capacity.memory);
        printUse("accelerators", used.accelerators, demanded.accelerators, capacity.accelerators);
    }

    /**
     * Prints the largest distance between the usage of a team and the usage that its share entitles it to: in percent
     * of the cell, and in percent of the entitlement.
     */
    void printShares() const
    {
        const auto capacity = capacityIn(m_workload.layout, m_window, m_workload.layout.domains);
        std::vector<double> received;
        std::vector<double> demanded;
        for (std::size_t team = 0; team < m_workload.shares.size(); ++team) {
            received.push_back(usedIn(m_world.journal, m_jobs, m_window, team).dominantShareOf(capacity));
            demanded.push_back(demandIn(m_world.journal, m_jobs, m_window, team).dominantShareOf(capacity));
        }
        double worst = 0.0;
        double worstOfShare = 0.0;
        for (const auto &it : shareFiguresOf(received, demanded, m_workload.shares)) {
            fmt::print("  got {:.3f} entitled {:.3f}\n", it.received, it.entitled);
            worst = std::max(worst, std::abs(it.received - it.entitled));
            worstOfShare = std::max(worstOfShare, std::abs(it.received - it.entitled) / it.entitled);
        }
        printRow("share distance", "of the cell", 100.0 * worst, "%");
        printRow("share distance", "of the share", 100.0 * worstOfShare, "%");
    }

    void printCosts() const
    {
        const double daemonSeconds = m_window.seconds() * static_cast<double>(m_world.daemons.size());
        auto perSecond = [&](auto after, auto before) {
            return static_cast<double>(after - before) / daemonSeconds;
        };
        printRow("cost", "messages", perSecond(m_after.messages, m_before.messages), "a daemon and second");
        printRow("cost", "appends", perSecond(m_after.appends, m_before.appends), "a daemon and second");
        printRow("cost", "appended", perSecond(m_after.bytes, m_before.bytes), "bytes (estimate) a daemon and second");
        printRow("cost", "ticks", perSecond(m_after.ticks, m_before.ticks), "a daemon and second");
        printRow("cost", "cpu with fakes", 100.0 * perSecond(m_after.cpuSeconds, m_before.cpuSeconds), "% of a core");
        printRow("starts",
                 "",
                 static_cast<double>(m_after.starts - m_before.starts) / m_window.seconds(),
                 "a second and cell");
        printRow("rejected", "commands", static_cast<double>(m_after.rejections - m_before.rejections), "at apply");
    }

    /**
     * Returns the use of the scarcer resource (processors or accelerators) over a span, in percent of the use that is
     * possible: the lesser of the capacity and the use before the domain was taken out of service.
     * @param domains Number of failure domains whose capacity counts.
     */
    double workDonePercent(const Span &span, std::size_t domains) const
    {
        const auto capacity = capacityIn(m_workload.layout, span, domains);
        const auto used = usedIn(m_world.journal, m_jobs, span);
        const Span before{m_window.from, m_outAt};
        const auto usual = usedIn(m_world.journal, m_jobs, before);
        const double scale = span.seconds() / before.seconds();
        const bool isCpuBound = usual.cpu / capacity.cpu > usual.accelerators / capacity.accelerators;
        return isCpuBound ? 100.0 * used.cpu / std::min(capacity.cpu, usual.cpu * scale)
                          : 100.0 * used.accelerators / std::min(capacity.accelerators, usual.accelerators * scale);
    }

    void printDomainOutage() const
    {
        const auto domains = m_workload.layout.domains;
        printRow("work done",
                 "while leaving",
                 workDonePercent({m_outAt, m_outAt + leavingTime}, domains - 1),
                 "% of allowed");
        printRow(
            "work done", "while out", workDonePercent({m_outAt + leavingTime, m_inAt}, domains - 1), "% of allowed");
        printRow("work done",
                 "10 s after",
                 workDonePercent({m_inAt + domainRecoveryTime, m_window.to}, domains),
                 "% of before");
    }

    Options m_options;
    Workload m_workload;
    fakes::World m_world;
    std::mt19937_64 m_random;
    SubmittedJobs m_jobs;
    std::uint64_t m_serial = 0;
    Span m_window;
    Milliseconds m_outAt{0};
    Milliseconds m_inAt{0};
    Costs m_before;
    Costs m_after;
};

std::optional<Options> readOptions(int argc, char **argv)
{
    namespace po = boost::program_options;
    Options options;
    std::string policy;
    po::options_description description("Measures a policy over a workload");
    auto add = description.add_options();
    add("help", "print this text");
    add("workload",
        po::value(&options.workload)->default_value("bench/workloads/association.toml"),
        "TOML file of the workload");
    add("policy", po::value(&policy)->default_value("share"), "policy to measure: share, fifo, first-fit or random");
    add("load",
        po::value(&options.load)->default_value(1.0),
        "multiple of the full load: factor on the arrival rates of the workload");
    add("domain-out", po::bool_switch(&options.shouldTakeDomainOut), "take a failure domain out of service for 20 s");
    add("append-ms",
        po::value(&options.appendMs)->default_value(10),
        "latency of an append to the log, in milliseconds");
    add("csv", po::value(&options.csv), "file to append CSV rows to");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    const auto kind = valueFromName(policyTable, policy);
    if (values.count("help") > 0 || !kind) {
        std::ostringstream text;
        text << description;
        fmt::print("{}", text.str());
        return std::nullopt;
    }
    options.policy = *kind;
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto options = readOptions(argc, argv);
        if (!options) {
            return 1;
        }
        auto workload = readWorkload(options->workload);
        workload.layout.settings.policy = options->policy;
        fmt::print("{} policy={} load={} {}\n",
                   options->workload,
                   rowOf(policyTable, options->policy).name,
                   options->load,
                   options->shouldTakeDomainOut ? "domain out" : "steady");
        Measurement measurement(*options, std::move(workload));
        measurement.run();
        measurement.print();
        return 0;
    } catch (const std::exception &error) {
        fmt::print(stderr, "measure: {}\n", error.what());
        return 1;
    }
}
