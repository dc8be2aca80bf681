/** @file platform_messages.h Encodes and decodes the messages of the platform stand-in. */
#pragma once

#include "dispatch/message_type.h"
#include "net/http_type.h"
#include "store_model.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingotally::standin
{

inline constexpr unsigned statusOk = 200;
inline constexpr unsigned statusNotFound = 404;
inline constexpr unsigned statusConflict = 409;
inline constexpr unsigned statusGone = 410;
inline constexpr unsigned statusOtherInstance = 421;
inline constexpr unsigned statusUnavailable = 503;

/** Returns a parameter of the query, or an empty text when it is missing. */
std::string queryText(const HttpRequest &request, std::string_view name);

/** Returns a number from the query, or zero when it is missing. */
std::uint64_t queryNumber(const HttpRequest &request, std::string_view name);

/** Decodes the body of an append: records with a four-byte length, a one-byte key length, key and value. */
std::vector<ModelRecord> decodeRecords(std::string_view body);

/** Encodes the response to a read: end and first offset of the topic, then the records. */
std::string encodeRead(const std::vector<ModelRecord> &records, const TopicModel &topic);

/** Removes records from the end until the rest has at most the given size, but leaves at least one. */
void truncateTo(std::vector<ModelRecord> &records, std::uint64_t kilobytes);

std::string encodeBase64(const std::string &bytes);

/** Parses a task name ID.OCCURRENCE.STEP[.INDEX], which must be valid. The ID is hexadecimal. */
dispatch::TaskName parseTask(const std::string &text);

/** Returns an integer field, or zero when it is missing or not an integer. */
std::int64_t readNumber(const boost::json::object &body, const char *name);

HttpResponse jsonResponse(unsigned status, const boost::json::object &body);

/** Encodes the result of a start or stop order, or of a poll that was not accepted. */
HttpResponse orderResponse(dispatch::OrderResult result);

/** Encodes the report of a worker. */
boost::json::object encodePollResponse(const dispatch::PollResponse &response);

} // namespace flamingotally::standin
