/** @file request_codec.h Parses the request bodies of callers and operators, and formats profiles as TOML. */
#pragma once

#include "message_type.h"
#include "table/request_field_table.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace flamingotally
{

/**
 * Parses a job submission in JSON. The HTTP front end fills in the request id, the waiting time and the digest of the
 * body.
 * @return The submission; an error when the body is malformed, or lacks the profile or the resources.
 */
absl::StatusOr<SubmitAction> parseSubmit(std::string_view body);

/**
 * Parses a profile in JSON. Fields that the body omits keep their defaults.
 * @return The profile; an error when the body is malformed, or has an unknown field or an invalid value.
 */
absl::StatusOr<ProfileSpec> parseProfileJson(std::string_view body);

/**
 * Parses a profile in TOML. Fields that the text omits keep their defaults.
 * @param text The TOML text.
 * @param file Name of the file, for error messages.
 * @return The profile; an error with file and line when the text is malformed, or has an unknown key or an invalid
 * value.
 */
absl::StatusOr<ProfileSpec> parseProfileToml(std::string_view text, const std::string &file);

/** Formats a profile as TOML, with all fields in the order of the field table. */
std::string printProfile(const ProfileSpec &spec);

/**
 * Parses the share and limits of a team in JSON. Fields that the body omits keep their defaults.
 * @return The policy of the team; an error when the body is malformed, or has an unknown field or an invalid value.
 */
absl::StatusOr<TeamPolicy> parseTeam(std::string_view body);

/** Parses the request to grant a key in JSON; an error when the body is malformed or lacks the digest. */
absl::StatusOr<KeyRequest> parseKeyRequest(std::string_view body);

} // namespace flamingotally
