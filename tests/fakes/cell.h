/** @file cell.h A cell with teams, keys and profiles, watched by the oracle. */
#pragma once

#include "fakes/oracle.h"

#include <string_view>

namespace flamingotally::fakes
{

/** A profile of every cell. */
struct ProfileRow {
    std::string_view name;
    ProfileSpec spec;
};

/** The profiles of every cell. */
const std::vector<ProfileRow> &cellProfiles();

inline constexpr std::array teamNames{"red", "green", "blue"}; ///< Each has a key under its own number from the start.
inline constexpr std::int64_t ampleCores = 40; ///< Limit of every team at the start.

/** A world that is set up for work. */
class Cell
{
public:
    explicit Cell(const WorldLayout &layout);

    /** Lets time pass, with checks on the way. */
    void pass(Milliseconds time);

    /** Sends an operator's change to a daemon. @return The call. */
    std::size_t change(std::size_t daemon, Command command);
    std::size_t setLimit(std::size_t daemon, const std::string &team, std::int64_t cores);
    std::size_t publish(std::size_t daemon, const ProfileRow &profile);
    std::size_t grant(std::size_t daemon, const std::string &label, std::uint8_t number, const std::string &team);
    std::size_t setDomain(std::size_t daemon, std::size_t domain, DomainService service);

    /** Submits work. @return The call. */
    std::size_t submit(std::size_t daemon, std::optional<KeyDigest> key, const SubmitAction &action);

    /** Makes a submission with a payload of its own. */
    SubmitAction makeSubmission(std::string_view profile, Task task);

    /** Ends all faults, lets the work end, and checks that it did. */
    void finish();

    /** All violations, one a line. */
    std::string verdict() const;

    World world;
    Oracle oracle;
    std::vector<std::size_t> submissions; ///< Calls.

private:
    void setUp();
    void cancelServices();
    bool allEnded() const;

    std::uint64_t m_serial = 0;
};

} // namespace flamingotally::fakes
