#include "systems/rendezvous.h"

#include "core/digest.h"

#include <string>

namespace flamingotally
{

namespace
{

std::uint64_t weightOf(std::string_view key, const std::string &daemon)
{
    std::string text;
    text.reserve(key.size() + daemon.size() + 1);
    text.append(key).append(1, '\0').append(daemon);
    return digestOfBytes(text);
}

/** Returns the live daemon with the highest weight, in one failure domain or, if the domain is unset, in all. */
DaemonRef highestWeightDaemon(const Node &node, std::string_view key, const TickTime &time, DomainRef domain)
{
    DaemonRef best;
    std::uint64_t bestWeight = 0;
    node.tables.daemons.forEach([&](DaemonRef it) {
        const auto &identity = node.tables.daemons.get<DaemonIdentity>(it);
        if ((domain.isSet() && identity.domain != domain) || !isLiveDaemon(node, it, time)) {
            return;
        }
        if (const auto weight = weightOf(key, identity.name); !best.isSet() || weight > bestWeight) {
            best = it;
            bestWeight = weight;
        }
    });
    return best;
}

} // namespace

DaemonRef rendezvousDaemon(const Node &node, std::string_view key, const TickTime &time, DomainRef domain)
{
    if (domain.isSet()) {
        if (const auto found = highestWeightDaemon(node, key, time, domain); found.isSet()) {
            return found;
        }
    }
    return highestWeightDaemon(node, key, time, {});
}

bool isRendezvousChoice(const Node &node, std::string_view key, const TickTime &time, DomainRef domain)
{
    const auto self = selfRef(node);
    return self.isSet() && rendezvousDaemon(node, key, time, domain) == self;
}

} // namespace flamingotally
