#include "platform_standin.h"

#include "net/clock.h"
#include "platform_messages.h"

#include <fmt/format.h>

#include <utility>

namespace flamingotally::standin
{

using namespace dispatch;
namespace json = boost::json;

namespace
{

constexpr const char *anyPort = "127.0.0.1:0";
constexpr Milliseconds pollInterval{5}; ///< Interval at which a waiting request is checked again.
constexpr Milliseconds workerIdleTimeout{86'400'000}; ///< Longer than any trial.
constexpr Resources workerCapacity{4'000, 16'384, 0};

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
            HttpServerSettings{
                .maxConnections = connectionsPerWorker, .makesRoom = false, .idleTimeout = workerIdleTimeout},
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
