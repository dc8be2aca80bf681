#include "dispatch/net/journal_share.h"

#include "dispatch/codec/journal_share_codec.h"

#include <utility>

namespace flamingotally
{

using namespace dispatch;

namespace
{

constexpr std::string_view journalPath = "/v1/journal";
constexpr std::string_view bytesType = "application/octet-stream";
constexpr unsigned statusOk = 200;
constexpr unsigned statusMalformed = 400;
constexpr unsigned statusUnavailable = 503;
/** Daemons that start together ask within this time. With the age of the view it was made from, it stays usable. */
constexpr Milliseconds snapshotLifetime{400};
/** Maximum time in which a response may go on arriving, as a snapshot over a narrow link of a host takes long. */
constexpr Milliseconds maxReceiveTime{10'000};
/** Further requests are refused: a daemon has one or two at a time. */
constexpr std::size_t maxOpenRequests = 1'024;

} // namespace

void readFromReader(HttpClient &client,
                    const std::string &daemon,
                    const JournalReadRequest &request,
                    SharedReadCallback callback)
{
    HttpCall call;
    call.address = request.reader;
    call.method = HttpMethod::Post;
    call.target = journalPath;
    call.contentType = bytesType;
    call.body = encodePeerReadRequest({daemon, request.from, request.wait, request.isSnapshot});
    call.timeout = request.timeout;
    call.maxReceiveTime = request.isSnapshot ? maxReceiveTime : Milliseconds{0};
    call.maxResponseBytes = maxShareBytes;
    call.step = Step::ReadLog;
    const SystemClock clock;
    client.send(std::move(call),
                [clock, sentAt = clock.now(), number = request.number, callback = std::move(callback)](
                    const HttpResult &result) {
                    const bool isAnswered = result.ok() && result->status == statusOk;
                    auto read =
                        isAnswered ? decodePeerReadResponse(result->body, sentAt, clock.now()) : unansweredRead(sentAt);
                    read.number = number;
                    callback(std::move(read));
                });
}

JournalShareServer::JournalShareServer(Entry &entry, std::function<void()> wake)
    : m_entry(entry), m_wake(std::move(wake))
{
}

void JournalShareServer::addRouteTo(PeerServer &server)
{
    server.addRoute(std::string(journalPath),
                    [this](const HttpRequest &request, const HttpResponder &respond) { receive(request, respond); });
}

void JournalShareServer::receive(const HttpRequest &request, const HttpResponder &respond)
{
    auto read = decodePeerReadRequest(request.body);
    if (!read.ok()) {
        respond({.status = statusMalformed});
        return;
    }
    if (m_responders.size() >= maxOpenRequests) {
        respond({.status = statusUnavailable});
        return;
    }
    const auto handle = m_nextHandle++;
    m_responders.emplace(handle, respond);
    m_entry.inbox.peerReads.push_back({handle, m_clock.now(), *std::move(read)});
    m_wake();
}

void JournalShareServer::respond(const PeerReadResponse &response)
{
    const auto it = m_responders.find(response.handle);
    if (it == m_responders.end()) {
        return;
    }
    const auto send = std::move(it->second);
    m_responders.erase(it);
    auto message = response;
    if (message.result == ShareResult::Snapshot) {
        addSnapshot(message);
    }
    send({.status = statusOk,
          .contentType = std::string(bytesType),
          .body = encodePeerReadResponse(std::move(message))});
}

/** Adds the snapshot, which is made anew if the last one is too old. Its view may be older than that of the response.
 */
void JournalShareServer::addSnapshot(PeerReadResponse &response)
{
    const auto now = m_clock.now();
    if (m_snapshot.frames.empty() || now - m_snapshot.madeAt > snapshotLifetime) {
        m_snapshot = {encodeSnapshot(m_entry), m_entry.journal.nextOffset, m_entry.journal.asOf, now};
    }
    response.age += Milliseconds(m_entry.journal.asOf - m_snapshot.asOf);
    response.nextOffset = m_snapshot.nextOffset;
    response.frames = m_snapshot.frames;
}

void JournalShareServer::dropOldSnapshot()
{
    if (m_clock.now() - m_snapshot.madeAt > snapshotLifetime) {
        m_snapshot.frames = {};
    }
}

} // namespace flamingotally
