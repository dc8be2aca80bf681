/** @file bench_cell.h Cell for benchmarks, whose tables are filled by applying log entries as a daemon does. */
#pragma once

#include "command_func.h"
#include "core/digest.h"

#include <fmt/format.h>

#include <random>

namespace flamingotally
{

/** The two-year size: the size of a cell that the design has to support. */
namespace twoyears
{
constexpr std::size_t workers = 690;
constexpr std::size_t daemons = 9;
constexpr std::size_t runningTasks = 6'500;
constexpr std::size_t teams = 62;
constexpr std::size_t domains = 4;
} // namespace twoyears

constexpr std::size_t payloadBytes = 200;
constexpr LogTime benchStart{Milliseconds{1'796'000'000'000}};
constexpr Resources workerSize{64'000, 262'144, 8};
constexpr Resources taskSize{1'000, 1'024, 0};

/** Tables of a cell, filled by applying log entries as a daemon does. */
class BenchCell
{
public:
    /** Applies commands as one log entry and returns their results. */
    std::vector<CommandResult> run(std::vector<Command> commands)
    {
        LogEntry entry;
        entry.offset = tables.position.nextOffset;
        entry.appendedAt = benchStart + Milliseconds{static_cast<std::int64_t>(entry.offset)};
        entry.batch.daemon = "daemon-0";
        entry.batch.incarnation = 1;
        entry.batch.sequence = ++m_sequence;
        entry.batch.commands = std::move(commands);
        m_lastBatch = std::move(entry.batch);
        entry.batch = m_lastBatch;
        return applyEntry(tables, entry).commands;
    }

    /** Returns the batch of commands that the last run() applied. */
    const Batch &lastBatch() const
    {
        return m_lastBatch;
    }

    /** Adds all daemons. */
    void addDaemons()
    {
        for (std::size_t n = 0; n < twoyears::daemons; ++n) {
            const auto name = fmt::format("daemon-{}", n);
            run({JoinDaemon{name, "127.0.0.1:1", "127.0.0.1:2", fmt::format("d{}", n % twoyears::domains), 1, 1}});
        }
    }

    /** Adds worker number n. */
    void addWorker(std::size_t n)
    {
        run({RegisterWorker{fmt::format("worker-{}", n),
                            "127.0.0.1:9000",
                            fmt::format("d{}", n % twoyears::domains),
                            fmt::format("rack-{}", n / 16),
                            workerSize,
                            1}});
    }

    /** Adds team number n and its key. */
    void addTeam(std::size_t n)
    {
        const auto name = fmt::format("team-{}", n);
        TeamPolicy policy;
        policy.limit = workerSize * static_cast<std::int64_t>(twoyears::workers);
        policy.queueLimit = 1'000'000;
        KeyDigest digest{};
        digest[0] = static_cast<std::uint8_t>(n);
        digest[1] = 1;
        run({SetTeam{{}, name, policy, 0}});
        run({GrantKey{{}, name, digest, name, KeyRole::Submitter}});
    }

    /** Returns the command that submits job number n, which has one task, and places the task on a worker. */
    SubmitJob makeSubmission(std::size_t n)
    {
        SubmitJob command;
        command.request = makeRequestId(WallTime{benchStart.time_since_epoch()}, n, n);
        command.name = "render";
        command.key = findRef(tables.lookups.keys, fmt::format("team-{}", n % twoyears::teams));
        command.profile = findRef(tables.lookups.profiles, std::string("batch"));
        command.perTask = taskSize;
        command.payload = payload();
        command.bodyDigest = digestOfBytes(command.payload);
        command.placements = {{0, tables.workers.at(n % twoyears::workers)}};
        return command;
    }

    /** Adds all daemons, workers, teams and running tasks of the two-year size, and a profile. */
    void fill()
    {
        addDaemons();
        for (std::size_t n = 0; n < twoyears::workers; ++n) {
            addWorker(n);
        }
        for (std::size_t n = 0; n < twoyears::teams; ++n) {
            addTeam(n);
        }
        run({PublishProfile{{}, "batch", {}, 0, ""}});
        for (std::size_t n = 0; n < twoyears::runningTasks; ++n) {
            run({makeSubmission(n)});
        }
    }

    Tables tables;

private:
    /** Returns random hexadecimal digits. They compress to half their length, as JSON with few repetitions does. */
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
    Batch m_lastBatch;
};

} // namespace flamingotally
