/** @file cell.h A simulated cell with teams, keys and profiles, checked by the oracle. */
#pragma once

#include "fakes/oracle.h"

#include <string_view>

namespace flamingotally::fakes
{

/** Name and specification of a profile. */
struct ProfileRow {
    std::string_view name;
    ProfileSpec spec;
};

/** Returns the profiles that every cell publishes at the start. */
const std::vector<ProfileRow> &cellProfiles();

inline constexpr std::array teamNames{"red", "green", "blue"}; ///< Team n gets key n at the start.
inline constexpr std::int64_t ampleCores = 40; ///< Limit of every team at the start, in cores.

/** A world with teams, keys and profiles configured. */
class Cell
{
public:
    explicit Cell(const WorldLayout &layout);

    /** Lets virtual time pass, and runs the checks of the oracle in between. */
    void pass(Milliseconds time);

    /**
     * Sends a command of the operator to a daemon. setLimit(), publish(), grant() and setDomain() do so for one kind of
     * command each.
     * @return Index of the call in the journal.
     */
    std::size_t change(std::size_t daemon, Command command);
    std::size_t setLimit(std::size_t daemon, const std::string &team, std::int64_t cores);
    std::size_t publish(std::size_t daemon, const ProfileRow &profile);
    std::size_t grant(std::size_t daemon, const std::string &label, std::uint8_t number, const std::string &team);
    std::size_t setDomain(std::size_t daemon, std::size_t domain, DomainService service);

    /** Submits a job to a daemon, and adds the call to `submissions`. @return Index of the call in the journal. */
    std::size_t submit(std::size_t daemon, std::optional<KeyDigest> key, const SubmitAction &action);

    /** Makes a submission whose payload is `task` with the next serial number, and so unique. */
    SubmitAction makeSubmission(std::string_view profile, Task task);

    /**
     * Ends all faults, returns all failure domains and limits to their initial state, lets the work end, and checks
     * that all accepted work has ended.
     */
    void finish();

    /** Returns all violations, one for each line; empty if there are none. */
    std::string verdict() const;

    World world;
    Oracle oracle;
    std::vector<std::size_t> submissions; ///< Indexes of the calls of submit() in the journal.

private:
    void setUp();
    void cancelServices();
    bool allEnded() const;

    std::uint64_t m_serial = 0;
};

} // namespace flamingotally::fakes
