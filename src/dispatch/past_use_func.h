/**
 * @file past_use_func.h Arithmetic of past use: an average of the cores that a team used, over all time, in which use
 * counts half as much after each half-life. It serves pools that are full for hours, where present use alone ranks a
 * team that filled the pool all the time equal to one that has just begun.
 */
#pragma once

#include "dispatch/journal_type.h"
#include "dispatch/objective_func.h"

namespace flamingotally::dispatch
{

/** A team with less past use, in cores, counts as idle: a thousandth of a core is the precision of the record. */
constexpr double idleCores = 0.001;
/** Maximum number of teams in a record, which bounds it to some 30 KB; the teams with the most past use are kept. */
constexpr std::size_t maxTeamsInRecord = 1'000;

/** Returns the factor by which an average decays: 2^(-elapsed / halfLife). Time that runs backwards counts as none. */
double decayFactor(Milliseconds elapsed, Milliseconds halfLife);

/**
 * Returns the average after a period of constant use.
 * @param average The average before the period, in cores.
 * @param use Use during the period, in cores.
 * @param decay Factor by which an average decays in the period.
 */
double averageAfter(double average, double use, double decay);

/**
 * Returns the use by which the groups of a team are ordered.
 * @param present,past Present and past use in cores.
 * @param weightPercent Weight of past use, in percent of that of present use.
 * @param share Share of the team.
 */
double usePerShare(double present, double past, std::uint32_t weightPercent, double share);

/** Returns the record of the given averages at a wall time; it is bounded and leaves out teams that are idle. */
TeamUseRecord makeTeamUseRecord(std::vector<TeamUseRow> rows, Milliseconds writtenAt);

/** Returns the past use in cores that a row of a record stands for, after a decay. */
double coresAfter(const TeamUseRow &row, double decay);

/** Returns true if a record can have been written by an owner: within its bounds, and sorted by unique names. */
bool isPlausible(const TeamUseRecord &record);

/**
 * Returns true if a new record is worth writing: the past use of a team differs by more than a hundredth from what a
 * reader of the stored record computes for the same time.
 */
bool hasChanged(const TeamUseRecord &stored, const TeamUseRecord &current, Milliseconds halfLife);

} // namespace flamingotally::dispatch
