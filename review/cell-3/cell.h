/**
 * @file cell.h A small deployment on loopback for the cases of this review: the platform's store, workers and clients
 * as their pages describe them, and the project's entry daemons as separate processes.
 */
#pragma once

#include "http.h"

#include <boost/json.hpp>

#include <condition_variable>
#include <deque>
#include <fstream>
#include <optional>

namespace cell
{

namespace json = boost::json;

/** Bounds of the small deployments, as their settings files give them. */
constexpr std::size_t recordBytes = 262'144;
constexpr std::size_t callBytes = 2'097'152;
constexpr Milliseconds holdMax{6'000};
constexpr Milliseconds heartbeat{1'500};
constexpr std::size_t memoryLimit = 260'000'000;

/** Writes what was sent, answered and run, with the time since the start of the program. */
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &text);

    Milliseconds elapsed() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/** The platform's store: topics with one partition each. */
class Store
{
public:
    explicit Store(Record &record);

    std::string address() const;

    /** Appends a record that the operator or a worker writes. An empty value drops the key. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** While set, every call is refused with status 503. */
    std::atomic<bool> isBusy = false;

private:
    struct Row {
        std::string key;
        std::string value;
    };
    struct Append {
        std::uint64_t sequence = 0;
        std::uint64_t offset = 0;
        std::uint64_t end = 0;
    };
    struct Producer {
        std::uint64_t epoch = 0;
        std::uint64_t last = 0;
        std::deque<Append> appends; ///< The last five.
    };
    struct Topic {
        std::vector<Row> rows;
        std::map<std::string, std::uint64_t> newest; ///< Offset by key.
        std::map<std::string, Producer> producers;
    };

    Response handle(const Request &request);
    Response append(const Request &request);
    Response read(const Request &request);
    Response newest(const Request &request);
    static void add(Topic &topic, Row row);

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    Server m_server;
};

/** What a worker offers. */
struct Capacity {
    std::int64_t cpu = 16'000;
    std::int64_t memory = 32'768;
};

/** A start that a worker has carried out. */
struct Start {
    std::string task;
    std::int64_t run = 0;
    std::string worker;
    Milliseconds at{0};
};

/** A worker. A task's spec "work=MS" gives the length of its runs; all of them end as done. */
class Worker
{
public:
    Worker(Store &store, Record &record, std::string id, std::string service, std::string zone, Capacity capacity);

    /** Crashes: connections are reset, and nothing is known or written until boot(). */
    void crash();

    /** Starts again under the same id, at the same address, with this capacity. */
    void boot(Capacity capacity);

    /** Writes the worker's entry. @param state "ready" or "draining". */
    void beat(const std::string &state);

    const std::string &id() const
    {
        return m_id;
    }

    std::vector<Start> starts() const;
    std::vector<std::string> running() const;
    /** Returns the tasks of which a run has ended as done. */
    std::set<std::string> done() const;
    std::int64_t usedCpu() const;
    /** While mute, the worker takes connections and requests, but answers none and carries none out. */
    void setMute(bool isMute);

    /** While set, start orders get no answer; they are kept until carryOutLate(). */
    void setLate(bool isLate);

    /** Carries out the first start order that got no answer, if the worker is up. */
    void carryOutLate();

    /** Returns how many start orders got no answer. */
    std::size_t lateOrders() const;

    /** While set, the worker cannot write its entry. */
    std::atomic<bool> isCutFromStore = false;
    /** Returns true if a start has brought the worker over its capacity. */
    bool isOverCapacity() const;
    Capacity capacity() const;
    std::int64_t ends(const std::string &how) const;

private:
    struct Run {
        std::int64_t number = 0;
        std::int64_t cpu = 0;
        Clock::time_point startedAt;
        Clock::time_point endsAt;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    Response handle(const Request &request);
    Response start(const json::object &body);
    Response stop(const json::object &body);
    Response hold(const json::object &body, std::unique_lock<std::mutex> &lock);
    json::object status() const;
    Response answer(unsigned code, std::string_view reason) const;
    bool isFenced(const json::object &body);
    void renew(const json::object &body);
    void advance();
    void end(const std::string &task, const std::string &how);
    std::int64_t clockMs() const;

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Capacity m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isUp = true;
    bool m_isOverCapacity = false;
    bool m_isMute = false;
    bool m_isLate = false;
    std::vector<json::object> m_late; ///< Bodies of start orders that got no answer.
    std::set<std::string> m_done;
    Clock::time_point m_bootedAt = Clock::now();
    std::int64_t m_born = 0;
    std::int64_t m_token = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_nextEnd = 1;
    std::int64_t m_sequence = 0;
    std::map<std::string, Run> m_running;
    std::deque<End> m_ended;
    std::map<std::string, std::int64_t> m_highest; ///< Highest run stopped or ended, by task.
    std::map<std::string, std::int64_t> m_endCounts;
    std::vector<Start> m_starts;
    std::unique_ptr<Server> m_server;
};

/** An entry daemon, started as the deploy file says. */
struct Daemon {
    std::string name;
    std::string zone;
    std::string settings; ///< Path of the settings file.
    std::string log;
    std::string front;
    std::string ready;
    int process = 0;
    std::size_t peakMemory = 0;
    int ends = 0; ///< How often it has ended without being asked to.
};

/** The whole deployment. */
class Cell
{
public:
    Cell(const std::string &directory, const std::string &recordPath);

    /** Kills all daemons. */
    void stopDaemons();
    Worker &addWorker(const std::string &service, const std::string &zone, Capacity capacity);
    void putConfig(const json::object &config);
    void startDaemons(std::size_t count);
    /** Waits until all daemons are ready. Returns false if they are not in time. */
    bool awaitReady(Milliseconds limit);
    /** Sends a call to the front address of a daemon and records it. */
    CallResult send(std::size_t daemon, const std::string &method, const std::string &path, const std::string &body);
    /** Hands a job in as a client does: after no response, a 502 or a 504 again, at the next daemon. */
    CallResult submit(const std::string &id, const std::string &body, int attempts);
    /** Returns the state of a job, or the status of the last answer when no daemon gives one. */
    std::string stateOf(const std::string &id);
    void note(const std::string &text);
    Milliseconds elapsed() const;

    Record record;
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<Daemon> daemons;

private:
    [[noreturn]] void beatAll();
    void startProcess(Daemon &daemon);
    /** Writes the ids of the running daemons to the file "processes", for the script that has started this program. */
    void listProcesses();
    static std::size_t memoryOf(const Daemon &daemon);
    /** Kills a daemon that exceeds its memory, and starts a daemon again that has ended. */
    void watchProcesses();

    std::string m_directory;
    std::mutex m_processMutex;
    bool m_isStopping = false;
    std::atomic<std::size_t> m_nextDaemon = 0;
};

/** Returns a configuration with one queue "/queue/" of service "desk" and one open team. */
json::object makeConfig(int version);

/** Returns the body of a job. */
std::string makeJob(int workMs, json::array steps);

} // namespace cell
