#include "platform_standin.h"

#include "net/clock.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace flamingotally::standin
{

using namespace dispatch;
namespace json = boost::json;

namespace
{

constexpr const char *anyPort = "127.0.0.1:0";
constexpr Milliseconds pollInterval{5}; ///< Interval at which a waiting request is checked again.
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusGone = 410;
constexpr unsigned statusOtherInstance = 421;
constexpr unsigned statusUnavailable = 503;
constexpr Milliseconds workerIdleTimeout{86'400'000}; ///< Longer than any trial.
constexpr Resources workerCapacity{4'000, 16'384, 0};

/** Returns a parameter of the query, or an empty text when it is missing. */
std::string queryText(const HttpRequest &request, std::string_view name)
{
    return std::string(fieldValue(request.query, name));
}

/** Returns a number from the query, or zero when it is missing. */
std::uint64_t queryNumber(const HttpRequest &request, std::string_view name)
{
    const auto text = queryText(request, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** Appends the lowest bytes of a value, most significant byte first. */
void putBigEndian(std::string &bytes, std::uint64_t value, unsigned byteCount)
{
    for (unsigned i = byteCount; i-- > 0;) {
        bytes.push_back(static_cast<char>((value >> (8U * i)) & 0xffU));
    }
}

/** Decodes the body of an append: records with a four-byte length, a one-byte key length, key and value. */
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

/** Encodes the response to a read: end and first offset of the topic, then the records. */
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

/** Removes records from the end until the rest has at most the given size, but leaves at least one. */
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

/** Parses a task name ID.OCCURRENCE.STEP[.INDEX], which must be valid. The ID is hexadecimal. */
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

/** Returns an integer field, or zero when it is missing or not an integer. */
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

} // namespace

PlatformStandin::PlatformStandin(boost::asio::io_context &io, std::size_t workers, std::size_t connectionsPerWorker)
    : m_io(io),
      m_store(
          io, {}, [this](const HttpRequest &request, const HttpResponder &respond) { handleStore(request, respond); }),
      m_advice(
          io, {}, [this](const HttpRequest &request, const HttpResponder &respond) { handleAdvice(request, respond); })
{
    m_store.listen(anyPort).IgnoreError();
    m_advice.listen(anyPort).IgnoreError();
    for (std::size_t n = 0; n < workers; ++n) {
        Worker worker;
        worker.id = fmt::format("i-{}", n);
        const WorkerHooks hooks{[this, id = worker.id](const TaskName &, RunNumber) -> RunScript {
                                    return {workTime, failingWorkers.contains(id) ? RunEnd::Failed : RunEnd::Done};
                                },
                                [this](const StartedRun &run) { ++m_starts[run.task]; },
                                [](const StartedRun &, RunEnd) {
                                }};
        worker.model = std::make_unique<WorkerModel>(worker.id, workerCapacity, hooks, now());
        worker.server = std::make_unique<HttpServer>(
            io,
            HttpServerSettings{.maxConnections = connectionsPerWorker, .idleTimeout = workerIdleTimeout},
            [this, n](const HttpRequest &request, const HttpResponder &respond) { handleWorker(n, request, respond); });
        worker.server->listen(anyPort).IgnoreError();
        const json::object entry{
            {"service", "pool"},
            {"address", worker.server->address()},
            {"zone", "north"},
            {"state", "ready"},
            {"capacity",
             json::object{{"cpu", workerCapacity.cpuMilli}, {"memMb", workerCapacity.memoryMb}, {"gpu", 0}}},
            {"labels", json::array{"a", "r1"}}};
        put("keyed.servers", worker.id, json::serialize(entry));
        m_workers.push_back(std::move(worker));
    }
}

std::string PlatformStandin::storeAddress() const
{
    return m_store.address();
}

std::string PlatformStandin::adviceAddress() const
{
    return m_advice.address();
}

Milliseconds PlatformStandin::now() const
{
    return SystemClock().now().time_since_epoch();
}

void PlatformStandin::put(const std::string &topic, const std::string &key, const std::string &value)
{
    m_topics[topic].append({"platform", 1, ++m_puts}, {{0, key, value}});
}

void PlatformStandin::close()
{
    m_store.close();
    m_advice.close();
    for (const auto &it : m_workers) {
        it.server->close();
    }
}

std::size_t PlatformStandin::startsOf(const TaskName &task) const
{
    const auto it = m_starts.find(task);
    return it == m_starts.end() ? 0 : it->second;
}

void PlatformStandin::callLater(Milliseconds delay, std::function<void()> function)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code &ec) {
        if (!ec) {
            function();
        }
    });
}

void PlatformStandin::handleStore(const HttpRequest &request, const HttpResponder &respond)
{
    if (fault == StoreFault::Busy) {
        respond({.status = statusUnavailable});
    } else if (request.path == "/api/log-append") {
        auto response = append(request);
        respond(fault == StoreFault::LosesResponses ? HttpResponse{.status = noResponseStatus} : std::move(response));
    } else if (request.path == "/api/log-read") {
        read(request, respond, now() + Milliseconds(queryNumber(request, "waitMs")));
    } else if (request.path == "/api/log-newest") {
        respond(newest(request));
    } else {
        respond({.status = statusNotFound});
    }
}

HttpResponse PlatformStandin::append(const HttpRequest &request)
{
    const ModelWriter writer{
        queryText(request, "producer"), queryNumber(request, "epoch"), queryNumber(request, "seqNo")};
    auto &topic = m_topics[queryText(request, "topic")];
    const auto result = topic.append(writer, decodeRecords(request.body));
    if (!result.stored) {
        return jsonResponse(statusConflict, {{"reason", "fenced"}});
    }
    return jsonResponse(statusOk, {{"offset", result.offset}, {"end", topic.end()}});
}

void PlatformStandin::read(const HttpRequest &request, const HttpResponder &respond, Milliseconds until)
{
    auto &topic = m_topics[queryText(request, "topic")];
    auto records = topic.read(queryNumber(request, "from"));
    if (records) {
        truncateTo(*records, queryNumber(request, "maxKb"));
    }
    if (!records) {
        respond(jsonResponse(statusGone, {{"first", topic.first()}}));
    } else if (!records->empty() || now() >= until) {
        respond({.status = statusOk, .contentType = "application/octet-stream", .body = encodeRead(*records, topic)});
    } else {
        callLater(pollInterval, [this, request, respond, until] { read(request, respond, until); });
    }
}

HttpResponse PlatformStandin::newest(const HttpRequest &request)
{
    constexpr std::size_t pageRecords = 3; // Small, so that loading a topic takes several pages.
    const auto &topic = m_topics[queryText(request, "topic")];
    const auto afterKey = queryText(request, "dependsOn");
    json::array items;
    bool hasMore = false;
    for (const auto &it : topic.newest()) {
        if (!afterKey.empty() && it.key <= afterKey) {
            continue;
        }
        if (items.size() == pageRecords) {
            hasMore = true;
            break;
        }
        items.push_back(json::object{{"key", it.key}, {"value", encodeBase64(it.value)}, {"offset", it.offset}});
    }
    return jsonResponse(statusOk, {{"items", std::move(items)}, {"more", hasMore}, {"end", topic.end()}});
}

void PlatformStandin::handleWorker(std::size_t n, const HttpRequest &request, const HttpResponder &respond)
{
    if (fieldValue(request.fields, "Flamingotally-Expected-Instance") != m_workers[n].id) {
        respond({.status = statusOtherInstance});
    } else if (request.path == "/api/hold") {
        const auto body = json::parse(request.body).as_object();
        PollOrder order;
        order.token = static_cast<Token>(readNumber(body, "fencingToken"));
        order.acknowledged = static_cast<std::uint64_t>(readNumber(body, "ackPosition"));
        order.leaseUntil = WorkerTime{Milliseconds(readNumber(body, "untilMs"))};
        poll(n, order, respond, now() + Milliseconds(readNumber(body, "waitMs")));
    } else if (request.path == "/api/run-start") {
        respond(start(n, request));
    } else if (request.path == "/api/run-stop") {
        respond(stop(n, request));
    } else {
        respond({.status = statusNotFound});
    }
}

void PlatformStandin::poll(std::size_t n, const PollOrder &order, const HttpResponder &respond, Milliseconds until)
{
    const auto response = m_workers[n].model->poll(order, now());
    const bool isReady = response.result != OrderResult::Accepted || !response.ended.empty() || now() >= until;
    if (!isReady) {
        callLater(pollInterval, [this, n, order, respond, until] { poll(n, order, respond, until); });
        return;
    }
    respond(response.result == OrderResult::Accepted ? jsonResponse(statusOk, encodePollResponse(response))
                                                     : orderResponse(response.result));
}

HttpResponse PlatformStandin::start(std::size_t n, const HttpRequest &request)
{
    const auto body = json::parse(request.body).as_object();
    const auto *ticket = body.if_contains("ticket");
    if (!ticket || ticket->as_string() != "ticket of " + m_workers[n].id) {
        ++rejectedTickets;
        return jsonResponse(statusConflict, {{"reason", "ticket"}});
    }
    StartOrder order;
    order.task = parseTask(std::string(body.at("task").as_string()));
    order.number = static_cast<RunNumber>(readNumber(body, "run"));
    order.token = static_cast<Token>(readNumber(body, "fencingToken"));
    order.leaseUntil = WorkerTime{Milliseconds(readNumber(body, "untilMs"))};
    return orderResponse(m_workers[n].model->start(order, now()));
}

HttpResponse PlatformStandin::stop(std::size_t n, const HttpRequest &request)
{
    const auto body = json::parse(request.body).as_object();
    StopOrder order;
    order.task = parseTask(std::string(body.at("task").as_string()));
    order.number = static_cast<RunNumber>(readNumber(body, "run"));
    order.token = static_cast<Token>(readNumber(body, "fencingToken"));
    return orderResponse(m_workers[n].model->stop(order, now()));
}

void PlatformStandin::handleAdvice(const HttpRequest &request, const HttpResponder &respond)
{
    ++adviceRequests;
    const auto body = json::parse(request.body).as_object();
    json::array granted;
    for (const auto &it : body.at("workers").as_array()) {
        granted.push_back(json::array{it.as_string(), "ticket of " + std::string(it.as_string())});
    }
    respond(jsonResponse(statusOk, {{"good", std::move(granted)}, {"validMs", 2'000}}));
}

} // namespace flamingotally::standin
