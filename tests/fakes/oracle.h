/**
 * @file oracle.h Checks the promises by what an outsider sees: calls and answers, runs on workers, the host list, and
 * the configuration that daemons show. It knows nothing of how they are kept.
 */
#pragma once

#include "fakes/world.h"

#include <map>
#include <set>

namespace flamingotally::fakes
{

/** What must always hold. Names: promiseTable. */
enum class Promise : std::uint8_t {
    NoHostOvercommitted,
    NoTaskInTwoPlaces,
    KeyDecidesTeam,
    LimitHolds,
    NoStartInDomainOut,
    WholeOwnAnswer,
    NotRunIsTrue,
    AtMostOnce,
    LeavingGetsNoWork,
    StopCutsNothing,
    ConfigurationHolds,
    WorkReachesEnd,
    End,
};

/** Name of a promise. */
std::string_view nameOf(Promise promise);

/** A promise that was broken. */
struct Violation {
    Promise promise = Promise::End;
    Milliseconds at{0};
    std::string what;
};

/** Watches one world. */
class Oracle
{
public:
    explicit Oracle(const World &world);

    /** Takes in what was seen since the last check and judges it. */
    void check();

    /** To be called while no fault is active and none was for a while: changes without an answer are history now. */
    void settle();

    /** Checks at the end that every accepted job has ended. */
    void checkEnds();

    /** Ids of jobs whose acceptance was answered. */
    const std::set<RequestId> &accepted() const
    {
        return m_accepted;
    }

    const std::vector<Violation> &violations() const
    {
        return m_violations;
    }

    /** Number of checks made. */
    std::uint64_t checks() const
    {
        return m_checks;
    }

private:
    /** An operator's change as the operator sees it. */
    struct Change {
        std::size_t call = 0;
        std::uint64_t value = 0; ///< Digest of the value that it sets.
        bool refused = false;
        bool accepted = false;
        std::uint64_t offset = 0;
        Milliseconds settledAt = notYet;
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
    const Change *certain(const std::string &item) const;
    std::string teamOf(const Call &call) const;
    const ProfileSpec *profile(const std::string &name) const;
    bool allRefused(const std::string &payload) const;
    bool logTroubled() const;
    void report(Promise promise, std::string what);

    const World &m_world;
    Milliseconds m_bound; ///< Within which a change is in force.
    Milliseconds m_now{0}; ///< Time of what is being judged.
    Milliseconds m_troubleAt{0}; ///< Last time at which the platform was in trouble.
    std::size_t m_next = 0; ///< Next observation.
    std::uint64_t m_checks = 0;
    std::map<std::string, Changes> m_changes; ///< By item: "team NAME" and so on.
    std::map<KeyDigest, std::string> m_labels; ///< Label under which a key was granted.
    std::map<std::string, std::vector<std::size_t>> m_submissions; ///< Calls by payload.
    std::map<RequestId, std::set<std::string>> m_payloads; ///< Payloads by id.
    std::map<TaskKey, std::vector<std::size_t>> m_runs;
    std::set<TaskKey> m_active;
    std::set<TaskKey> m_saidNotRun;
    std::vector<Resources> m_used; ///< By worker.
    std::map<std::string, Resources> m_teamUse;
    std::set<RequestId> m_accepted;
    std::vector<Milliseconds> m_healthySince; ///< By daemon.
    std::map<std::pair<std::uint64_t, std::string>, std::uint64_t> m_versions; ///< By daemon's life and item.
    std::vector<Violation> m_violations;
};

} // namespace flamingotally::fakes
