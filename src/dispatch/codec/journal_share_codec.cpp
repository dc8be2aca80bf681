#include "dispatch/codec/journal_share_codec.h"

#include "codec/cereal_func.h"
#include "codec/compression.h"
#include "dispatch/codec/journal_codec.h"
#include "dispatch/journal_snapshot.h"

#include <algorithm>
#include <utility>

namespace flamingotally
{

using namespace dispatch;

namespace
{

constexpr std::size_t frameBytes = std::size_t{256} * 1024; ///< Size of a frame before compression, about.
constexpr std::size_t maxFrameBytes = std::size_t{4} * 1024 * 1024; ///< The same, with one very long record.
constexpr std::size_t recordOverhead = 16; ///< Bytes of the offset and the lengths of an encoded record.

/** Collects records and compresses them frame by frame. */
class FrameWriter
{
public:
    void add(std::uint64_t offset, const JournalRecord &record)
    {
        if (m_total > maxShareBytes) {
            return;
        }
        for (auto &row : encodeJournalRecord(record)) {
            m_bytes += row.key.size() + row.value.size() + recordOverhead;
            m_records.push_back({offset, std::move(row.key), std::move(row.value)});
        }
        if (m_bytes >= frameBytes) {
            finishFrame();
        }
    }

    std::vector<std::string> takeFrames()
    {
        if (!m_records.empty()) {
            finishFrame();
        }
        return std::move(m_frames);
    }

private:
    void finishFrame()
    {
        auto frame = compressBytes(encodeValue(m_records));
        frame.shrink_to_fit();
        m_total += frame.size();
        m_frames.push_back(std::move(frame));
        m_records.clear();
        m_bytes = 0;
    }

    std::vector<StoredRecord> m_records;
    std::size_t m_bytes = 0;
    std::size_t m_total = 0;
    std::vector<std::string> m_frames;
};

/** Adds decoded records to a read. A removed key, or a record that cannot be decoded, gives only its offset. */
void addEntries(const std::vector<StoredRecord> &records, JournalRead &read)
{
    for (const auto &it : records) {
        JournalEntry entry;
        entry.offset = it.offset;
        if (!it.value.empty()) {
            if (auto decoded = decodeJournalRecord(it.key, it.value); decoded.ok()) {
                entry.record = *std::move(decoded);
            }
        }
        read.entries.push_back(std::move(entry));
    }
}

/** Adds the records of a frame to a read; returns false if the frame is malformed. */
bool addFrame(const std::string &frame, JournalRead &read)
{
    const auto plain = decompressBytes(frame, maxFrameBytes);
    if (!plain.ok()) {
        return false;
    }
    const auto records = decodeValue<std::vector<StoredRecord>>(*plain, Step::ReadLog);
    if (!records.ok()) {
        return false;
    }
    addEntries(*records, read);
    return true;
}

/** Adds the records of all frames to a read; returns false if one is malformed. */
bool addFrames(const std::vector<std::string> &frames, JournalRead &read)
{
    return std::ranges::all_of(frames, [&read](const std::string &it) { return addFrame(it, read); });
}

} // namespace

std::string encodePeerReadRequest(const PeerReadRequest &request)
{
    return encodeValue(request);
}

absl::StatusOr<PeerReadRequest> decodePeerReadRequest(std::string_view bytes)
{
    return decodeValue<PeerReadRequest>(bytes, Step::ReadLog);
}

std::vector<std::string> encodeSnapshot(const Entry &entry)
{
    FrameWriter writer;
    forEachRecord(entry, [&writer](std::uint64_t offset, const JournalRecord &record) { writer.add(offset, record); });
    return writer.takeFrames();
}

std::string encodePeerReadResponse(PeerReadResponse response)
{
    auto bytes = encodeValue(response);
    if (bytes.size() <= maxShareBytes) {
        return bytes;
    }
    response.result = ShareResult::TooLarge;
    response.frames.clear();
    response.records.clear();
    return encodeValue(response);
}

JournalRead unansweredRead(MonotonicTime sentAt)
{
    JournalRead read;
    read.sentAt = sentAt;
    read.failed = true;
    read.source = JournalSource::Reader;
    return read;
}

JournalRead decodePeerReadResponse(std::string_view bytes, MonotonicTime sentAt, MonotonicTime receivedAt)
{
    auto read = unansweredRead(sentAt);
    const auto response = decodeValue<PeerReadResponse>(bytes, Step::ReadLog);
    if (!response.ok() || response->age < Milliseconds::zero()) {
        return read;
    }
    read.responseTime = Milliseconds(receivedAt - sentAt);
    read.isSnapshot = response->result == ShareResult::Snapshot;
    if (read.isSnapshot && !addFrames(response->frames, read)) {
        return read;
    }
    addEntries(response->records, read);
    read.shareResult = response->result;
    read.failed = !read.isSnapshot && response->result != ShareResult::Records;
    read.nextOffset = response->nextOffset;
    read.complete = response->complete;
    read.isCurrent = response->isCurrent;
    read.readerAge = response->age;
    // the reader cannot have held the request for longer than the response took
    read.lag = response->age - std::clamp(response->held, Milliseconds::zero(), read.responseTime);
    return read;
}

} // namespace flamingotally
