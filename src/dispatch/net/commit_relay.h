/**
 * @file commit_relay.h The calls by which daemons send their batches to the owner of the cell while the store is slow
 * or refuses them.
 */
#pragma once

#include "dispatch/entry_base.h"
#include "net/clock.h"
#include "net/http_client.h"

#include <functional>
#include <map>
#include <string_view>

namespace flamingotally
{

constexpr std::string_view commitPath = "/v1/commit"; ///< Path of these calls at the owner's address for peers.

/** Sends batches to the owner, and passes those of other daemons to the tick. */
class CommitRelay
{
public:
    /**
     * Creates a relay without calls.
     * @param client Sends the calls to the owner.
     * @param entry The daemon whose inbox receives calls and responses.
     * @param wake Requests a tick; called after a message was put into the inbox.
     */
    CommitRelay(HttpClient &client, dispatch::Entry &entry, std::function<void()> wake);

    /** Sends a request; the response, or the failure of the call, arrives in Inbox::commitResponses. */
    void sendCommit(const dispatch::CommitRequest &request);

    /** Answers a call from Inbox::commitCalls. */
    void answerCommit(const dispatch::CommitAnswer &answer);

    /** Handles a request of another daemon to `commitPath`: puts it into Inbox::commitCalls. */
    void serve(const HttpRequest &request, const HttpResponder &respond);

private:
    /** A call that has not been answered yet. */
    struct OpenCall {
        HttpResponder respond;
        MonotonicTime receivedAt{};
    };

    /** Ends calls that no tick has answered within the longest time for which a caller waits. */
    void dropLostCalls();

    HttpClient &m_client;
    dispatch::Entry &m_entry;
    std::function<void()> m_wake;
    SystemClock m_clock;
    dispatch::CallHandle m_nextHandle = 1;
    std::map<dispatch::CallHandle, OpenCall> m_calls; ///< By handle, and so by age.
};

} // namespace flamingotally
