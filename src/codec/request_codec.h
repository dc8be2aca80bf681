/** @file request_codec.h Reads the bodies of callers' and operators' requests, and writes profiles. */
#pragma once

#include "message_type.h"
#include "table/request_field_table.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace flamingotally
{

/** Reads a submission in JSON. The id, the waiting time and the digest of the body are the front's to fill in. */
absl::StatusOr<SubmitAction> parseSubmit(std::string_view body);

/** Reads a profile in JSON. */
absl::StatusOr<ProfileSpec> parseProfileJson(std::string_view body);

/**
 * Reads a profile in TOML.
 * @param text The text.
 * @param file Name of its file, for messages.
 */
absl::StatusOr<ProfileSpec> parseProfileToml(std::string_view text, const std::string &file);

/** Writes a profile in TOML, all fields in the order of their table. */
std::string printProfile(const ProfileSpec &spec);

/** Reads what a team is allowed, in JSON. */
absl::StatusOr<TeamPolicy> parseTeam(std::string_view body);

/** Reads the grant of a key, in JSON. */
absl::StatusOr<KeyRequest> parseKeyRequest(std::string_view body);

} // namespace flamingotally
