/**
 * @file trial.cpp Plays the cases of review/ against the real entry daemons, on loopback and the real clock. The
 * platform's store, the minions and the clients are small stand-ins in this process; the daemons are processes of their
 * own. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
 */
#include <boost/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace json = boost::json;

namespace
{

using Ms = std::int64_t;

constexpr Ms holdMaxMs = 6'000; ///< The longest lease of a minion.
constexpr Ms heartbeatMs = 1'500; ///< Between two writes of a minion's entry.
constexpr Ms stopMs = 100; ///< How long a stop takes; the pages allow more.
constexpr Ms storeDelayMs = 4; ///< Time of an answer of the store.
constexpr std::size_t endsPerList = 500; ///< Ends in one list of a minion.
constexpr std::size_t itemsPerPage = 500; ///< Items in one page of the newest records.
constexpr std::size_t minionConnections = 64;
constexpr std::size_t storeConnections = 4'000;
constexpr std::size_t daemonCount = 3;

const auto programStart = std::chrono::steady_clock::now();

Ms nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - programStart)
        .count();
}

Ms unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(Ms duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

/** What was sent, answered and run, in the order in which it happened. */
class Record
{
public:
    void open(const std::string &path)
    {
        m_file.open(path);
    }

    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " ms " << line << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

Record &record()
{
    static Record it;
    return it;
}

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> fields; ///< By name in lower case.
    std::string body;
};

struct Response {
    int status = 200;
    std::string body = "{}";
    bool isLost = false; ///< Nothing is sent on this connection any more.
};

bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/** Reads one message with a header and a body of the stated length; nullopt when the connection has ended. */
std::optional<std::pair<std::string, std::string>> readMessage(int fd, std::string &buffer)
{
    constexpr std::size_t chunk = 16'384;
    std::array<char, chunk> part{};
    std::optional<std::size_t> headerEnd;
    std::size_t length = 0;
    while (true) {
        if (!headerEnd) {
            if (const auto at = buffer.find("\r\n\r\n"); at != std::string::npos) {
                headerEnd = at + 4;
                std::string header = buffer.substr(0, *headerEnd);
                std::ranges::transform(header, header.begin(), [](unsigned char c) { return std::tolower(c); });
                if (const auto field = header.find("content-length:"); field != std::string::npos) {
                    length =
                        std::strtoul(header.c_str() + field + std::string_view("content-length:").size(), nullptr, 10);
                }
            }
        }
        if (headerEnd && buffer.size() >= *headerEnd + length) {
            auto message = std::pair(buffer.substr(0, *headerEnd), buffer.substr(*headerEnd, length));
            buffer.erase(0, *headerEnd + length);
            return message;
        }
        const auto n = ::recv(fd, part.data(), part.size(), 0);
        if (n <= 0) {
            return std::nullopt;
        }
        buffer.append(part.data(), static_cast<std::size_t>(n));
    }
}

std::string decodePercent(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out.push_back(static_cast<char>(std::strtoul(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16)));
            i += 2;
        } else {
            out.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return out;
}

Request parseRequest(const std::pair<std::string, std::string> &message)
{
    Request request;
    request.body = message.second;
    std::istringstream lines(message.first);
    std::string line;
    std::getline(lines, line);
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    std::string target = line.substr(first + 1, second - first - 1);
    if (const auto mark = target.find('?'); mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            const auto equals = pair.find('=');
            request.query[decodePercent(pair.substr(0, equals))] =
                equals == std::string::npos ? std::string() : decodePercent(pair.substr(equals + 1));
        }
        target.resize(mark);
    }
    request.path = decodePercent(target);
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of("\r ") + 1);
        request.fields[name] = value;
    }
    return request;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

/** Binds a socket to a port of 127.0.0.1, or to a free one for port 0; -1 on failure. */
int bindSocket(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

int portOf(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/** Returns free ports below those that the system gives to outgoing connections. */
std::vector<int> freePorts(std::size_t n)
{
    constexpr int lowest = 20'000;
    constexpr int highest = 31'999;
    static std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> anyPort(lowest, highest);
    std::set<int> ports;
    while (ports.size() < n) {
        const int port = anyPort(random);
        if (const int fd = bindSocket(port); fd >= 0) {
            ports.insert(port);
            ::close(fd);
        }
    }
    return {ports.begin(), ports.end()};
}

/** HTTP server with a thread for each connection. It can be taken down like a crashed process, and started again. */
class Server
{
public:
    using Handler = std::function<Response(const Request &, std::uint64_t life)>;

    Server(Handler handler, std::size_t maxConnections)
        : m_handler(std::move(handler)), m_maxConnections(maxConnections)
    {
    }

    void up()
    {
        const std::lock_guard lock(m_mutex);
        const int fd = bindSocket(m_port);
        if (fd < 0 || ::listen(fd, SOMAXCONN) != 0) {
            std::cerr << "trial: cannot listen\n";
            std::_Exit(2);
        }
        m_port = portOf(fd);
        m_listener = fd;
        const auto life = ++m_life;
        std::thread([this, fd, life] { acceptAll(fd, life); }).detach();
    }

    /** Resets all connections; new ones are refused. */
    void down()
    {
        const std::lock_guard lock(m_mutex);
        ++m_life;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        for (const int fd : m_connections) {
            const linger reset{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::shutdown(fd, SHUT_RDWR);
        }
    }

    int port() const
    {
        return m_port;
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    std::uint64_t life() const
    {
        return m_life;
    }

    std::size_t connectionCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }

private:
    void acceptAll(int listener, std::uint64_t life)
    {
        while (m_life == life) {
            if (connectionCount() >= m_maxConnections) {
                sleepMs(5); // further connections wait
                continue;
            }
            const int fd = ::accept(listener, nullptr, nullptr);
            if (fd < 0) {
                if (m_life != life) {
                    return;
                }
                continue;
            }
            const std::lock_guard lock(m_mutex);
            if (m_life != life) {
                ::close(fd);
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            m_connections.insert(fd);
            std::thread([this, fd, life] { serve(fd, life); }).detach();
        }
    }

    void serve(int fd, std::uint64_t life)
    {
        std::string buffer;
        while (const auto message = readMessage(fd, buffer)) {
            const auto response = m_handler(parseRequest(*message), life);
            if (response.isLost) {
                break;
            }
            std::ostringstream out;
            out << "HTTP/1.1 " << response.status
                << " X\r\nContent-Type: application/json\r\nContent-Length: " << response.body.size() << "\r\n\r\n"
                << response.body;
            if (m_life != life || !sendAll(fd, out.str())) {
                break;
            }
        }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(fd);
        ::close(fd);
    }

    Handler m_handler;
    std::size_t m_maxConnections;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::atomic<std::uint64_t> m_life{0};
    int m_listener = -1;
    int m_port = 0;
};

std::string encodeBase64(const std::string &bytes)
{
    static constexpr std::string_view digits("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/");
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            const bool isPadding = i + j > bytes.size();
            out.push_back(isPadding ? '=' : digits[(group >> (18U - 6U * j)) & 63U]);
        }
    }
    return out;
}

void putBigEndian(std::string &out, std::uint64_t value, unsigned bytes)
{
    for (unsigned i = bytes; i-- > 0;) {
        out.push_back(static_cast<char>((value >> (8U * i)) & 0xffU));
    }
}

/** The platform's store: keyed topics of one partition. */
class Store
{
public:
    Store() : m_server([this](const Request &request, std::uint64_t) { return handle(request); }, storeConnections)
    {
        m_server.up();
    }

    std::string address() const
    {
        return m_server.address();
    }

    /** Appends a record that the operator or a minion writes. */
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].records.push_back({key, value});
        m_changed.notify_all();
    }

    /** While true, every call of the system is refused with 503. */
    std::atomic<bool> isBusy{false};

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
        std::vector<Append> last; ///< The newest is the last one.
    };

    struct Topic {
        std::vector<Row> records;
        std::map<std::string, Producer> producers;
    };

    static std::uint64_t number(const Request &request, const std::string &name)
    {
        const auto it = request.query.find(name);
        return it == request.query.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
    }

    static std::string text(const Request &request, const std::string &name)
    {
        const auto it = request.query.find(name);
        return it == request.query.end() ? std::string() : it->second;
    }

    Response handle(const Request &request)
    {
        sleepMs(storeDelayMs);
        if (isBusy) {
            return {503, "{}"};
        }
        if (request.path == "/api/log-append") {
            return append(request);
        }
        if (request.path == "/api/log-read") {
            return read(request);
        }
        if (request.path == "/api/log-newest") {
            return newest(request);
        }
        return {404, "{}"};
    }

    static Response conflict(const json::object &body)
    {
        return {409, json::serialize(body)};
    }

    Response append(const Request &request)
    {
        const std::lock_guard lock(m_mutex);
        auto &topic = m_topics[text(request, "topic")];
        const auto epoch = number(request, "epoch");
        const auto sequence = number(request, "seqNo");
        auto &producer = topic.producers[text(request, "producer")];
        if (epoch < producer.epoch) {
            return conflict({{"reason", "fenced"}});
        }
        if (epoch > producer.epoch) {
            producer = {epoch, {}};
        }
        for (const auto &it : producer.last) {
            if (it.sequence == sequence) {
                return {200, json::serialize(json::object{{"offset", it.offset}, {"end", it.end}})};
            }
        }
        if (!producer.last.empty() && sequence != producer.last.back().sequence + 1) {
            return conflict({{"reason", "seq"}, {"seqNo", producer.last.back().sequence + 1}});
        }
        const auto offset = topic.records.size();
        std::string_view body = request.body;
        while (body.size() > 4) {
            std::size_t length = 0;
            for (std::size_t i = 0; i < 4; ++i) {
                length = (length << 8U) | static_cast<unsigned char>(body[i]);
            }
            const auto row = body.substr(4, length);
            const std::size_t keyLength = static_cast<unsigned char>(row.front());
            topic.records.push_back({std::string(row.substr(1, keyLength)), std::string(row.substr(1 + keyLength))});
            body.remove_prefix(4 + length);
        }
        constexpr std::size_t remembered = 5;
        producer.last.push_back({sequence, offset, topic.records.size()});
        if (producer.last.size() > remembered) {
            producer.last.erase(producer.last.begin());
        }
        m_changed.notify_all();
        return {200, json::serialize(json::object{{"offset", offset}, {"end", topic.records.size()}})};
    }

    Response read(const Request &request)
    {
        std::unique_lock lock(m_mutex);
        auto &topic = m_topics[text(request, "topic")];
        const auto from = number(request, "from");
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(number(request, "waitMs"));
        m_changed.wait_until(lock, until, [&] { return topic.records.size() > from; });
        if (isBusy) {
            return {503, "{}"};
        }
        const auto limit = std::max<std::uint64_t>(1, number(request, "maxKb")) * 1'024;
        std::string rows;
        for (auto i = from; i < topic.records.size() && (rows.empty() || rows.size() < limit); ++i) {
            const auto &it = topic.records[i];
            putBigEndian(rows, 1 + it.key.size() + it.value.size(), 4);
            putBigEndian(rows, it.key.size(), 1);
            rows += it.key + it.value;
        }
        std::string out;
        putBigEndian(out, topic.records.size(), 8);
        putBigEndian(out, 0, 8);
        return {200, out + rows};
    }

    Response newest(const Request &request)
    {
        const std::lock_guard lock(m_mutex);
        const auto &topic = m_topics[text(request, "topic")];
        const auto after = text(request, "dependsOn");
        std::map<std::string, std::size_t> offsets;
        for (std::size_t i = 0; i < topic.records.size(); ++i) {
            offsets[topic.records[i].key] = i;
        }
        json::array items;
        bool hasMore = false;
        for (const auto &[key, offset] : offsets) {
            const auto &value = topic.records[offset].value;
            if (value.empty() || (!after.empty() && key <= after)) {
                continue;
            }
            if (items.size() == itemsPerPage) {
                hasMore = true;
                break;
            }
            items.push_back(json::object{{"key", key}, {"value", encodeBase64(value)}, {"offset", offset}});
        }
        const json::object body{{"items", items}, {"more", hasMore}, {"end", topic.records.size()}};
        return {200, json::serialize(body)};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    Server m_server;
};

/** How the tasks of a case behave. */
struct Work {
    std::function<Ms(const std::string &task)> duration = [](const std::string &) {
        return Ms{100};
    };
};

/** What is known of all runs, and what the rule TWICE says of them. */
class Judge
{
public:
    struct Run {
        std::string task;
        std::int64_t number = 0;
        std::string minion;
        Ms startedAt = 0;
        std::optional<Ms> endedAt;
        std::string how;
        bool isNoted = false; ///< The end was taken note of.
    };

    std::size_t begin(const std::string &task, std::int64_t number, const std::string &minion)
    {
        const std::lock_guard lock(m_mutex);
        record().write("run begins: task " + task + " run " + std::to_string(number) + " on " + minion);
        m_runs.push_back({task, number, minion, nowMs(), {}, {}, false});
        return m_runs.size() - 1;
    }

    void end(std::size_t run, const std::string &how)
    {
        const std::lock_guard lock(m_mutex);
        auto &it = m_runs[run];
        it.endedAt = nowMs();
        it.how = how;
        record().write("run ends: task " + it.task + " run " + std::to_string(it.number) + " on " + it.minion + " "
                       + how);
    }

    void note(std::size_t run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[run].isNoted = true;
    }

    /** Returns the tasks for which TWICE is broken, each with what was seen. */
    std::vector<std::string> twice()
    {
        const std::lock_guard lock(m_mutex);
        std::map<std::string, std::vector<const Run *>> byTask;
        for (const auto &it : m_runs) {
            byTask[it.task].push_back(&it);
        }
        std::vector<std::string> broken;
        for (const auto &[task, runs] : byTask) {
            for (std::size_t a = 0; a < runs.size(); ++a) {
                for (std::size_t b = a + 1; b < runs.size(); ++b) {
                    const auto &first = *runs[a];
                    const auto &second = *runs[b];
                    const bool isAfterDone =
                        first.how == "done" && first.isNoted && second.startedAt >= first.endedAt.value_or(0);
                    const bool isAtSameTime = second.startedAt < first.endedAt.value_or(nowMs());
                    if (isAfterDone || isAtSameTime) {
                        broken.push_back("task " + task + ": run " + std::to_string(first.number) + " on "
                                         + first.minion + " from " + std::to_string(first.startedAt) + " to "
                                         + (first.endedAt ? std::to_string(*first.endedAt) + " " + first.how : "now")
                                         + (first.isNoted ? ", taken note of" : "") + "; run "
                                         + std::to_string(second.number) + " on " + second.minion + " begins at "
                                         + std::to_string(second.startedAt));
                    }
                }
            }
        }
        return broken;
    }

    /** Returns the number of runs of a job that have begun. */
    std::size_t begun(const std::string &job)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
            std::ranges::count_if(m_runs, [&](const Run &it) { return it.task.starts_with(job); }));
    }

    /** Returns the number of runs of a job that ended so. */
    std::size_t ended(const std::string &job, const std::string &how)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
            std::ranges::count_if(m_runs, [&](const Run &it) { return it.task.starts_with(job) && it.how == how; }));
    }

private:
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/** A minion. A crash loses all that it knows; it is back under the same id, as the pages say. */
class Minion
{
public:
    Minion(std::string id, Store &store, Judge &judge, const Work &work, json::object capacity, json::array labels)
        : m_id(std::move(id)), m_store(store), m_judge(judge), m_work(work), m_capacity(std::move(capacity)),
          m_labels(std::move(labels)),
          m_server([this](const Request &request, std::uint64_t life) { return handle(request, life); },
                   minionConnections)
    {
        boot();
        std::thread([this] { advanceAlways(); }).detach();
        std::thread([this] { beatAlways(); }).detach();
    }

    const std::string &id() const
    {
        return m_id;
    }

    /** The process crashes, and starts again after a while under the same id. */
    void restart(Ms downMs)
    {
        record().write(m_id + " crashes");
        m_server.down();
        {
            const std::lock_guard lock(m_mutex);
            m_isUp = false;
            for (const auto &[task, run] : m_running) {
                m_judge.end(run.index, "lost");
            }
        }
        sleepMs(downMs);
        boot();
        record().write(m_id + " is back under the same id");
    }

    /** While true, starts are answered with 503 and nothing is done. */
    std::atomic<bool> isGrey{false};
    /** Returns after how long a start is carried out, unanswered; nullopt to answer it at once. */
    std::function<std::optional<Ms>(const std::string &task, std::int64_t run)> lateness;

    std::size_t runningCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_running.size();
    }

    std::size_t connectionCount()
    {
        return m_server.connectionCount();
    }

    std::size_t unacknowledged()
    {
        const std::lock_guard lock(m_mutex);
        return m_ended.size();
    }

private:
    struct Running {
        std::int64_t number = 0;
        std::size_t index = 0; ///< In the judge's list.
        Ms startedAt = 0;
        Ms endsAt = 0;
        std::optional<Ms> stopsAt;
    };

    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::size_t index = 0;
        Ms at = 0;
    };

    void boot()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_born = unixMs();
            m_bornAt = nowMs();
            m_token = 0;
            m_untilMs = 0;
            m_lapsedAt = 0;
            m_nextEnd = 1;
            m_sequence = 0;
            m_running.clear();
            m_ended.clear();
            m_highest.clear();
            m_isUp = true;
        }
        m_server.up();
        beat();
    }

    Ms clock() const
    {
        return nowMs() - m_bornAt;
    }

    /** Writes the minion's entry. */
    void beat()
    {
        const std::lock_guard lock(m_mutex);
        if (m_isUp) {
            const json::object entry{{"service", "desk"},
                                     {"address", m_server.address()},
                                     {"zone", "akl"},
                                     {"version", "v1"},
                                     {"slots", 8},
                                     {"state", "ready"},
                                     {"coldLeftMs", 0},
                                     {"capacity", m_capacity},
                                     {"labels", m_labels},
                                     {"clockMs", clock()},
                                     {"seqNo", ++m_sequence},
                                     {"born", m_born}};
            m_store.put("keyed.servers", m_id, json::serialize(entry));
        }
    }

    void beatAlways()
    {
        while (true) {
            sleepMs(heartbeatMs);
            beat();
        }
    }

    void advanceAlways()
    {
        while (true) {
            sleepMs(2);
            const std::lock_guard lock(m_mutex);
            if (m_isUp) {
                advance();
            }
        }
    }

    /** Ends the runs that are over. The lock is held. */
    void advance()
    {
        const auto now = nowMs();
        const bool hasLapsed = clock() > m_untilMs;
        if (hasLapsed) {
            m_lapsedAt = now;
        }
        for (auto it = m_running.begin(); it != m_running.end();) {
            auto &run = it->second;
            std::string how;
            if (run.stopsAt && now >= *run.stopsAt) {
                how = "stopped";
            } else if (now >= run.endsAt) {
                how = "done";
            } else if (hasLapsed) {
                how = "lapsed";
            }
            if (how.empty()) {
                ++it;
                continue;
            }
            m_judge.end(run.index, how);
            m_highest[it->first] = std::max(m_highest[it->first], run.number);
            m_ended.push_back({m_nextEnd++, it->first, run.number, how, run.index, now});
            it = m_running.erase(it);
            m_changed.notify_all();
        }
    }

    Response answer(int status, json::object body) const
    {
        body["clockMs"] = clock();
        return {status, json::serialize(body)};
    }

    static std::int64_t number(const json::object &body, const char *name)
    {
        const auto *value = body.if_contains(name);
        return value && value->is_number() ? value->to_number<std::int64_t>() : 0;
    }

    Response handle(const Request &request, std::uint64_t life)
    {
        const auto expected = request.fields.find("flamingotally-expected-instance");
        if (expected != request.fields.end() && expected->second != m_id) {
            return {421, "{}"};
        }
        const auto body = json::parse(request.body).as_object();
        if (request.path == "/api/hold") {
            return hold(body, life);
        }
        if (request.path == "/api/run-start") {
            return start(body, life);
        }
        if (request.path == "/api/run-stop") {
            return stop(body, life);
        }
        return {404, "{}"};
    }

    /** Returns false when a call carries a lower token than one seen. The lock is held. */
    bool acceptToken(const json::object &body)
    {
        const auto token = number(body, "fencingToken");
        m_token = std::max(m_token, token);
        return token == m_token;
    }

    void extendLease(const json::object &body)
    {
        m_untilMs = std::max(m_untilMs, std::min(number(body, "untilMs"), clock() + holdMaxMs));
    }

    Response hold(const json::object &body, std::uint64_t life)
    {
        std::unique_lock lock(m_mutex);
        if (!m_isUp || life != m_server.life()) {
            return {0, {}, true};
        }
        if (!acceptToken(body)) {
            return answer(409, {{"reason", "fence"}});
        }
        extendLease(body);
        const auto acknowledged = number(body, "ackPosition");
        std::erase_if(m_ended, [&](const End &it) {
            if (it.number > acknowledged) {
                return false;
            }
            if (m_lapsedAt < it.at) {
                m_judge.note(it.index);
                record().write(m_id + ": ackPosition " + std::to_string(acknowledged) + " reaches end "
                               + std::to_string(it.number) + " (task " + it.task + " run " + std::to_string(it.run)
                               + " " + it.how + ")");
            }
            return true;
        });
        const auto wait = std::min<std::int64_t>(number(body, "waitMs"), 2'000);
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
        m_changed.wait_until(lock, until, [&] { return !m_ended.empty() || m_server.life() != life; });
        if (m_server.life() != life) {
            return {0, {}, true};
        }
        json::array running;
        for (const auto &[task, run] : m_running) {
            const auto total = std::max<Ms>(1, run.endsAt - run.startedAt);
            const auto percent = std::min<Ms>(99, (nowMs() - run.startedAt) * 100 / total);
            running.push_back(json::array{task, run.number, "", percent, 0});
        }
        json::array ended;
        for (const auto &it : m_ended) {
            if (ended.size() == endsPerList) {
                break;
            }
            ended.push_back(json::array{it.number, it.task, it.run, it.how, ""});
        }
        return answer(200, {{"born", m_born}, {"running", running}, {"ended", ended}});
    }

    Response start(const json::object &body, std::uint64_t life)
    {
        const std::string task(body.at("task").as_string());
        const auto run = number(body, "run");
        const auto name = "start of task " + task + " run " + std::to_string(run) + " to " + m_id;
        if (isGrey) {
            record().write(name + " is answered 503");
            return {503, "{}"};
        }
        if (const auto after = lateness ? lateness(task, run) : std::nullopt) {
            record().write(name + " is left unanswered");
            std::thread([this, body, after = *after, name] {
                sleepMs(after);
                record().write(name + " is carried out late");
                carryOutStart(body, std::nullopt);
            }).detach();
            sleepMs(*after);
            return {0, {}, true};
        }
        return carryOutStart(body, life);
    }

    /** @param life Life of the server in which the call arrived; unset for one that is carried out late. */
    Response carryOutStart(const json::object &body, std::optional<std::uint64_t> life)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isUp || (life && *life != m_server.life())) {
            return {0, {}, true};
        }
        advance();
        const std::string task(body.at("task").as_string());
        const auto run = number(body, "run");
        if (!acceptToken(body)) {
            return answer(409, {{"reason", "fence"}});
        }
        const auto running = m_running.find(task);
        if (running != m_running.end() && running->second.number == run) {
            extendLease(body);
            return answer(200, {});
        }
        if (number(body, "untilMs") <= clock()) {
            return answer(409, {{"reason", "late"}});
        }
        extendLease(body);
        const auto highest = m_highest.find(task);
        if (running != m_running.end() || (highest != m_highest.end() && run <= highest->second)) {
            return answer(409, {{"reason", "old"}});
        }
        Running it;
        it.number = run;
        it.startedAt = nowMs();
        it.index = m_judge.begin(task, run, m_id);
        it.endsAt = it.startedAt + m_work.duration(task);
        m_running[task] = it;
        return answer(200, {});
    }

    Response stop(const json::object &body, std::uint64_t life)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isUp || life != m_server.life()) {
            return {0, {}, true};
        }
        if (!acceptToken(body)) {
            return answer(409, {{"reason", "fence"}});
        }
        const std::string task(body.at("task").as_string());
        const auto run = number(body, "run");
        m_highest[task] = std::max(m_highest[task], run);
        if (const auto it = m_running.find(task); it != m_running.end() && it->second.number <= run) {
            it->second.stopsAt = it->second.stopsAt.value_or(nowMs() + stopMs);
        }
        return answer(200, {});
    }

    std::string m_id;
    Store &m_store;
    Judge &m_judge;
    const Work &m_work;
    json::object m_capacity;
    json::array m_labels;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isUp = false;
    Ms m_born = 0; ///< Unix time of the start.
    Ms m_bornAt = 0;
    std::int64_t m_token = 0;
    Ms m_untilMs = 0; ///< End of the lease, by the minion's clock.
    Ms m_lapsedAt = 0; ///< When the lease was last found to have lapsed.
    std::int64_t m_nextEnd = 1;
    std::int64_t m_sequence = 0;
    std::map<std::string, Running> m_running;
    std::vector<End> m_ended;
    std::map<std::string, std::int64_t> m_highest;
    Server m_server;
};

/** Sends one request of a client; nullopt without a whole answer in time. */
std::optional<std::pair<int, std::string>>
call(int port, const std::string &method, const std::string &target, const std::string &body)
{
    constexpr int deadlineS = 3;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{deadlineS, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const auto address = loopback(port);
    std::optional<std::pair<int, std::string>> result;
    std::ostringstream out;
    out << method << ' ' << target << " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\n"
        << "Flamingotally-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: " << body.size()
        << "\r\nConnection: close\r\n\r\n"
        << body;
    std::string buffer;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 && sendAll(fd, out.str())) {
        if (const auto message = readMessage(fd, buffer)) {
            const auto space = message->first.find(' ');
            result.emplace(static_cast<int>(std::strtol(message->first.c_str() + space, nullptr, 10)), message->second);
        }
    }
    ::close(fd);
    return result;
}

/** Fills in the template of the settings, as the platform does. */
std::string fillTemplate(const std::string &path, const std::map<std::string, std::string> &values)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    std::string out = text.str();
    for (const auto &[name, value] : values) {
        const auto mark = "{{" + name + "}}";
        for (auto at = out.find(mark); at != std::string::npos; at = out.find(mark, at + value.size())) {
            out.replace(at, mark.size(), value);
        }
    }
    return out;
}

/** A cell: the store, the minions and the entry daemons. */
class Cell
{
public:
    Cell()
    {
        const json::object route{{"name", "r-1"},
                                 {"host", "desk.example"},
                                 {"pathPrefix", "/desk/"},
                                 {"kind", "non_idempotent"},
                                 {"timeoutMs", 3'000},
                                 {"targetLatencyMs", 3'000},
                                 {"priority", 0},
                                 {"service", "desk"},
                                 {"maxAttempts", 3},
                                 {"stretch", 4.0},
                                 {"public", false}};
        const json::object tenant{{"name", "t-1"},
                                  {"weight", 1.0},
                                  {"upperLimit", json::object{{"cpu", 0}, {"memMb", 0}, {"gpu", 0}}},
                                  {"apiKeys", json::array{"key-1"}}};
        const json::object service{{"name", "desk"}, {"rejectsOverload", false}};
        const json::object config{{"version", 3},
                                  {"routes", json::array{route}},
                                  {"services", json::array{service}},
                                  {"tenants", json::array{tenant}},
                                  {"limits", json::object{}}};
        m_store.put("keyed.op", "config", json::serialize(config));
    }

    Store &store()
    {
        return m_store;
    }

    Judge &judge()
    {
        return m_judge;
    }

    Work &work()
    {
        return m_work;
    }

    Minion &minion(std::size_t n)
    {
        return *m_minions[n];
    }

    std::size_t minionCount() const
    {
        return m_minions.size();
    }

    void addMinion(std::int64_t cpu, const std::string &kind)
    {
        const auto n = m_minions.size() + 1;
        const json::object capacity{{"cpu", cpu}, {"memMb", 262'144}, {"gpu", 0}};
        m_minions.push_back(std::make_unique<Minion>("i-000000000" + std::to_string(n),
                                                     m_store,
                                                     m_judge,
                                                     m_work,
                                                     capacity,
                                                     json::array{kind, "r1-" + std::to_string(n)}));
    }

    /** Starts the daemons, again with other ports when another process has taken one meanwhile. */
    bool startDaemons(const std::string &folder)
    {
        constexpr int tries = 3;
        for (int n = 0; n < tries; ++n) {
            if (tryDaemons(folder)) {
                return true;
            }
            stopDaemons();
        }
        return false;
    }

    /** Sends a client's request to a daemon, and writes it down. */
    std::optional<std::pair<int, std::string>>
    ask(std::size_t daemon, const std::string &method, const std::string &rest, const std::string &body = "")
    {
        auto it = call(m_daemons[daemon % m_daemons.size()].front, method, "/desk/" + rest, body);
        record().write("client: " + method + " /desk/" + rest + " to daemon " + std::to_string(daemon + 1) + " -> "
                       + (it ? std::to_string(it->first) + " " + it->second : std::string("no answer")));
        return it;
    }

    /** Hands a job in, again until it is accepted; false when it is not. */
    bool submit(const std::string &id, const json::object &step)
    {
        const json::object job{{"spec", "text"}, {"steps", json::array{step}}};
        constexpr std::size_t tries = 5;
        for (std::size_t n = 0; n < tries; ++n) {
            const auto it = ask(n, "POST", id, json::serialize(job));
            if (it && it->first / 100 == 2) {
                return true;
            }
            sleepMs(300);
        }
        return false;
    }

    /** Returns the state of a job; empty without a readable answer. */
    std::string state(const std::string &id, std::size_t daemon = 0)
    {
        const auto it = ask(daemon, "GET", id);
        if (!it || it->first != 200) {
            return {};
        }
        const auto body = json::parse(it->second).as_object();
        return std::string(body.at("state").as_string());
    }

    /** Waits until a job is shown as ended, and returns its state, or the last one. */
    std::string awaitEnd(const std::string &id, Ms limit)
    {
        std::string last;
        for (const auto until = nowMs() + limit; nowMs() < until; sleepMs(500)) {
            last = state(id);
            if (last == "completed" || last == "failed" || last == "cancelled") {
                break;
            }
        }
        return last;
    }

    /** The daemon that owns the cell is lost for good, as without power; a new one comes at another address. */
    void replaceOwner(const std::string &folder)
    {
        const auto owner = std::ranges::max_element(m_daemons, {}, tokenOf);
        record().write("the daemon of " + owner->log.substr(owner->log.rfind('/') + 1) + " is lost for good");
        ::kill(owner->pid, SIGSTOP); // never continued: its connections stay, and nothing comes on them
        const auto zone = owner->zone;
        m_lost.push_back(owner->pid);
        m_daemons.erase(owner);
        addDaemon(folder, zone);
    }

    void stopDaemons()
    {
        for (const auto &it : m_daemons) {
            m_lost.push_back(it.pid);
        }
        for (const auto pid : m_lost) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        m_daemons.clear();
        m_lost.clear();
    }

private:
    /** An entry daemon. */
    struct Daemon {
        std::string zone;
        std::string log; ///< Path of its log.
        int front = 0;
        int ready = 0;
        pid_t pid = 0;
    };

    /** Starts the daemons with the command of the deploy file, and waits until all are ready. */
    bool tryDaemons(const std::string &folder)
    {
        for (const auto *zone : {"akl", "wlg", "chc"}) {
            addDaemon(folder, zone);
        }
        constexpr Ms limit = 6'000;
        for (const auto until = nowMs() + limit; nowMs() < until; sleepMs(100)) {
            const bool areReady = std::ranges::all_of(m_daemons, [](const Daemon &it) {
                const auto answer = call(it.ready, "GET", "/api/readiness", "");
                return answer && answer->first == 200;
            });
            if (areReady) {
                sleepMs(4'000); // an owner has claimed the cell and polled the minions
                return true;
            }
        }
        return false;
    }

    /** Starts a daemon under a new name, on new ports. */
    void addDaemon(const std::string &folder, const std::string &zone)
    {
        const auto ports = freePorts(4);
        const auto name = "front-" + zone + "-" + std::to_string(++m_named);
        const auto address = [&](std::size_t i) {
            return "127.0.0.1:" + std::to_string(ports[i]);
        };
        const std::map<std::string, std::string> values{{"nodeName", name},
                                                        {"zone", zone},
                                                        {"listen.front", address(0)},
                                                        {"listen.ready", address(1)},
                                                        {"ip", "127.0.0.1"},
                                                        {"portRange.0", std::to_string(ports[2])},
                                                        {"portRange.1", std::to_string(ports[3])},
                                                        {"platform.address", m_store.address()},
                                                        {"advice", ""},
                                                        {"limits.cpuShare", "0.25"}};
        const auto file = folder + "/boot-" + name + ".toml";
        std::ofstream(file) << fillTemplate("deploy/settings.toml", values);
        Daemon it{zone, folder + "/log-" + name + ".txt", ports[0], ports[1], 0};
        it.pid = startDaemon(file, it.log);
        m_daemons.push_back(it);
    }

    /** Returns the highest token under which a daemon has taken the cell, by its log; 0 for none. */
    static long tokenOf(const Daemon &daemon)
    {
        static constexpr std::string_view mark("event=ownership_taken token=");
        long token = 0;
        std::ifstream log(daemon.log);
        for (std::string line; std::getline(log, line);) {
            if (const auto at = line.find(mark); at != std::string::npos) {
                token = std::max(token, std::strtol(line.c_str() + at + mark.size(), nullptr, 10));
            }
        }
        return token;
    }

    static pid_t startDaemon(const std::string &settings, const std::string &log)
    {
        const auto pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("FLAMINGOTALLY_BOOT", settings.c_str(), 1);
            if (std::freopen(log.c_str(), "w", stdout) == nullptr || ::dup2(::fileno(stdout), STDERR_FILENO) < 0) {
                std::_Exit(2);
            }
            ::execl("target/flamingotally-entry", "target/flamingotally-entry", nullptr);
            std::_Exit(2);
        }
        return pid;
    }

    Store m_store;
    Judge m_judge;
    Work m_work;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<Daemon> m_daemons;
    std::vector<pid_t> m_lost;
    int m_named = 0; ///< Daemons that were given a name.
};

constexpr int held = 0;
constexpr int broken = 1;
constexpr int unplayable = 2;

int conclude(const std::vector<std::string> &findings)
{
    for (const auto &it : findings) {
        record().write("BROKEN: " + it);
    }
    record().write(findings.empty() ? "the rule held"
                                    : "the rule was broken " + std::to_string(findings.size()) + " times");
    return findings.empty() ? held : broken;
}

std::string idOf(std::size_t n)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016zx", 0x5c0e7a2100000000U + n);
    return text.data();
}

/** Minions crash, one at a time, and start again under their ids while short tasks are being started on them. */
int playRestart(Cell &cell, bool hasTrouble)
{
    constexpr std::size_t clients = 6;
    constexpr Ms pause = 200;
    constexpr Ms playedMs = 45'000;
    constexpr Ms betweenCrashes = 2'500;
    constexpr Ms shortest = 100;
    constexpr Ms step = 50;
    constexpr std::size_t downTimes = 8; // from 100 to 450 ms
    const auto until = nowMs() + playedMs;
    std::atomic<std::size_t> accepted{0};
    std::vector<std::thread> threads;
    for (std::size_t client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            constexpr std::size_t jobsPerClient = 1'000;
            const json::object tasks{{"count", 20}, {"cpu", 1'000}, {"memMb", 256}, {"estRuntimeMs", 160}};
            for (std::size_t n = 0; nowMs() < until; ++n) {
                accepted += cell.submit(idOf(client * jobsPerClient + n), tasks) ? 1 : 0;
                sleepMs(pause);
            }
        });
    }
    for (std::size_t n = 0; hasTrouble && nowMs() < until - betweenCrashes; ++n) {
        sleepMs(betweenCrashes);
        cell.minion(n % cell.minionCount()).restart(shortest + static_cast<Ms>(n % downTimes) * step);
    }
    for (auto &it : threads) {
        it.join();
    }
    if (accepted == 0) {
        return unplayable;
    }
    sleepMs(8'000); // what is left of the tasks ends
    return conclude(cell.judge().twice());
}

/** The store is down while more runs end on one minion than one of its lists holds. */
int playManyEnds(Cell &cell, bool hasTrouble)
{
    constexpr std::int64_t tasks = 3'000;
    constexpr Ms outage = 4'500;
    const auto id = idOf(1);
    const json::object step{{"count", tasks}, {"cpu", 20}, {"memMb", 80}, {"estRuntimeMs", 2'500}};
    if (!cell.submit(id, step)) {
        return unplayable;
    }
    for (const auto until = nowMs() + 8'000; nowMs() < until && cell.judge().begun(id) < tasks;) {
        sleepMs(20);
    }
    record().write(std::to_string(cell.judge().begun(id)) + " runs have begun");
    if (hasTrouble) {
        record().write("the store answers 503");
        cell.store().isBusy = true;
        sleepMs(outage);
        record().write("the store answers again; unacknowledged ends: "
                       + std::to_string(cell.minion(0).unacknowledged()));
        cell.store().isBusy = false;
    }
    const auto last = cell.awaitEnd(id, 40'000);
    if (!hasTrouble && last != "completed") {
        return unplayable;
    }
    return conclude(cell.judge().twice());
}

/** A minion goes down and up by turns, below a job that lasts and needs a minion of its kind. */
int playCrashes(Cell &cell, bool hasTrouble)
{
    constexpr std::size_t crashes = 6;
    constexpr Ms pause = 3'000;
    constexpr Ms downMs = 500;
    constexpr Ms calmMs = 12'000;
    const auto id = idOf(1);
    const json::object step{{"count", 2},
                            {"cpu", 1'000},
                            {"memMb", 256},
                            {"estRuntimeMs", 500},
                            {"longRunning", true},
                            {"requirements", "b"}};
    if (!cell.submit(id, step)) {
        return unplayable;
    }
    sleepMs(pause);
    for (std::size_t n = 0; hasTrouble && n < crashes; ++n) {
        cell.minion(0).restart(downMs);
        sleepMs(pause - downMs);
        cell.state(id, n);
    }
    record().write("the minion crashes no more");
    sleepMs(calmMs);
    std::vector<std::string> findings;
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        const auto last = cell.state(id, daemon);
        if (last.empty()) {
            return unplayable;
        }
        if (last == "failed" && cell.judge().ended(id, "failed") == 0) {
            findings.push_back("daemon " + std::to_string(daemon + 1) + " shows job " + id
                               + " as failed; none of its runs has ended failed, and its tasks last");
        }
    }
    if (const auto running = cell.minion(0).runningCount(); running < 2) {
        findings.push_back(std::to_string(running) + " of 2 tasks that last run, " + std::to_string(calmMs)
                           + " ms after the last crash, on a free minion");
    }
    return conclude(findings);
}

/** A start is carried out late, by a minion that has started again under its id meanwhile. */
int playLateStart(Cell &cell, bool hasTrouble)
{
    constexpr Ms after = 3'000;
    constexpr Ms downMs = 500;
    const auto others = idOf(1);
    const auto id = idOf(2);
    std::atomic<bool> isTaken{false};
    const auto chosen = cell.minionCount() - 2;
    if (hasTrouble) {
        cell.minion(chosen).lateness = [&](const std::string &task, std::int64_t) -> std::optional<Ms> {
            return task.starts_with(id) && !isTaken.exchange(true) ? std::optional(after) : std::nullopt;
        };
    }
    const json::object brief{{"count", 24}, {"cpu", 1'000}, {"memMb", 256}, {"estRuntimeMs", 500}};
    const json::object step{{"count", 7}, {"cpu", 1'000}, {"memMb", 256}, {"estRuntimeMs", 8'000}};
    if (!cell.submit(others, brief) || cell.awaitEnd(others, 10'000) != "completed" || !cell.submit(id, step)) {
        return unplayable;
    }
    if (hasTrouble) {
        sleepMs(1'500);
        if (!isTaken) {
            return unplayable;
        }
        cell.minion(chosen).restart(downMs);
    }
    const auto last = cell.awaitEnd(id, 40'000);
    if (!hasTrouble && last != "completed") {
        return unplayable;
    }
    return conclude(cell.judge().twice());
}

/** Owners are lost for good one after the other, each after it has started tasks. */
int playLostOwners(Cell &cell, bool hasTrouble, const std::string &folder)
{
    constexpr std::size_t losses = 9;
    constexpr Ms pause = 5'000;
    constexpr Ms calmMs = 15'000;
    const json::object brief{{"count", 21}, {"cpu", 1'000}, {"memMb", 256}, {"estRuntimeMs", 500}};
    for (std::size_t n = 0; n < losses; ++n) {
        if (!cell.submit(idOf(n), brief)) {
            return unplayable;
        }
        sleepMs(2'000);
        if (hasTrouble) {
            cell.replaceOwner(folder);
        }
        sleepMs(pause);
        std::string line = "connections:";
        for (std::size_t i = 0; i < cell.minionCount(); ++i) {
            line += " " + std::to_string(cell.minion(i).connectionCount());
        }
        record().write(line);
    }
    const auto last = idOf(losses);
    if (!cell.submit(last, brief)) {
        return unplayable;
    }
    sleepMs(calmMs);
    std::vector<std::string> findings;
    const auto begun = cell.judge().begun(last);
    const auto state = cell.state(last);
    if (state != "completed" && begun == 0) {
        findings.push_back("job " + last + " was accepted " + std::to_string(calmMs)
                           + " ms ago, none of its tasks has begun, all minions are free, and its state is " + state);
    }
    return conclude(findings);
}

/** Jobs wait for the only minion of a kind, which refuses starts. */
int playWaiting(Cell &cell, bool hasTrouble)
{
    constexpr std::size_t jobs = 4;
    constexpr Ms greyMs = 6'500;
    constexpr Ms visibleMs = 3'000;
    constexpr Ms margin = 2'000;
    cell.minion(0).isGrey = hasTrouble;
    const auto greyUntil = nowMs() + greyMs;
    std::vector<std::string> ids;
    for (std::size_t n = 0; n < jobs; ++n) {
        ids.push_back(idOf(n));
        const json::object step{
            {"count", 1}, {"cpu", 1'000}, {"memMb", 256}, {"estRuntimeMs", 1'000}, {"requirements", "b"}};
        if (!cell.submit(ids.back(), step)) {
            return unplayable;
        }
    }
    const auto acceptedAt = nowMs();
    std::vector<std::string> findings;
    while (nowMs() < greyUntil - 200) {
        if (nowMs() - acceptedAt <= visibleMs + margin) {
            sleepMs(50);
            continue;
        }
        for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
            const auto it = cell.ask(daemon, "GET", "");
            const auto notBegun = static_cast<std::int64_t>(
                std::ranges::count_if(ids, [&](const std::string &id) { return cell.judge().begun(id) == 0; }));
            if (!it || it->first != 200) {
                continue;
            }
            const auto body = json::parse(it->second).as_object();
            const auto waiting = body.at("waiting").to_number<std::int64_t>();
            if (waiting * 2 < notBegun) {
                findings.push_back("daemon " + std::to_string(daemon + 1) + " gives " + std::to_string(waiting)
                                   + " waiting jobs; " + std::to_string(notBegun)
                                   + " accepted over 5 s before have not begun");
            }
        }
        sleepMs(200);
    }
    cell.minion(0).isGrey = false;
    for (const auto &id : ids) {
        cell.awaitEnd(id, 15'000);
    }
    return conclude(findings);
}

int play(const std::string &name, const std::string &folder)
{
    const char *setting = std::getenv("TROUBLE");
    const bool hasTrouble = setting == nullptr || std::string_view(setting) != "0";
    record().write("case " + name + (hasTrouble ? "" : " without the disruption"));
    static Cell cell;
    constexpr std::int64_t largeCpu = 64'000;
    constexpr std::int64_t smallCpu = 16'000;
    std::function<int(Cell &, bool)> script;
    if (name == "restart") {
        cell.work().duration = [](const std::string &task) {
            const auto index = std::strtol(task.c_str() + task.rfind('.') + 1, nullptr, 10);
            return Ms{60} + index * 10;
        };
        for (int n = 0; n < 8; ++n) {
            cell.addMinion(largeCpu, "a");
        }
        script = playRestart;
    } else if (name == "many-ends") {
        cell.work().duration = [](const std::string &task) {
            const auto index = std::strtol(task.c_str() + task.rfind('.') + 1, nullptr, 10);
            return Ms{1'000} + index * 11 / 10;
        };
        cell.addMinion(largeCpu, "a");
        script = playManyEnds;
    } else if (name == "crashes") {
        cell.work().duration = [](const std::string &) {
            return Ms{600'000};
        };
        cell.addMinion(smallCpu, "b");
        for (int n = 0; n < 7; ++n) {
            cell.addMinion(smallCpu, "a");
        }
        script = playCrashes;
    } else if (name == "lost-owners") {
        cell.work().duration = [](const std::string &) {
            return Ms{500};
        };
        for (int n = 0; n < 3; ++n) {
            cell.addMinion(largeCpu, "a");
        }
        script = [&folder](Cell &it, bool isTroubled) {
            return playLostOwners(it, isTroubled, folder);
        };
    } else if (name == "late-start") {
        cell.work().duration = [](const std::string &task) {
            return task.starts_with(idOf(2)) && !task.ends_with(".0") ? Ms{8'000} : Ms{500};
        };
        for (int n = 0; n < 8; ++n) {
            cell.addMinion(smallCpu, "a");
        }
        script = playLateStart;
    } else if (name == "waiting") {
        cell.work().duration = [](const std::string &) {
            return Ms{1'000};
        };
        cell.addMinion(smallCpu, "b");
        for (int n = 0; n < 11; ++n) {
            cell.addMinion(smallCpu, "a");
        }
        script = playWaiting;
    }
    if (!script) {
        std::cerr << "trial: no case " << name << '\n';
        return unplayable;
    }
    const int status = cell.startDaemons(folder) ? script(cell, hasTrouble) : unplayable;
    cell.stopDaemons();
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: trial CASE RECORD FOLDER\n";
        return unplayable;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record().open(argv[2]);
    int status = unplayable;
    try {
        status = play(argv[1], argv[3]);
    } catch (const std::exception &error) {
        std::cerr << "trial: " << error.what() << '\n';
    }
    record().write("exit status " + std::to_string(status));
    std::_Exit(status); // threads of the stand-ins still run
}
