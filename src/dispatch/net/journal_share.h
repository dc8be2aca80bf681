/** @file journal_share.h Reads of the journal between daemons of a region: client and server of POST /v1/journal. */
#pragma once

#include "dispatch/entry_base.h"
#include "dispatch/net/peer_server.h"
#include "net/clock.h"

#include <functional>
#include <map>

namespace flamingotally
{

/** Called once with the result of a read from the region's reader. */
using SharedReadCallback = std::function<void(dispatch::JournalRead)>;

/**
 * Reads the journal from the region's reader.
 * @param client Sends the call.
 * @param daemon Name of this daemon.
 * @param request The request; it contains the reader's address and the time-out.
 * @param callback Called with the records, or with a failed read.
 */
void readFromReader(HttpClient &client,
                    const std::string &daemon,
                    const dispatch::JournalReadRequest &request,
                    SharedReadCallback callback);

/** Serves the reads of other daemons. */
class JournalShareServer
{
public:
    /**
     * Makes a server that has no route yet.
     * @param entry State of the daemon; Entry::inbox receives the requests.
     * @param wake Requests a tick.
     */
    JournalShareServer(dispatch::Entry &entry, std::function<void()> wake);

    /** Adds the route to the server for peers. */
    void addRouteTo(PeerServer &server);

    /** Sends a response that the tick has decided on. Of a snapshot it adds the records. */
    void respond(const dispatch::PeerReadResponse &response);

    /** Frees the memory of a snapshot that is too old to be sent again. */
    void dropOldSnapshot();

private:
    /** A snapshot that was made, for the daemons that ask within a moment. */
    struct Snapshot {
        std::vector<std::string> frames;
        std::uint64_t nextOffset = 0;
        MonotonicTime asOf{};
        MonotonicTime madeAt{};
    };

    void receive(const HttpRequest &request, const HttpResponder &respond);
    void addSnapshot(dispatch::PeerReadResponse &response);

    dispatch::Entry &m_entry;
    std::function<void()> m_wake;
    SystemClock m_clock;
    std::uint64_t m_nextHandle = 1;
    std::map<std::uint64_t, HttpResponder> m_responders;
    Snapshot m_snapshot;
};

} // namespace flamingotally
