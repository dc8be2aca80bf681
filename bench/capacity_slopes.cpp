/**
 * @file capacity_slopes.cpp Measures what each row and each record costs one daemon: memory, time to apply, encoded
 * bytes, digest and snapshot. docs/CAPACITY.md works out the roles from these slopes.
 */
#include "codec/cereal_codec.h"
#include "command_func.h"
#include "core/digest.h"

#include <fmt/format.h>

#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <random>

namespace flamingotally
{

namespace
{

constexpr std::size_t workerCount = 690;
constexpr std::size_t daemonCount = 9;
constexpr std::size_t runningTasks = 6'500;
constexpr std::size_t teamCount = 62;
constexpr std::size_t payloadBytes = 200;
constexpr LogTime start{Milliseconds{1'796'000'000'000}};
constexpr Resources workerSize{64'000, 262'144, 8};
constexpr Resources taskSize{1'000, 1'024, 0};

/** What one run of a function cost. */
struct Cost {
    double microseconds = 0; ///< Time for each item.
    double bytes = 0; ///< Heap for each item.
};

std::size_t heapInUse()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Runs a function over a number of items and measures time and heap for each. */
Cost measure(std::size_t items, const std::function<void()> &function)
{
    const auto heap = heapInUse();
    const auto begin = std::chrono::steady_clock::now();
    function();
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    const auto grown = static_cast<double>(heapInUse()) - static_cast<double>(heap);
    return {took.count() / static_cast<double>(items), grown / static_cast<double>(items)};
}

/** Tables that are filled through the log, as a daemon fills them. */
class CellLog
{
public:
    std::vector<CommandResult> run(std::vector<Command> commands)
    {
        LogEntry entry;
        entry.offset = tables.position.nextOffset;
        entry.appendedAt = start + Milliseconds{static_cast<std::int64_t>(entry.offset)};
        entry.batch.daemon = "daemon-0";
        entry.batch.incarnation = 1;
        entry.batch.sequence = ++m_sequence;
        entry.batch.commands = std::move(commands);
        m_last = std::move(entry.batch);
        entry.batch = m_last;
        return applyEntry(tables, entry).commands;
    }

    /** Encoded size of the last batch, in bytes. */
    std::size_t encodedBytes() const
    {
        return encodeBatch(m_last).size();
    }

    void join()
    {
        for (std::size_t n = 0; n < daemonCount; ++n) {
            const auto name = fmt::format("daemon-{}", n);
            run({JoinDaemon{name, "127.0.0.1:1", "127.0.0.1:2", fmt::format("d{}", n % 4), 1, 1}});
        }
    }

    void addWorker(std::size_t n)
    {
        run({RegisterWorker{fmt::format("worker-{}", n),
                            "127.0.0.1:9000",
                            fmt::format("d{}", n % 4),
                            fmt::format("rack-{}", n / 16),
                            workerSize,
                            1}});
    }

    void addTeam(std::size_t n)
    {
        const auto name = fmt::format("team-{}", n);
        TeamPolicy policy;
        policy.limit = workerSize * static_cast<std::int64_t>(workerCount);
        policy.queueLimit = 1'000'000;
        KeyDigest digest{};
        digest[0] = static_cast<std::uint8_t>(n);
        digest[1] = 1;
        run({SetTeam{{}, name, policy, 0}});
        run({GrantKey{{}, name, digest, name, KeyRole::Submitter}});
    }

    SubmitJob submission(std::size_t n)
    {
        SubmitJob command;
        command.request = makeRequestId(WallTime{start.time_since_epoch()}, n, n);
        command.name = "render";
        command.key = findRef(tables.lookups.keys, fmt::format("team-{}", n % teamCount));
        command.profile = findRef(tables.lookups.profiles, std::string("batch"));
        command.perTask = taskSize;
        command.payload = payload();
        command.bodyDigest = digestOfBytes(command.payload);
        command.placements = {{0, tables.workers.at(n % workerCount)}};
        return command;
    }

    Tables tables;

private:
    /** Random hexadecimal digits: half as long when compressed, as JSON with few repeats is. */
    std::string payload()
    {
        std::string text;
        while (text.size() < payloadBytes) {
            text += fmt::format("{:016x}", m_random());
        }
        text.resize(payloadBytes);
        return text;
    }

    std::mt19937_64 m_random;
    std::uint64_t m_sequence = 0;
    Batch m_last;
};

void print(std::string_view what, const Cost &cost)
{
    fmt::print("{:<44} {:>10.2f} us {:>10.0f} B\n", what, cost.microseconds, cost.bytes);
}

void printBytes(std::string_view what, std::size_t bytes)
{
    fmt::print("{:<44} {:>10} B encoded\n", what, bytes);
}

/** Slopes of rows and of the records that make them. */
void measureRows(CellLog &cell)
{
    const auto addWorkers = [&] {
        for (std::size_t n = 0; n < workerCount; ++n) {
            cell.addWorker(n);
        }
    };
    print("register a worker", measure(workerCount, addWorkers));
    const auto addTeams = [&] {
        for (std::size_t n = 0; n < teamCount; ++n) {
            cell.addTeam(n);
        }
    };
    print("set a team and grant its key", measure(teamCount, addTeams));
    cell.run({PublishProfile{{}, "batch", {}, 0, ""}});
    const auto submit = [&] {
        for (std::size_t n = 0; n < runningTasks; ++n) {
            cell.run({cell.submission(n)});
        }
    };
    print("accept and place a job of one task", measure(runningTasks, submit));
}

/** Accepts, ends and expires jobs, so that only their request ids stay. */
void leaveRequestIds(CellLog &cell, std::size_t count)
{
    constexpr std::size_t expireEvery = 1'000;
    for (std::size_t n = 1; n <= count; ++n) {
        cell.run({cell.submission(runningTasks + n)});
        cell.run({EndAttempts{{{cell.tables.position.nextAttempt - 1, Outcome::Succeeded, {}}}}});
        if (n % expireEvery == 0 || n == count) {
            const auto now = cell.tables.position.time;
            cell.run({ExpireRecords{now + Milliseconds{1}, now - limits::requestWindow, 1'000}});
        }
    }
}

/** Slopes of jobs that have ended and are kept, and of request ids after that. */
void measureEnded(CellLog &cell)
{
    std::vector<AttemptNumber> live;
    cell.tables.attempts.forEach(
        [&](AttemptRef it) { live.push_back(cell.tables.attempts.get<AttemptIdentity>(it).number); });
    const auto endAll = [&] {
        for (const auto it : live) {
            cell.run({EndAttempts{{{it, Outcome::Succeeded, {"done", 4, 1, {}}}}}});
        }
    };
    print("end an attempt", measure(live.size(), endAll));
    const auto now = cell.tables.position.time;
    const auto expire = [&] {
        cell.run({ExpireRecords{now + Milliseconds{1}, now - limits::requestWindow, 1'000}});
    };
    print("expire an ended job", measure(live.size(), expire));
    constexpr std::size_t ids = 100'000;
    print("an id that stays: accept, end and expire", measure(ids, [&] { leaveRequestIds(cell, ids); }));
}

/** Sizes of records alone and in a full batch. */
void measureRecords(CellLog &cell)
{
    cell.run({cell.submission(900'000)});
    const auto one = cell.encodedBytes();
    cell.run({cell.submission(900'001), cell.submission(900'002)});
    printBytes("batch of one accepted and placed job", one);
    printBytes(fmt::format("each further job ({} B of payload)", payloadBytes), cell.encodedBytes() - one);
    cell.run({EndAttempts{{{1, Outcome::Succeeded, {}}}}});
    const auto end = cell.encodedBytes();
    cell.run({EndAttempts{{{1, Outcome::Succeeded, {}}, {2, Outcome::Succeeded, {}}}}});
    printBytes("batch of one ended attempt", end);
    printBytes("each further end", cell.encodedBytes() - end);
    cell.run({PublishProfile{{}, "batch", {}, 1, std::string(payloadBytes, 'p')}});
    printBytes("batch of one published profile", cell.encodedBytes());
    printBytes("heartbeat, before its authentication", encodeHeartbeat({}).size());
}

/** Whole-table costs at the size of two years. */
void measureTables(CellLog &cell)
{
    std::uint64_t digest = 0;
    print("digest of all tables", measure(1, [&] { digest = digestOf(cell.tables); }));
    std::string bytes;
    print("encode all tables", measure(1, [&] { bytes = encodeTables(cell.tables); }));
    printBytes("snapshot", bytes.size());
    const auto decode = [&] {
        const auto loaded = decodeTables(bytes);
        if (!loaded.ok() || digestOf(*loaded) != digest) {
            fmt::print("decoded tables differ\n");
            std::exit(EXIT_FAILURE);
        }
    };
    print("decode all tables, and compare digests", measure(1, decode));
}

} // namespace

} // namespace flamingotally

int main()
{
    using namespace flamingotally;
    CellLog cell;
    fmt::print("{:<44} {:>13} {:>12}\n", "each", "time", "heap");
    cell.join();
    measureRows(cell);
    fmt::print("at {} workers, {} running tasks, {} teams:\n", workerCount, runningTasks, teamCount);
    measureTables(cell);
    measureRecords(cell);
    measureEnded(cell);
    return EXIT_SUCCESS;
}
