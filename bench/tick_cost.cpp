/**
 * @file tick_cost.cpp Measures the cost of one tick of a daemon at the two-year size: with nothing to do, and with one
 * record to apply. docs/CAPACITY.md derives the processor time of a daemon from these figures.
 */
#include "bench_cell.h"
#include "node_func.h"
#include "systems/systems.h"

#include <chrono>
#include <functional>

namespace flamingotally
{

namespace
{

constexpr int tickCount = 2'000;
constexpr Milliseconds tickInterval{10};

/** A serving daemon whose peers are all live. */
class ServingNode
{
public:
    ServingNode()
    {
        m_cell.fill();
        node.settings.name = "daemon-0";
        node.settings.domain = "d0";
        node.incarnation = 1;
        node.phase = NodePhase::Serving;
        node.tables = m_cell.tables;
        node.view.caughtUp = true;
    }

    /** Runs one tick, in which the daemon applies the given commands as a batch that it has read from the log. */
    void run(std::vector<Command> commands)
    {
        m_time.now += tickInterval;
        receiveHeartbeats();
        node.hostsReceivedAt = m_time.now;
        LogRead read;
        read.requestedAt = m_time.now;
        if (!commands.empty()) {
            m_cell.run(std::move(commands));
            LogEntry entry;
            entry.offset = node.tables.position.nextOffset;
            entry.appendedAt = m_cell.tables.position.time;
            entry.batch = m_cell.lastBatch();
            read.entries.push_back(std::move(entry));
        }
        read.head = m_cell.tables.position.nextOffset;
        node.inbox.logReads.push_back(std::move(read));
        const auto begin = std::chrono::steady_clock::now();
        tick(node, m_time);
        tickTime += std::chrono::steady_clock::now() - begin;
        node.outbox = {};
    }

    /** Returns the command that submits job number n. */
    SubmitJob makeSubmission(std::size_t n)
    {
        return m_cell.makeSubmission(n);
    }

    /** Returns the number of the newest attempt in the log. */
    AttemptNumber newestAttempt() const
    {
        return m_cell.tables.position.nextAttempt - 1;
    }

    Node node;
    std::chrono::steady_clock::duration tickTime{}; ///< Total time spent in ticks.

private:
    /** Puts a heartbeat of every other daemon into the inbox. */
    void receiveHeartbeats()
    {
        for (std::size_t n = 1; n < twoyears::daemons; ++n) {
            ReceivedHeartbeat received;
            received.heartbeat.daemon = fmt::format("daemon-{}", n);
            received.heartbeat.incarnation = 1;
            received.receivedAt = m_time.now;
            node.inbox.heartbeats.push_back(std::move(received));
        }
    }

    BenchCell m_cell;
    TickTime m_time{MonotonicTime{Milliseconds{1'000'000}}, WallTime{benchStart.time_since_epoch()}};
};

/** Prints the mean cost of one of tickCount ticks. */
void print(std::string_view label, std::chrono::steady_clock::duration total)
{
    const std::chrono::duration<double, std::micro> each = total / tickCount;
    fmt::print("{:<44} {:>10.1f} us\n", label, each.count());
}

/**
 * Runs tickCount ticks and prints the mean cost of one.
 * @param commandsOf Returns the commands that the tick with a given number applies.
 */
void measure(ServingNode &daemon, std::string_view label, const std::function<std::vector<Command>(int)> &commandsOf)
{
    daemon.tickTime = {};
    for (int n = 0; n < tickCount; ++n) {
        daemon.run(commandsOf(n));
    }
    print(label, daemon.tickTime);
}

} // namespace

} // namespace flamingotally

int main()
{
    using namespace flamingotally;
    ServingNode daemon;
    fmt::print("each tick, at {} workers and {} running tasks:\n", twoyears::workers, twoyears::runningTasks);
    measure(daemon, "nothing to apply", [](int) { return std::vector<Command>{}; });
    measure(daemon, "one job accepted and placed", [&](int n) {
        return std::vector<Command>{daemon.makeSubmission(twoyears::runningTasks + static_cast<std::size_t>(n))};
    });
    measure(daemon, "one attempt ended", [&](int n) {
        const auto attempt = daemon.newestAttempt() - static_cast<AttemptNumber>(n);
        return std::vector<Command>{EndAttempts{{{attempt, Outcome::Succeeded, {}}}}};
    });
    return EXIT_SUCCESS;
}
