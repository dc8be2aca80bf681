#include "codec/request_codec.h"

#include "codec/json_field.h"
#include "table/profile_field_table.h"
#include "table/resources_field_table.h"

namespace flamingotally
{

namespace
{

/** A member of type `Resources`, which a request body represents as a nested object. */
template<typename T>
struct ResourcesMember {
    std::string_view name;
    Resources T::*member;
};

/**
 * Reads a JSON object whose members are the fields of a table and at most one nested object of resources.
 * @param rows Table of the plain fields.
 * @param resources The member that a nested object of resources is read into; none by default.
 */
template<typename T, typename Rows>
absl::StatusOr<T> parseBody(std::string_view body, const Rows &rows, ResourcesMember<T> resources = {"", nullptr})
{
    const auto object = parseJsonObject(body);
    if (!object.ok()) {
        return object.status();
    }
    T target;
    for (const auto &it : *object) {
        const std::string_view key(it.key().data(), it.key().size());
        const bool isResources = resources.member && key == resources.name;
        auto status = isResources ? readJsonObject(resourcesFieldTable, target.*resources.member, key, it.value())
                                  : readJsonField(rows, target, key, it.value());
        if (!status.ok()) {
            return status;
        }
    }
    return target;
}

} // namespace

absl::StatusOr<SubmitAction> parseSubmit(std::string_view body)
{
    auto action = parseBody<SubmitAction>(body, submitFieldTable, {"resources", &SubmitAction::perTask});
    if (action.ok() && action->profile.empty()) {
        return jsonError("field 'profile' is missing");
    }
    if (action.ok() && action->perTask == Resources{}) {
        return jsonError("field 'resources' is missing or requests no resources");
    }
    return action;
}

absl::StatusOr<ProfileSpec> parseProfileJson(std::string_view body)
{
    return parseBody<ProfileSpec>(body, profileFieldTable);
}

absl::StatusOr<TeamPolicy> parseTeam(std::string_view body)
{
    return parseBody<TeamPolicy>(body, teamFieldTable, {"limit", &TeamPolicy::limit});
}

absl::StatusOr<KeyRequest> parseKeyRequest(std::string_view body)
{
    auto request = parseBody<KeyRequest>(body, keyFieldTable);
    if (request.ok() && request->digest.empty()) {
        return jsonError("field 'digest' is missing");
    }
    return request;
}

} // namespace flamingotally
