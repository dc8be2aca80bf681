/** @file cases.h The cases. */
#pragma once

#include "cell.h"

namespace cell
{

/** Runs a case. Returns 1 if the rule was broken, 0 if it held, 2 if it could not run. */
int runCase(const std::string &name, Cell &cell, bool hasTrouble);

} // namespace cell
