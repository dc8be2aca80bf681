/** @file output.h Prints answers as tables or JSON. */
#pragma once

#include "session.h"

#include <span>
#include <string>
#include <string_view>

namespace flamingotally
{

/** A column of a table: where its values are and what stands above them. */
struct Column {
    std::string_view heading;
    std::string_view path; ///< Names of members with dots between.
};

/** Text of the value at a path; "-" when there is none. */
std::string textAt(const boost::json::value &value, std::string_view path);

/** Whole number at a path; zero when there is none. */
std::uint64_t numberAt(const boost::json::value &value, std::string_view path);

/** Prints the rows of an array in columns of equal width. */
void printTable(const boost::json::value &rows, std::span<const Column> columns);

/** Prints the members of an object, one a line, without lists and the view. */
void printObject(const boost::json::value &object);

/**
 * Prints an answer: as it came for JSON, else by a function. Errors go to standard error.
 * @return The exit code of the answer.
 */
template<typename Function>
ExitCode print(const Session &session, const CtlAnswer &answer, Function &&printText);

/** Tells on standard error how old an answer is, when it is older than the fence. */
void printAge(const boost::json::value &json);

/** Prints an error to standard error. */
void printError(const Session &session, const CtlAnswer &answer);

/** Prints a list of an answer as a table. */
ExitCode
printList(const Session &session, const CtlAnswer &answer, std::string_view name, std::span<const Column> columns);

template<typename Function>
ExitCode print(const Session &session, const CtlAnswer &answer, Function &&printText)
{
    if (answer.code != ExitCode::Ok) {
        printError(session, answer);
    } else if (session.options().output == OutputForm::Json) {
        std::fwrite(answer.body.data(), 1, answer.body.size(), stdout);
        std::fputc('\n', stdout);
    } else {
        printText(answer.json);
        printAge(answer.json);
    }
    return answer.code;
}

} // namespace flamingotally
