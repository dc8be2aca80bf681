/**
 * @file platform_standin.h The stand-in of the users' platform over its published protocol: store, workers and policy
 * service on loopback, with the models of store and workers behind them.
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

/** How the store treats calls. */
enum class StoreFault : std::uint8_t {
    None,
    Busy, ///< Refuses all with 503.
    LosesResponses, ///< Does every append and hangs up.
    End,
};

/** A small platform. */
class PlatformStandin
{
public:
    /**
     * Makes a platform that listens on any free ports of 127.0.0.1.
     * @param workers How many workers of four cores it has.
     */
    PlatformStandin(boost::asio::io_context &io, std::size_t workers);

    std::string storeAddress() const;
    std::string adviceAddress() const;

    /** Writes a record of the operator or of a worker, as the platform itself does. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** Closes everything. */
    void close();

    /** Runs that began for a task. */
    std::size_t startsOf(const dispatch::TaskName &task) const;

    StoreFault fault = StoreFault::None;
    Milliseconds workTime{100}; ///< What each run takes.
    std::set<std::string> failing; ///< Workers on which every run fails.
    std::size_t adviceRequests = 0; ///< Questions that the policy service answered.
    std::size_t rejectedTickets = 0; ///< Starts without the ticket of their worker.

private:
    struct Worker {
        std::string id;
        std::unique_ptr<WorkerModel> model;
        std::unique_ptr<HttpServer> server;
    };

    Milliseconds now() const;
    void handleStore(const HttpRequest &request, const HttpResponder &respond);
    HttpResponse append(const HttpRequest &request);
    void read(const HttpRequest &request, const HttpResponder &respond, Milliseconds until);
    HttpResponse newest(const HttpRequest &request);
    void handleWorker(std::size_t n, const HttpRequest &request, const HttpResponder &respond);
    void poll(std::size_t n, const dispatch::PollOrder &order, const HttpResponder &respond, Milliseconds until);
    HttpResponse start(std::size_t n, const HttpRequest &request);
    HttpResponse stop(std::size_t n, const HttpRequest &request);
    void handleAdvice(const HttpRequest &request, const HttpResponder &respond);
    void callLater(Milliseconds delay, std::function<void()> function);

    boost::asio::io_context &m_io;
    std::map<std::string, TopicModel> m_topics;
    std::uint64_t m_puts = 0;
    std::vector<Worker> m_workers;
    std::map<dispatch::TaskName, std::size_t> m_starts;
    HttpServer m_store;
    HttpServer m_advice;
};

} // namespace flamingotally::standin
