/**
 * @file capacity_slopes.cpp Measures the cost of each table row and each log record for one daemon: memory, time to
 * apply, encoded bytes, digest and snapshot. docs/CAPACITY.md derives the capacity of each role from these slopes (the
 * cost of one more row or record).
 */
#include "bench_cell.h"
#include "codec/cereal_codec.h"

#include <fmt/format.h>

#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <functional>

namespace flamingotally
{

namespace
{

/** Mean cost of one item. */
struct Cost {
    double microseconds = 0; ///< Time per item.
    double bytes = 0; ///< Heap growth per item.
};

/** Returns the number of bytes that are allocated on the heap. */
std::size_t heapInUse()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Runs a function that handles `items` items, and returns its mean cost per item. */
Cost measure(std::size_t items, const std::function<void()> &function)
{
    const auto heap = heapInUse();
    const auto begin = std::chrono::steady_clock::now();
    function();
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    const auto grown = static_cast<double>(heapInUse()) - static_cast<double>(heap);
    return {took.count() / static_cast<double>(items), grown / static_cast<double>(items)};
}

void print(std::string_view label, const Cost &cost)
{
    fmt::print("{:<44} {:>10.2f} us {:>10.0f} B\n", label, cost.microseconds, cost.bytes);
}

void printBytes(std::string_view label, std::size_t bytes)
{
    fmt::print("{:<44} {:>10} B encoded\n", label, bytes);
}

/** Measures the cost of a worker, of a team with its key, and of a job, each with the record that creates it. */
void measureRows(BenchCell &cell)
{
    const auto addWorkers = [&] {
        for (std::size_t n = 0; n < twoyears::workers; ++n) {
            cell.addWorker(n);
        }
    };
    print("register a worker", measure(twoyears::workers, addWorkers));
    const auto addTeams = [&] {
        for (std::size_t n = 0; n < twoyears::teams; ++n) {
            cell.addTeam(n);
        }
    };
    print("set a team and grant its key", measure(twoyears::teams, addTeams));
    cell.run({PublishProfile{{}, "batch", {}, 0, ""}});
    const auto submit = [&] {
        for (std::size_t n = 0; n < twoyears::runningTasks; ++n) {
            cell.run({cell.makeSubmission(n)});
        }
    };
    print("accept and place a job of one task", measure(twoyears::runningTasks, submit));
}

/** Accepts, ends and expires `count` jobs, so that only their request ids are retained. */
void retainRequestIds(BenchCell &cell, std::size_t count)
{
    constexpr std::size_t jobsPerExpiry = 1'000;
    for (std::size_t n = 1; n <= count; ++n) {
        cell.run({cell.makeSubmission(twoyears::runningTasks + n)});
        cell.run({EndAttempts{{{cell.tables.position.nextAttempt - 1, Outcome::Succeeded, {}}}}});
        if (n % jobsPerExpiry == 0 || n == count) {
            const auto now = cell.tables.position.time;
            cell.run({ExpireRecords{now + Milliseconds{1}, now - limits::requestWindow, 1'000}});
        }
    }
}

/**
 * Measures the cost of each ended job that is retained, of its expiry, and of each request id that is retained after
 * its job has expired.
 */
void measureEndedJobs(BenchCell &cell)
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
    print("an id that stays: accept, end and expire", measure(ids, [&] { retainRequestIds(cell, ids); }));
}

/** Measures the encoded size of batches of one record, and the bytes that a further record adds to a batch. */
void measureRecords(BenchCell &cell)
{
    cell.run({cell.makeSubmission(900'000)});
    const auto oneJob = encodeBatch(cell.lastBatch()).size();
    cell.run({cell.makeSubmission(900'001), cell.makeSubmission(900'002)});
    printBytes("batch of one accepted and placed job", oneJob);
    printBytes(fmt::format("each further job ({} B of payload)", payloadBytes),
               encodeBatch(cell.lastBatch()).size() - oneJob);
    cell.run({EndAttempts{{{1, Outcome::Succeeded, {}}}}});
    const auto oneEnd = encodeBatch(cell.lastBatch()).size();
    cell.run({EndAttempts{{{1, Outcome::Succeeded, {}}, {2, Outcome::Succeeded, {}}}}});
    printBytes("batch of one ended attempt", oneEnd);
    printBytes("each further end", encodeBatch(cell.lastBatch()).size() - oneEnd);
    cell.run({PublishProfile{{}, "batch", {}, 1, std::string(payloadBytes, 'p')}});
    printBytes("batch of one published profile", encodeBatch(cell.lastBatch()).size());
    printBytes("heartbeat, before its authentication", encodeHeartbeat({}).size());
}

/** Measures the cost of operations on all tables at the two-year size. */
void measureTables(BenchCell &cell)
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
    BenchCell cell;
    fmt::print("{:<44} {:>13} {:>12}\n", "each", "time", "heap");
    cell.addDaemons();
    measureRows(cell);
    fmt::print(
        "at {} workers, {} running tasks, {} teams:\n", twoyears::workers, twoyears::runningTasks, twoyears::teams);
    measureTables(cell);
    measureRecords(cell);
    measureEndedJobs(cell);
    fmt::print("with the ids that stayed:\n");
    measureTables(cell);
    return EXIT_SUCCESS;
}
