/**
 * @file oracle.h Checks the invariants of a cell on externally visible events: calls and responses, runs on workers,
 * the host list, and the configuration that daemons show. It does not depend on the implementation.
 */
#pragma once

#include "fakes/world.h"

#include <map>
#include <set>

namespace flamingotally::fakes
{

/** Invariants of a cell. Names: invariantTable. */
enum class Invariant : std::uint8_t {
    NoHostOvercommitted,
    NoTaskInTwoPlaces,
    KeyDecidesTeam,
    LimitIsKept,
    NoStartInDomainOut,
    CompleteOwnResponse,
    NotRunIsCorrect,
    AtMostOnce,
    LeavingHostGetsNoWork,
    StopCutsNoRequest,
    ConfigurationInEffect,
    AcceptedWorkEnds,
    End,
};

/** Returns the name of an invariant. */
std::string_view nameOf(Invariant invariant);

/** Violation of an invariant. */
struct Violation {
    Invariant invariant = Invariant::End;
    Milliseconds at{0};
    std::string what;
};

/** Checks the invariants of one world. */
class Oracle
{
public:
    explicit Oracle(const World &world);

    /** Checks the events since the last check, and the configuration of all daemons. */
    void check();

    /**
     * Marks all changes as settled: those whose outcome is unknown cannot be applied later any more. Call it when no
     * fault has been active for some time.
     */
    void settle();

    /** Checks that every accepted job has ended. Call it at the end. */
    void checkEnds();

    /** Returns the request ids of jobs for which a caller received an acceptance. */
    const std::set<RequestId> &accepted() const
    {
        return m_accepted;
    }

    const std::vector<Violation> &violations() const
    {
        return m_violations;
    }

    /** Returns the number of checks made. */
    std::uint64_t checks() const
    {
        return m_checks;
    }

private:
    /** A change by an operator, and its result as seen by that operator. */
    struct Change {
        std::size_t call = 0; ///< Index in the journal.
        std::uint64_t value = 0; ///< Digest of the value that the change sets.
        bool refused = false; ///< Whether the change certainly is never applied.
        bool accepted = false; ///< Whether the operator received an acceptance.
        std::uint64_t offset = 0; ///< Offset of the record of an accepted change.
        Milliseconds settledAt = notYet; ///< From this time on the change cannot be applied any more.
    };
    using Changes = std::vector<Change>;
    using TaskKey = std::pair<RequestId, std::uint32_t>;

    void onCallSent(std::size_t index);
    void onCallAnswered(std::size_t index);
    void onRunStarted(const Run &run);
    void onRunEnded(const Run &run);
    void checkStart(const Run &run, const SubmitAction &submit);
    void checkLimit(const Run &run, const std::string &team);
    void checkAcceptance(const Call &call, const SubmitAction &submit);
    void checkView(const RequestId &request, const JobView &view);
    void checkNotRun(const Call &call, const SubmitAction &submit);
    void checkConfiguration(std::size_t daemon);
    const Change *changeInEffect(const std::string &item) const;
    std::string teamOf(const Call &call) const;
    const ProfileSpec *profile(const std::string &name) const;
    bool allRefused(const std::string &payload) const;
    bool isLogFaulty() const;
    void report(Invariant invariant, std::string what);

    const World &m_world;
    Milliseconds m_changeTimeout; ///< Time within which a change has to be in effect.
    Milliseconds m_now{0}; ///< Time of the event that is being checked.
    Milliseconds m_lastLogFaultAt{0}; ///< Last time at which the log had a fault.
    std::size_t m_next = 0; ///< Index of the next observation to check.
    std::uint64_t m_checks = 0;
    std::map<std::string, Changes> m_changes; ///< By item: "team NAME", "key LABEL" and so on.
    std::map<KeyDigest, std::string> m_labels; ///< Label of each granted key.
    std::map<std::string, std::vector<std::size_t>> m_submissions; ///< Indexes of calls by payload.
    std::map<RequestId, std::set<std::string>> m_payloads; ///< Payloads by request id.
    std::map<TaskKey, std::vector<std::size_t>> m_runs; ///< Worker of each run, by task.
    std::set<TaskKey> m_active; ///< Tasks that are running.
    std::set<TaskKey> m_reportedNotRun; ///< Tasks that a daemon has reported as withdrawn before they ran.
    std::vector<Resources> m_used; ///< Resources of the running tasks, by worker.
    std::map<std::string, Resources> m_teamUse; ///< Resources of the running tasks, by team.
    std::set<RequestId> m_accepted;
    std::vector<Milliseconds> m_healthySince; ///< By daemon: last time at which it did not serve or had a fault.
    /** Last version that a daemon showed, by incarnation and item. */
    std::map<std::pair<std::uint64_t, std::string>, std::uint64_t> m_versions;
    std::vector<Violation> m_violations;
};

} // namespace flamingotally::fakes
