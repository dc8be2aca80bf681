/** @file main.cpp Runs one case of this review. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not
 * run. */
#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace
{

constexpr int couldNotRun = 2;
constexpr int argumentCount = 4;

} // namespace

int main(int argc, char **argv)
{
    if (argc != argumentCount) {
        std::cerr << "usage: cell-3 CASE DIRECTORY RECORD\n";
        return couldNotRun;
    }
    const auto *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    int result = couldNotRun;
    try {
        // never destroyed, as threads of connections use it until the program ends
        auto *cell = std::make_unique<cell::Cell>(argv[2], argv[3]).release();
        result = cell::runCase(argv[1], *cell, hasTrouble);
        cell->stopDaemons();
        cell->note("result " + std::to_string(result));
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
    }
    std::cout << "result " << result << std::endl;
    ::_exit(result);
}
