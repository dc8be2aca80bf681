#include "systems/lease_expiry.h"

#include "attempt_func.h"

namespace flamingotally
{

namespace
{

/**
 * Returns true if every other daemon of this daemon's failure domain has applied the record at an offset. A daemon that
 * has applied the lapsing mark at that offset does not renew the lease again, even while its view is stale.
 */
bool hasDomainApplied(const Node &node, std::uint64_t offset)
{
    const auto domain = node.tables.daemons.get<DaemonIdentity>(selfRef(node)).domain;
    bool hasApplied = true;
    node.tables.daemons.forEach([&](DaemonRef it) {
        const auto &identity = node.tables.daemons.get<DaemonIdentity>(it);
        if (identity.domain != domain || identity.name == node.settings.name) {
            return;
        }
        const auto known = findRef(node.peerByName, identity.name);
        const bool isCurrent = known.isSet() && node.peers.get<Peer>(known).incarnation == identity.incarnation;
        hasApplied = hasApplied && isCurrent && node.peers.get<Peer>(known).appliedOffset > offset;
    });
    return hasApplied;
}

/** Proposes a command about attempts and stores the proposal with each attempt. */
template<typename CommandT>
void proposeForAttempts(Node &node, const CommandT &command, const TickTime &time)
{
    if (command.attempts.empty()) {
        return;
    }
    const auto proposal = propose(node, command, time, true);
    for (const auto it : command.attempts) {
        attemptLinkOf(node, it).expiryProposal = proposal;
    }
}

} // namespace

void LeaseExpiryCollector::addIfDue(AttemptRef attempt, WorkerLinkRef ref)
{
    const bool keepsWhenCutOff = profileSpecOf(m_node.tables, attempt).whenCutOff == CutOffRule::Keep;
    if (!m_node.view.fresh || (keepsWhenCutOff && !isInDomainOf(m_node.tables, attempt, selfRef(m_node)))) {
        return;
    }
    const auto &state = m_node.tables.attempts.get<AttemptState>(attempt);
    if (!state.lapsing) {
        collectMark(attempt, m_node.workerLinks.get<WorkerLink>(ref));
        return;
    }
    auto &row = attemptLinkOf(m_node, m_node.tables.attempts.get<AttemptIdentity>(attempt).number);
    const bool isFirstRead = row.lapsingReadAt == MonotonicTime{};
    if (isFirstRead || (keepsWhenCutOff && !hasDomainApplied(m_node, state.lapsingOffset))) {
        row.lapsingReadAt = m_time.now;
    }
    collectConfirmation(attempt, row);
}

void LeaseExpiryCollector::collectMark(AttemptRef attempt, const WorkerLink &link)
{
    const auto lease = profileSpecOf(m_node.tables, attempt).lease;
    if (link.unreachableSince == MonotonicTime{} || m_time.now - link.unreachableSince < lease) {
        return;
    }
    const auto number = m_node.tables.attempts.get<AttemptIdentity>(attempt).number;
    const auto &row = attemptLinkOf(m_node, number);
    if (!row.ended && !m_node.proposals.contains(row.expiryProposal)) {
        m_marks.attempts.push_back(number);
    }
}

void LeaseExpiryCollector::collectConfirmation(AttemptRef attempt, AttemptLink &row)
{
    const auto &settings = m_node.settings;
    const auto wait = settings.fence + profileSpecOf(m_node.tables, attempt).lease + settings.leaseMargin;
    if (m_time.now - row.lapsingReadAt >= wait && !m_node.proposals.contains(row.expiryProposal)) {
        m_confirmations.attempts.push_back(row.attempt);
    }
}

void LeaseExpiryCollector::propose()
{
    proposeForAttempts(m_node, m_marks, m_time);
    proposeForAttempts(m_node, m_confirmations, m_time);
}

} // namespace flamingotally
