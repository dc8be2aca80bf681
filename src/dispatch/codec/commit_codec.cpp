#include "dispatch/codec/commit_codec.h"

#include "codec/cereal_func.h"
#include "dispatch/codec/journal_codec.h"

#include <utility>

namespace flamingotally::dispatch
{

/** A record as its key and value in the journal. */
struct CommitRow {
    std::string key;
    std::string value;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(key, value);
    }
};

/** Body of a request. */
struct CommitBody {
    Token token = 0;
    std::vector<CommitRow> rows;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(token, rows);
    }
};

/** Body of an answer. */
struct CommitAnswerBody {
    CommitOutcome outcome = CommitOutcome::Unknown;
    bool isStoreSlow = false;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(outcome, isStoreSlow);
    }
};

} // namespace flamingotally::dispatch

namespace flamingotally
{

using namespace dispatch;

std::string encodeCommitRequest(const CommitRequest &request)
{
    CommitBody body;
    body.token = request.token;
    for (const auto &it : request.records) {
        for (auto &row : encodeJournalRecord(it)) {
            body.rows.push_back({std::move(row.key), std::move(row.value)});
        }
    }
    return encodeValue(body);
}

absl::StatusOr<CommitCall> decodeCommitCall(std::string_view bytes)
{
    const auto body = decodeValue<CommitBody>(bytes, Step::Append);
    if (!body.ok()) {
        return body.status();
    }
    CommitCall call;
    call.token = body->token;
    for (const auto &it : body->rows) {
        auto record = decodeJournalRecord(it.key, it.value);
        if (!record.ok()) {
            return record.status();
        }
        call.records.push_back(*std::move(record));
    }
    return call;
}

std::string encodeCommitAnswer(const CommitAnswer &answer)
{
    return encodeValue(CommitAnswerBody{answer.outcome, answer.isStoreSlow});
}

absl::StatusOr<CommitResponse> decodeCommitResponse(std::string_view bytes)
{
    const auto body = decodeValue<CommitAnswerBody>(bytes, Step::Append);
    if (!body.ok()) {
        return body.status();
    }
    return CommitResponse{0, body->outcome, body->isStoreSlow};
}

} // namespace flamingotally
