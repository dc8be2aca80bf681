#include "cases.h"

#include <algorithm>

namespace cell
{

namespace
{

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;
constexpr unsigned statusOk = 200;

void wait(Milliseconds period)
{
    std::this_thread::sleep_for(period);
}

std::string idOf(int n)
{
    constexpr std::size_t digits = 16;
    auto text = std::to_string(n);
    return "a" + std::string(digits - 1 - text.size(), '0') + text;
}

/** Starts a small deployment: three daemons, and eight workers of 16 cores in three zones. */
bool startUp(Cell &cell)
{
    const std::array<std::string, 3> zones{"akl", "wlg", "chc"};
    constexpr std::size_t workers = 8;
    constexpr Milliseconds limit{20'000};
    for (std::size_t n = 0; n < workers; ++n) {
        cell.addWorker("desk", zones[n % zones.size()], {});
    }
    cell.putConfig(makeConfig(1));
    cell.startDaemons(3);
    const bool isReady = cell.awaitReady(limit);
    wait(Milliseconds{2'000});
    return isReady;
}

json::object makeStep(int count, int cpu)
{
    return {{"count", count}, {"cpu", cpu}, {"memMb", 64}, {"estRuntimeMs", 300}};
}

/** A job that a client handed in and that was accepted. */
struct Accepted {
    std::string id;
    std::size_t tasks = 0;
};

/** Returns the body of a small job: a chain of steps with one task each. */
std::string makeChain(int steps, int workMs)
{
    constexpr int cpu = 500;
    json::array list;
    for (int n = 0; n < steps; ++n) {
        auto step = makeStep(1, cpu);
        if (n > 0) {
            step["dependsOn"] = json::array{n - 1};
        }
        list.push_back(std::move(step));
    }
    return makeJob(workMs, std::move(list));
}

/** Hands in a small job, and notes it if it was accepted. */
void submitChain(Cell &cell, std::vector<Accepted> &accepted, int steps, int workMs)
{
    constexpr int attempts = 5;
    static int next = 0;
    const auto id = idOf(next++);
    if (cell.submit(id, makeChain(steps, workMs), attempts).status == statusOk) {
        accepted.push_back({id, static_cast<std::size_t>(steps)});
    }
}

/**
 * Checks the rule LOST from finish_s after the end of the traffic on: a job must be known, and must not have nothing
 * running for 3 s while the workers have room. The jobs are chains, so that a task's turn has come whenever nothing of
 * an unfinished job runs. Returns how many jobs break the rule.
 */
int countLost(Cell &cell, const std::vector<Accepted> &accepted, Milliseconds period)
{
    constexpr Milliseconds finish{14'000};
    constexpr Milliseconds limit{3'000};
    constexpr Milliseconds step{50};
    cell.note("the traffic has ended; " + std::to_string(accepted.size()) + " small jobs were accepted");
    wait(finish);
    std::map<std::string, Clock::time_point> idleSince;
    std::set<std::string> lost;
    const auto until = Clock::now() + period;
    while (Clock::now() < until) {
        std::map<std::string, std::size_t> done;
        std::set<std::string> running;
        std::int64_t used = 0;
        std::int64_t total = 0;
        for (const auto &worker : cell.workers) {
            for (const auto &task : worker->done()) {
                ++done[task.substr(0, task.find('.'))];
            }
            for (const auto &task : worker->running()) {
                running.insert(task.substr(0, task.find('.')));
            }
            used += worker->usedCpu();
            total += worker->capacity().cpu;
        }
        const auto now = Clock::now();
        const bool hasRoom = used * 2 < total;
        for (const auto &it : accepted) {
            const bool isIdle = hasRoom && done[it.id] < it.tasks && !running.contains(it.id);
            if (!isIdle) {
                idleSince.erase(it.id);
            } else if (now - idleSince.try_emplace(it.id, now).first->second >= limit && lost.insert(it.id).second) {
                cell.note("LOST: job " + it.id + " has had nothing running for 3 s, with " + std::to_string(done[it.id])
                          + " of " + std::to_string(it.tasks) + " tasks done and " + std::to_string(used) + " of "
                          + std::to_string(total) + " thousandths of a core in use");
            }
        }
        wait(step);
    }
    for (const auto &it : accepted) {
        const auto state = cell.stateOf(it.id);
        cell.note("job " + it.id + " is shown as " + state);
    }
    cell.note(std::to_string(lost.size()) + " of " + std::to_string(accepted.size()) + " jobs break the rule LOST");
    return static_cast<int>(lost.size());
}

/** A job of many steps, each after the one before it. */
std::string makePipeline(int steps)
{
    json::array list;
    for (int n = 0; n < steps; ++n) {
        json::object step{{"count", 1}, {"cpu", 100}, {"memMb", 16}};
        if (n > 0) {
            step["dependsOn"] = json::array{n - 1};
        }
        list.push_back(std::move(step));
    }
    return makeJob(100, std::move(list));
}

/**
 * Clients hand in chains of small tasks. Then three clients at once hand in a job of many steps each, whose record
 * exceeds what the store takes in one record, and try again as clients do.
 */
int runLongJob(Cell &cell, bool hasTrouble)
{
    constexpr int steps = 4'400;
    constexpr int fewSteps = 3;
    constexpr int others = 10;
    constexpr int clients = 3;
    constexpr int attempts = 5;
    constexpr int chain = 150;
    constexpr int workMs = 200;
    constexpr Milliseconds period{70'000};
    if (!startUp(cell)) {
        return couldNotRun;
    }
    std::vector<Accepted> accepted;
    for (int n = 0; n < others; ++n) {
        submitChain(cell, accepted, chain, workMs);
    }
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int n = 0; n < clients; ++n) {
        threads.emplace_back([&cell, n, hasTrouble] {
            cell.submit("b" + idOf(n).substr(1), makePipeline(hasTrouble ? steps : fewSteps), attempts);
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    return countLost(cell, accepted, period) > 0 ? broken : held;
}

/**
 * A worker that is fully used crashes and starts again under the same id, as a smaller kind. Jobs wait all the while.
 * The rule LIMIT: no start brings a worker over its capacity.
 */
int runSmallerKind(Cell &cell, bool hasTrouble)
{
    constexpr int rounds = 12;
    constexpr int jobsPerRound = 8;
    constexpr int attempts = 4;
    constexpr int cpu = 2'000;
    constexpr Capacity large{16'000, 32'768};
    constexpr Capacity small{4'000, 8'192};
    if (!startUp(cell)) {
        return couldNotRun;
    }
    int job = 0;
    int result = held;
    const auto check = [&] {
        for (const auto &it : cell.workers) {
            if (it->isOverCapacity()) {
                result = broken;
            }
        }
    };
    for (int round = 0; round < rounds; ++round) {
        for (int n = 0; n < jobsPerRound; ++n) {
            cell.submit(idOf(job++), makeJob(3'000, json::array{makeStep(8, cpu)}), attempts);
        }
        auto &worker = *cell.workers[static_cast<std::size_t>(round) % cell.workers.size()];
        wait(Milliseconds{1'500});
        if (hasTrouble) {
            worker.isCutFromStore = true;
            worker.crash();
            wait(Milliseconds{1'000});
            worker.boot(worker.capacity().cpu == large.cpu ? small : large);
            wait(Milliseconds{3'000});
            worker.isCutFromStore = false;
        } else {
            wait(Milliseconds{1'500});
        }
        wait(Milliseconds{1'500});
        check();
    }
    return result;
}

/**
 * A client hands in a job that repeats each second and began more than a day ago, as often as the daemons accept.
 * Others hand in small jobs.
 */
int runManyOccurrences(Cell &cell, bool hasTrouble)
{
    constexpr int times = 100'000;
    constexpr int fewTimes = 3;
    constexpr int width = 36;
    constexpr std::int64_t day = 86'400'000;
    constexpr int others = 20;
    constexpr int attempts = 5;
    constexpr int chain = 3;
    if (!startUp(cell)) {
        return couldNotRun;
    }
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    auto job = json::parse(makeJob(300, json::array{makeStep(width, 100)})).as_object();
    job["repetitions"] = hasTrouble ? times : fewTimes;
    job["intervalMs"] = 1'000;
    job["firstRunMs"] = now.count() - day - day / 4;
    cell.submit("b000000000000001", json::serialize(job), attempts);
    std::vector<Accepted> accepted;
    for (int n = 0; n < others; ++n) {
        submitChain(cell, accepted, chain, 300);
        wait(Milliseconds{200});
    }
    const auto lost = countLost(cell, accepted, Milliseconds{20'000});
    for (const auto &it : cell.daemons) {
        cell.note(it.name + " has ended " + std::to_string(it.ends) + " times and took up to "
                  + std::to_string(it.peakMemory) + " bytes");
    }
    return lost > 0 ? broken : held;
}

/**
 * A worker leaves a start order unanswered and crashes, and crashes again as it comes back, so that it is silent until
 * its lease has run out. Its next life carries the order out late, while the task's next run works elsewhere.
 */
int runLateStart(Cell &cell, bool hasTrouble)
{
    constexpr int others = 20; // so that one order in 21 is late
    constexpr int workMs = 9'000;
    constexpr Milliseconds step{20};
    constexpr Milliseconds down{4'400};
    constexpr Milliseconds limit{5'000};
    constexpr Milliseconds lateAfter{11'000}; // 2 to 12 s
    constexpr Milliseconds period{6'000};
    const std::string id = "b000000000000001";
    if (!startUp(cell)) {
        return couldNotRun;
    }
    for (int n = 0; n < others; ++n) {
        cell.submit(idOf(n), makeJob(300, json::array{makeStep(1, 500)}), 4);
    }
    wait(Milliseconds{6'000}); // the workers' clocks go on
    for (const auto &it : cell.workers) {
        it->setLate(hasTrouble);
    }
    if (cell.submit(id, makeJob(workMs, json::array{makeStep(1, 2'000)}), 4).status != statusOk) {
        return couldNotRun;
    }
    if (hasTrouble) {
        Worker *worker = nullptr;
        for (const auto until = Clock::now() + limit; worker == nullptr && Clock::now() < until;
             wait(Milliseconds{1})) {
            const auto it = std::ranges::find_if(cell.workers, [](const auto &w) { return w->lateOrders() > 0; });
            worker = it == cell.workers.end() ? nullptr : it->get();
        }
        if (worker == nullptr) {
            return couldNotRun;
        }
        const auto orderedAt = Clock::now();
        for (const auto &it : cell.workers) {
            it->setLate(false);
        }
        worker->crash();
        wait(down);
        worker->boot(worker->capacity());
        worker->crash();
        wait(down);
        worker->boot(worker->capacity());
        std::this_thread::sleep_until(orderedAt + lateAfter);
        worker->carryOutLate();
    }
    int twice = 0;
    for (const auto until = Clock::now() + period; Clock::now() < until; wait(step)) {
        std::map<std::string, std::string> runsOn;
        for (const auto &worker : cell.workers) {
            for (const auto &task : worker->running()) {
                const auto [it, isFirst] = runsOn.try_emplace(task, worker->id());
                if (!isFirst && twice++ == 0) {
                    cell.note("TWICE: " + task + " runs on " + it->second + " and on " + worker->id());
                }
            }
        }
    }
    cell.note("the job is shown as " + cell.stateOf(id));
    return twice > 0 ? broken : held;
}

/**
 * Each worker runs a task that takes 45 s and uses a part of it. Then large tasks come at once, which fit on a
 * worker only when that task has ended. Small jobs, for which each worker has room, wait with them.
 */
int runLargeTasks(Cell &cell, bool hasTrouble)
{
    constexpr int workers = 8;
    constexpr int longMs = 45'000;
    constexpr int longCpu = 6'000;
    constexpr int fillMs = 12'000;
    constexpr int fillCpu = 10'000;
    constexpr int largeCpu = 12'000;
    constexpr int smallCpu = 500;
    constexpr int others = 10;
    constexpr int chain = 1;
    constexpr int attempts = 5;
    if (!startUp(cell)) {
        return couldNotRun;
    }
    auto longStep = makeStep(workers, longCpu);
    longStep["estRuntimeMs"] = longMs;
    longStep["antiAffinity"] = 1;
    if (cell.submit("b000000000000001", makeJob(longMs, json::array{longStep}), attempts).status != statusOk) {
        return couldNotRun;
    }
    auto filler = makeStep(workers, fillCpu);
    filler["estRuntimeMs"] = fillMs;
    filler["antiAffinity"] = 1;
    cell.submit("b000000000000002", makeJob(fillMs, json::array{filler}), attempts);
    wait(Milliseconds{1'000});
    for (int n = 0; n < workers; ++n) {
        auto step = makeStep(1, hasTrouble ? largeCpu : smallCpu);
        step["estRuntimeMs"] = 1'000;
        cell.submit("c" + idOf(n).substr(1), makeJob(1'000, json::array{step}), attempts);
    }
    wait(Milliseconds{4'000});
    std::vector<Accepted> accepted;
    for (int n = 0; n < others; ++n) {
        submitChain(cell, accepted, chain, 300);
    }
    return countLost(cell, accepted, Milliseconds{20'000}) > 0 ? broken : held;
}

/**
 * A worker falls silent while jobs are placed. The daemons give as `waiting` fewer than half of the jobs that were
 * accepted over 5 s before and have not begun.
 */
int runSilentWorker(Cell &cell, bool hasTrouble)
{
    constexpr int jobs = 150;
    constexpr Milliseconds visible{5'000};
    constexpr Milliseconds period{12'000};
    if (!startUp(cell)) {
        return couldNotRun;
    }
    std::map<std::string, Clock::time_point> acceptedAt;
    if (hasTrouble) {
        cell.workers.front()->setMute(true);
        cell.note("i-1 falls silent");
    }
    for (int n = 0; n < jobs; ++n) {
        const auto id = idOf(n);
        if (cell.submit(id, makeJob(500, json::array{makeStep(1, 1'000)}), 4).status == statusOk) {
            acceptedAt[id] = Clock::now();
        }
    }
    int wrong = 0;
    std::size_t daemon = 0;
    for (const auto until = Clock::now() + period; Clock::now() < until; wait(Milliseconds{200})) {
        std::set<std::string> begun;
        const auto askedAt = Clock::now();
        const auto result = cell.send(daemon++, "GET", "/queue/", "");
        for (const auto &worker : cell.workers) {
            for (const auto &it : worker->starts()) {
                begun.insert(it.task.substr(0, it.task.find('.')));
            }
        }
        const auto notBegun = std::ranges::count_if(
            acceptedAt, [&](const auto &it) { return askedAt - it.second > visible && !begun.contains(it.first); });
        if (result.status != statusOk) {
            continue;
        }
        const auto waiting = json::parse(result.body).as_object().at("waiting").to_number<std::int64_t>();
        if (waiting * 2 < notBegun) {
            ++wrong;
            cell.note("MIXED: waiting is " + std::to_string(waiting) + ", but " + std::to_string(notBegun)
                      + " jobs accepted over 5 s before have not begun");
        }
    }
    return wrong > 0 ? broken : held;
}

} // namespace

int runCase(const std::string &name, Cell &cell, bool hasTrouble)
{
    const std::map<std::string, int (*)(Cell &, bool)> cases{{"many-occurrences", runManyOccurrences},
                                                             {"long-job", runLongJob},
                                                             {"late-start", runLateStart},
                                                             {"large-tasks", runLargeTasks},
                                                             {"silent-worker", runSilentWorker},
                                                             {"smaller-kind", runSmallerKind}};
    const auto it = cases.find(name);
    return it == cases.end() ? couldNotRun : it->second(cell, hasTrouble);
}

} // namespace cell
