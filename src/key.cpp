#include "key_func.h"

namespace flamingotally
{

KeyRef findKey(const Tables &tables, const KeyDigest &digest)
{
    KeyRef found;
    tables.keys.forEach([&](KeyRef it) {
        if (isEqualInConstantTime(tables.keys.get<KeyGrant>(it).digest, digest)) {
            found = it;
        }
    });
    return found;
}

BearerRights rightsOf(const Tables &tables, const Settings &settings, const std::optional<KeyDigest> &digest)
{
    BearerRights rights;
    if (!digest) {
        return rights;
    }
    const auto bootstrap = parseKeyDigest(settings.operatorKeyDigest);
    if (bootstrap && isEqualInConstantTime(*bootstrap, *digest)) {
        rights.reason = Reason::None;
        rights.role = KeyRole::Operator;
        return rights;
    }
    rights.key = findKey(tables, *digest);
    if (!rights.key.isSet()) {
        rights.reason = Reason::KeyUnknown;
        return rights;
    }
    const auto &grant = tables.keys.get<KeyGrant>(rights.key);
    rights.reason = grant.withdrawn ? Reason::KeyWithdrawn : Reason::None;
    rights.role = grant.role;
    rights.team = grant.team;
    return rights;
}

} // namespace flamingotally
