#include "net/front_action.h"

#include "codec/request_codec.h"
#include "core/digest.h"
#include "core/error.h"
#include "key_func.h"

#include <fmt/format.h>

#include <charconv>
#include <limits>

namespace flamingotally
{

namespace
{

constexpr std::string_view tomlType = "application/toml";

/** Makes the error for a body that could not be parsed. */
HttpError bodyError(const absl::Status &status, Reason reason = Reason::MalformedRequest)
{
    HttpError error;
    error.reason = reason;
    error.detail = std::string(status.message());
    return error;
}

std::optional<RequestId> jobIdOf(const RouteMatch &match)
{
    return parseRequestId(match.subject);
}

HttpError numberError(std::string_view name, std::uint64_t max)
{
    return malformedRequest(fmt::format("query parameter '{}': expected a whole number from 0 to {}", name, max));
}

ActionResult submit(const HttpRequest &request)
{
    auto action = parseSubmit(request.body);
    if (!action.ok()) {
        return bodyError(action.status());
    }
    if (!request.idempotencyKey.empty()) {
        const auto id = parseRequestId(request.idempotencyKey);
        if (!id) {
            return HttpError{Reason::RequestIdMalformed};
        }
        action->request = *id;
    }
    const auto waitMs = queryNumber(request, "waitMs", maxWaitForEnd.count(), 0);
    if (!waitMs) {
        return numberError("waitMs", maxWaitForEnd.count());
    }
    action->waitForEnd = Milliseconds{*waitMs};
    action->bodyDigest = digestOfBytes(request.body);
    return CallerAction{std::move(*action)};
}

ActionResult waitForJob(const RouteMatch &match, const HttpRequest &request)
{
    const auto id = jobIdOf(match);
    if (!id) {
        return HttpError{Reason::RequestIdMalformed};
    }
    const auto waitMs = queryNumber(request, "waitMs", maxWaitForEnd.count(), 0);
    if (!waitMs) {
        return numberError("waitMs", maxWaitForEnd.count());
    }
    return CallerAction{WaitAction{*id, Milliseconds{*waitMs}}};
}

ActionResult cancel(const RouteMatch &match)
{
    const auto id = jobIdOf(match);
    return id ? ActionResult(CallerAction{CancelAction{*id}}) : ActionResult(HttpError{Reason::RequestIdMalformed});
}

/** Makes the action that changes the configuration by a command. */
ActionResult makeConfigAction(Command command)
{
    return CallerAction{ConfigAction{std::move(command)}};
}

ActionResult publishProfile(const RouteMatch &match, const HttpRequest &request, std::uint64_t version)
{
    const bool isToml = fieldValue(request.fields, "Content-Type").starts_with(tomlType);
    const auto spec = isToml ? parseProfileToml(request.body, match.subject + ".toml") : parseProfileJson(request.body);
    if (!spec.ok()) {
        return bodyError(spec.status(), Reason::ProfileInvalid);
    }
    PublishProfile command;
    command.name = match.subject;
    command.spec = *spec;
    command.expectedVersion = version;
    command.source = isToml ? request.body : printProfile(*spec);
    return makeConfigAction(std::move(command));
}

ActionResult setTeam(const RouteMatch &match, const HttpRequest &request, std::uint64_t version)
{
    const auto policy = parseTeam(request.body);
    if (!policy.ok()) {
        return bodyError(policy.status());
    }
    return makeConfigAction(SetTeam{{}, match.subject, *policy, version});
}

ActionResult grantKey(const RouteMatch &match, const HttpRequest &request)
{
    const auto key = parseKeyRequest(request.body);
    if (!key.ok()) {
        return bodyError(key.status());
    }
    const auto digest = parseKeyDigest(key->digest);
    return makeConfigAction(GrantKey{{}, match.subject, digest.value_or(KeyDigest{}), key->team, key->role});
}

/** Converts a request into a change of the configuration. */
ActionResult toChange(const RouteMatch &match, const HttpRequest &request)
{
    constexpr auto maxVersion = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const auto version = queryNumber(request, "expectedVersion", maxVersion, 0);
    if (!version) {
        return numberError("expectedVersion", maxVersion);
    }
    if (match.subject.size() > 63 || !isWellFormed(FieldKind::Name, match.subject)) {
        return malformedRequest("expected a name of 1 to 63 letters, digits, '.', '_' or '-'");
    }
    switch (match.route) {
    case Route::PublishProfile:
        return publishProfile(match, request, *version);
    case Route::DeleteProfile:
        return makeConfigAction(DeleteProfile{{}, match.subject, *version});
    case Route::SetTeam:
        return setTeam(match, request, *version);
    case Route::DeleteTeam:
        return makeConfigAction(DeleteTeam{{}, match.subject, *version});
    case Route::GrantKey:
        return grantKey(match, request);
    case Route::WithdrawKey:
        return makeConfigAction(WithdrawKey{{}, match.subject});
    case Route::TakeDomainOut:
        return makeConfigAction(SetDomain{{}, match.subject, DomainService::Out, *version});
    default:
        return makeConfigAction(SetDomain{{}, match.subject, DomainService::In, *version});
    }
}

} // namespace

ActionResult toAction(const RouteMatch &match, const HttpRequest &request)
{
    switch (match.route) {
    case Route::SubmitJob:
        return submit(request);
    case Route::ShowJob:
        return waitForJob(match, request);
    case Route::CancelJob:
        return cancel(match);
    default:
        return toChange(match, request);
    }
}

HttpError malformedRequest(std::string detail)
{
    HttpError error;
    error.detail = std::move(detail);
    return error;
}

std::optional<std::uint64_t>
queryNumber(const HttpRequest &request, std::string_view name, std::uint64_t max, std::uint64_t fallback)
{
    const auto text = fieldValue(request.query, name);
    if (text.empty()) {
        return fallback;
    }
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = ec == std::errc{} && end == text.data() + text.size();
    return isNumber && number <= max ? std::optional(number) : std::nullopt;
}

} // namespace flamingotally
