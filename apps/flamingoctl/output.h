/** @file output.h Prints responses as tables or JSON. */
#pragma once

#include "session.h"

#include <span>
#include <string>
#include <string_view>

namespace flamingotally
{

/** A column of a table. */
struct Column {
    std::string_view heading; ///< Text in the first line.
    std::string_view path; ///< Path of the value in each row: member names separated by dots.
};

/** Returns the value at a path as text; "-" when the value is missing or an empty string. */
std::string textAt(const boost::json::value &value, std::string_view path);

/** Returns the integer at a path, a negative one modulo 2^64; zero when the value is missing or not an integer. */
std::uint64_t numberAt(const boost::json::value &value, std::string_view path);

/** Prints a heading and the rows of a JSON array in aligned columns. */
void printTable(const boost::json::value &rows, std::span<const Column> columns);

/**
 * Prints the members of an object as "name: value" lines. Leaves out arrays, which printTable() prints, and the member
 * "view", which describes the age of the data and is left to printAge().
 */
void printObject(const boost::json::value &object);

/**
 * Prints a response: to standard output, or to standard error with printError() when the response is an error.
 * @param printText Called with the parsed body when the output format is `Table`; printAge() follows. When the format
 * is `Json`, the unchanged body and a newline are printed instead.
 * @return The exit code of the response.
 */
template<typename Function>
ExitCode print(const Session &session, const CtlResponse &response, Function &&printText);

/** Prints the age of a response's data to standard error if the daemon found it older than the daemon's `fenceMs`. */
void printAge(const boost::json::value &json);

/** Prints an error response to standard error. */
void printError(const Session &session, const CtlResponse &response);

/**
 * Prints a list in a response as a table, or the whole response as JSON; see print().
 * @param name Name of the member that contains the list.
 * @return The exit code of the response.
 */
ExitCode
printList(const Session &session, const CtlResponse &response, std::string_view name, std::span<const Column> columns);

template<typename Function>
ExitCode print(const Session &session, const CtlResponse &response, Function &&printText)
{
    if (response.code != ExitCode::Ok) {
        printError(session, response);
    } else if (session.options().output == OutputFormat::Json) {
        std::fwrite(response.body.data(), 1, response.body.size(), stdout);
        std::fputc('\n', stdout);
    } else {
        printText(response.json);
        printAge(response.json);
    }
    return response.code;
}

} // namespace flamingotally
