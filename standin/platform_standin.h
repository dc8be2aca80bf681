/**
 * @file platform_standin.h Stand-in for the users' platform that speaks its published protocol: store, workers and
 * policy service on loopback, backed by TopicModel and WorkerModel.
 */
#pragma once

#include "net/http_server.h"
#include "store_model.h"
#include "worker_model.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flamingotally::standin
{

/** Fault of the store. */
enum class StoreFault : std::uint8_t {
    None,
    Busy, ///< The store refuses every request with status 503.
    LosesResponses, ///< The store carries out every append and closes the connection without a response.
    End,
};

/** Connections that a worker takes, from all daemons together. It closes none by itself, and lets further ones wait. */
constexpr std::size_t workerConnections = 64;

/** A small platform on loopback. All of it runs on the given I/O context. */
class PlatformStandin
{
public:
    /**
     * Starts a platform that listens on free ports of 127.0.0.1.
     * @param io Context that runs all servers and timers.
     * @param workers Number of workers; each has four cores.
     * @param connectionsPerWorker Connections that each worker takes.
     */
    PlatformStandin(boost::asio::io_context &io,
                    std::size_t workers,
                    std::size_t connectionsPerWorker = workerConnections);

    /** Returns "IP:port" of the store. */
    std::string storeAddress() const;

    /** Returns "IP:port" of the policy service. */
    std::string adviceAddress() const;

    /** Appends a record that the platform itself writes, for example for the operator or for a worker. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** Closes all servers. */
    void close();

    /** Returns how many runs of a task were started. */
    std::size_t startsOf(const dispatch::TaskName &task) const;

    StoreFault fault = StoreFault::None;
    Milliseconds workTime{100}; ///< Duration of each run.
    std::set<std::string> failingWorkers; ///< Workers on which every run fails.
    std::size_t adviceRequests = 0; ///< Number of requests that the policy service has received.
    std::size_t rejectedTickets = 0; ///< Number of start orders refused because they lacked the worker's ticket.

private:
    struct Worker {
        std::string id;
        std::unique_ptr<WorkerModel> model;
        std::unique_ptr<HttpServer> server;
    };

    Milliseconds now() const;
    void handleStore(const HttpRequest &request, const HttpResponder &respond);
    HttpResponse append(const HttpRequest &request);
    /** Answers a read when there are records, or at `until` without any. */
    void read(const HttpRequest &request, const HttpResponder &respond, Milliseconds until);
    HttpResponse newest(const HttpRequest &request);
    void handleWorker(std::size_t n, const HttpRequest &request, const HttpResponder &respond);
    /** Answers a poll of worker n when there are unacknowledged ends or the order is refused, else at `until`. */
    void poll(std::size_t n, const dispatch::PollOrder &order, const HttpResponder &respond, Milliseconds until);
    HttpResponse start(std::size_t n, const HttpRequest &request);
    HttpResponse stop(std::size_t n, const HttpRequest &request);
    void handleAdvice(const HttpRequest &request, const HttpResponder &respond);
    void callLater(Milliseconds delay, std::function<void()> function);

    boost::asio::io_context &m_io;
    std::map<std::string, TopicModel> m_topics;
    std::uint64_t m_puts = 0; ///< Sequence number of the last put().
    std::vector<Worker> m_workers;
    std::map<dispatch::TaskName, std::size_t> m_starts; ///< Number of runs started for each task.
    HttpServer m_store;
    HttpServer m_advice;
};

} // namespace flamingotally::standin
