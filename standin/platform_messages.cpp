#include "platform_messages.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <charconv>
#include <utility>

namespace flamingotally::standin
{

using namespace dispatch;
namespace json = boost::json;

namespace
{

/** Appends the lowest bytes of a value, most significant byte first. */
void putBigEndian(std::string &bytes, std::uint64_t value, unsigned byteCount)
{
    for (unsigned i = byteCount; i-- > 0;) {
        bytes.push_back(static_cast<char>((value >> (8U * i)) & 0xffU));
    }
}

std::string formatTask(const TaskName &task)
{
    return fmt::format("{:016x}.{}.{}.{}", task.job, task.occurrence, task.step, task.index);
}

std::string_view endName(RunEnd how)
{
    switch (how) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    default:
        return "lapsed";
    }
}

} // namespace

std::string queryText(const HttpRequest &request, std::string_view name)
{
    return std::string(fieldValue(request.query, name));
}

std::uint64_t queryNumber(const HttpRequest &request, std::string_view name)
{
    const auto text = queryText(request, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::vector<ModelRecord> decodeRecords(std::string_view body)
{
    constexpr std::size_t lengthBytes = 4;
    std::vector<ModelRecord> records;
    while (body.size() > lengthBytes) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i) {
            length = (length << 8U) | static_cast<unsigned char>(body[i]);
        }
        const auto record = body.substr(lengthBytes, length);
        const auto keyLength = static_cast<unsigned char>(record.front());
        records.push_back({0, std::string(record.substr(1, keyLength)), std::string(record.substr(1 + keyLength))});
        body.remove_prefix(lengthBytes + length);
    }
    return records;
}

std::string encodeRead(const std::vector<ModelRecord> &records, const TopicModel &topic)
{
    std::string bytes;
    putBigEndian(bytes, topic.end(), 8);
    putBigEndian(bytes, topic.first(), 8);
    for (const auto &it : records) {
        putBigEndian(bytes, 1 + it.key.size() + it.value.size(), 4);
        putBigEndian(bytes, it.key.size(), 1);
        bytes += it.key;
        bytes += it.value;
    }
    return bytes;
}

void truncateTo(std::vector<ModelRecord> &records, std::uint64_t kilobytes)
{
    constexpr std::uint64_t bytesPerKilobyte = 1'024;
    std::uint64_t bytes = 0;
    for (std::size_t n = 0; n < records.size(); ++n) {
        bytes += records[n].key.size() + records[n].value.size();
        if (n > 0 && bytes > kilobytes * bytesPerKilobyte) {
            records.resize(n);
            return;
        }
    }
}

std::string encodeBase64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                   reinterpret_cast<const unsigned char *>(bytes.data()),
                                   static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

TaskName parseTask(const std::string &text)
{
    TaskName task;
    const auto first = text.find('.');
    const auto second = text.find('.', first + 1);
    const auto third = text.find('.', second + 1);
    task.job = std::stoull(text.substr(0, first), nullptr, 16);
    task.occurrence = static_cast<std::uint32_t>(std::stoul(text.substr(first + 1)));
    task.step = static_cast<std::uint32_t>(std::stoul(text.substr(second + 1)));
    task.index = third == std::string::npos ? 0 : static_cast<std::uint32_t>(std::stoul(text.substr(third + 1)));
    return task;
}

std::int64_t readNumber(const json::object &body, const char *name)
{
    const auto *value = body.if_contains(name);
    return value && value->is_int64() ? value->as_int64() : 0;
}

HttpResponse jsonResponse(unsigned status, const json::object &body)
{
    return {.status = status, .body = json::serialize(body)};
}

HttpResponse orderResponse(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return jsonResponse(statusOk, {{"clockMs", 0}});
    case OrderResult::Fenced:
        return jsonResponse(statusConflict, {{"reason", "fence"}});
    case OrderResult::Superseded:
        return jsonResponse(statusConflict, {{"reason", "old"}});
    default:
        return jsonResponse(statusConflict, {{"reason", "late"}});
    }
}

json::object encodePollResponse(const PollResponse &response)
{
    json::array running;
    for (const auto &it : response.running) {
        running.push_back(json::array{formatTask(it.task), it.run, it.checkpoint, it.percent, 0});
    }
    json::array ended;
    for (const auto &it : response.ended) {
        ended.push_back(json::array{it.number, formatTask(it.task), it.run, endName(it.how), it.checkpoint});
    }
    return {{"clockMs", response.clock.time_since_epoch().count()},
            {"born", response.incarnation},
            {"running", std::move(running)},
            {"ended", std::move(ended)}};
}

} // namespace flamingotally::standin
