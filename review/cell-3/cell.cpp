#include "cell.h"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace cell
{

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusMalformed = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusOtherInstance = 421;
constexpr unsigned statusTooMany = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusDeadline = 504;
constexpr unsigned statusBadGateway = 502;
constexpr std::size_t lengthBytes = 4;
constexpr unsigned bitsPerByte = 8;
constexpr std::size_t keptAppends = 5;

std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string text;
    for (std::size_t n = bytes; n > 0; --n) {
        text.push_back(static_cast<char>((number >> (bitsPerByte * (n - 1))) & 0xffU));
    }
    return text;
}

std::size_t readLength(const std::string &body, std::size_t at)
{
    std::size_t length = 0;
    for (std::size_t n = 0; n < lengthBytes; ++n) {
        length = (length << bitsPerByte) | static_cast<unsigned char>(body[at + n]);
    }
    return length;
}

Response jsonResponse(unsigned status, const json::object &body)
{
    return {status, json::serialize(body)};
}

std::int64_t integer(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

std::string text(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::string encodeBase64(const std::string &bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string out(base64::encoded_size(bytes.size()), '\0');
    out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
    return out;
}

/** Returns a number that follows a word in a task's spec, such as "work=500 cpu=100". */
std::int64_t wordOf(const std::string &spec, const std::string &word, std::int64_t otherwise)
{
    const auto at = spec.find(word + "=");
    return at == std::string::npos ? otherwise : std::stoll(spec.substr(at + word.size() + 1));
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

Record::Record(const std::string &path) : m_file(path)
{
}

void Record::write(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << elapsed().count() << " ms " << text << std::endl;
}

Milliseconds Record::elapsed() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start);
}

Store::Store(Record &record) : m_record(record), m_server([this](const Request &request) { return handle(request); })
{
}

std::string Store::address() const
{
    return m_server.address();
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    add(m_topics[topic], {key, value});
    m_changed.notify_all();
}

void Store::add(Topic &topic, Row row)
{
    if (row.value.empty()) {
        topic.newest.erase(row.key);
    } else {
        topic.newest[row.key] = topic.rows.size();
    }
    topic.rows.push_back(std::move(row));
}

Response Store::handle(const Request &request)
{
    if (isBusy) {
        return {statusUnavailable, ""};
    }
    if (request.path == "/api/log-append") {
        return append(request);
    }
    if (request.path == "/api/log-read") {
        return read(request);
    }
    return request.path == "/api/log-newest" ? newest(request) : Response{statusNotFound, ""};
}

Response Store::append(const Request &request)
{
    std::vector<Row> rows;
    const auto &body = request.body;
    if (body.size() > callBytes) {
        m_record.write("store: refuses an append of " + std::to_string(body.size()) + " bytes in one call, status 400");
        return {statusMalformed, ""};
    }
    for (std::size_t at = 0; at < body.size();) {
        const auto length = body.size() - at < lengthBytes ? 0 : readLength(body, at);
        at += lengthBytes;
        if (length == 0 || length > body.size() - std::min(at, body.size()) || length > recordBytes) {
            m_record.write("store: refuses an append of " + request.text("producer") + " with a record of "
                           + std::to_string(length) + " bytes, status 400");
            return {statusMalformed, ""};
        }
        const std::size_t keyLength = static_cast<unsigned char>(body[at]);
        rows.push_back({body.substr(at + 1, keyLength), body.substr(at + 1 + keyLength, length - 1 - keyLength)});
        at += length;
    }
    std::this_thread::sleep_for(Milliseconds{2});
    const std::lock_guard lock(m_mutex);
    auto &topic = m_topics[request.text("topic")];
    auto &producer = topic.producers[request.text("producer")];
    const auto epoch = request.number("epoch");
    const auto sequence = request.number("seqNo");
    if (epoch < producer.epoch) {
        return jsonResponse(statusConflict, {{"reason", "fenced"}});
    }
    if (epoch > producer.epoch) {
        producer = {epoch, sequence - 1, {}};
    }
    const auto known = std::ranges::find(producer.appends, sequence, &Append::sequence);
    if (known != producer.appends.end()) {
        return jsonResponse(statusOk, {{"offset", known->offset}, {"end", known->end}});
    }
    if (sequence != producer.last + 1) {
        return jsonResponse(statusConflict, {{"reason", "seq"}, {"seqNo", producer.last + 1}});
    }
    producer.last = sequence;
    const auto offset = topic.rows.size();
    for (auto &it : rows) {
        add(topic, std::move(it));
    }
    producer.appends.push_back({sequence, offset, topic.rows.size()});
    if (producer.appends.size() > keptAppends) {
        producer.appends.pop_front();
    }
    m_changed.notify_all();
    return jsonResponse(statusOk, {{"offset", offset}, {"end", topic.rows.size()}});
}

Response Store::read(const Request &request)
{
    constexpr std::uint64_t kilobyte = 1024;
    const auto from = request.number("from");
    const auto maxBytes = (request.query.contains("maxKb") ? request.number("maxKb") : kilobyte) * kilobyte;
    const auto until = Clock::now() + Milliseconds(request.number("waitMs"));
    std::unique_lock lock(m_mutex);
    auto &topic = m_topics[request.text("topic")];
    m_changed.wait_until(lock, until, [&] { return topic.rows.size() > from; });
    std::string out = bigEndian(topic.rows.size(), sizeof(std::uint64_t)) + bigEndian(0, sizeof(std::uint64_t));
    for (auto n = from; n < topic.rows.size() && out.size() < maxBytes; ++n) {
        const auto &row = topic.rows[n];
        out += bigEndian(1 + row.key.size() + row.value.size(), lengthBytes) + bigEndian(row.key.size(), 1) + row.key
            + row.value;
    }
    return {statusOk, out, "application/octet-stream"};
}

Response Store::newest(const Request &request)
{
    constexpr std::size_t pageRows = 500;
    constexpr std::size_t pageBytes = 1024 * 1024;
    const std::lock_guard lock(m_mutex);
    const auto &topic = m_topics[request.text("topic")];
    const auto after = request.text("dependsOn");
    json::array items;
    std::size_t bytes = 0;
    auto it = after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after);
    for (; it != topic.newest.end() && items.size() < pageRows && bytes < pageBytes; ++it) {
        const auto &value = topic.rows[it->second].value;
        bytes += value.size();
        items.push_back(json::object{{"key", it->first}, {"value", encodeBase64(value)}, {"offset", it->second}});
    }
    return jsonResponse(statusOk,
                        {{"items", std::move(items)}, {"more", it != topic.newest.end()}, {"end", topic.rows.size()}});
}

Worker::Worker(Store &store, Record &record, std::string id, std::string service, std::string zone, Capacity capacity)
    : m_store(store), m_record(record), m_id(std::move(id)), m_service(std::move(service)), m_zone(std::move(zone)),
      m_capacity(capacity), m_born(wallMs()),
      m_server(std::make_unique<Server>([this](const Request &request) { return handle(request); }))
{
    beat("ready");
}

void Worker::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        advance();
        m_isUp = false;
        m_running.clear();
        m_ended.clear();
        m_highest.clear();
        m_changed.notify_all();
    }
    m_server->stop();
    m_record.write(m_id + ": crashes");
}

void Worker::boot(Capacity capacity)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isUp = true;
        m_bootedAt = Clock::now();
        m_born = wallMs();
        m_token = 0;
        m_leaseUntil = 0;
        m_nextEnd = 1;
        m_sequence = 0;
        m_capacity = capacity;
    }
    m_server->start();
    m_record.write(m_id + ": starts again with " + std::to_string(capacity.cpu) + " thousandths of a core");
    if (!isCutFromStore) {
        beat("ready");
    }
}

void Worker::beat(const std::string &state)
{
    json::object entry;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isUp || m_isMute || isCutFromStore) {
            return;
        }
        entry = {{"service", m_service},
                 {"address", m_server->address()},
                 {"zone", m_zone},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", state},
                 {"coldLeftMs", 0},
                 {"capacity", json::object{{"cpu", m_capacity.cpu}, {"memMb", m_capacity.memory}, {"gpu", 0}}},
                 {"labels", json::array{"a", "r1-1"}},
                 {"clockMs", clockMs()},
                 {"born", m_born},
                 {"seqNo", ++m_sequence}};
    }
    m_store.put("keyed.servers", m_id, json::serialize(entry));
}

std::vector<Start> Worker::starts() const
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

std::vector<std::string> Worker::running() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> tasks;
    for (const auto &it : m_running) {
        tasks.push_back(it.first);
    }
    return tasks;
}

std::set<std::string> Worker::done() const
{
    const std::lock_guard lock(m_mutex);
    return m_done;
}

std::int64_t Worker::usedCpu() const
{
    const std::lock_guard lock(m_mutex);
    std::int64_t sum = 0;
    for (const auto &it : m_running) {
        sum += it.second.cpu;
    }
    return sum;
}

void Worker::setMute(bool isMute)
{
    const std::lock_guard lock(m_mutex);
    m_isMute = isMute;
    m_changed.notify_all();
}

void Worker::setLate(bool isLate)
{
    const std::lock_guard lock(m_mutex);
    m_isLate = isLate;
}

std::size_t Worker::lateOrders() const
{
    const std::lock_guard lock(m_mutex);
    return m_late.size();
}

void Worker::carryOutLate()
{
    const std::lock_guard lock(m_mutex);
    if (!m_isUp || m_late.empty()) {
        return;
    }
    advance();
    const auto result = start(m_late.front());
    m_record.write(m_id + ": carries out the late order " + json::serialize(m_late.front()) + " with status "
                   + std::to_string(result.status) + " " + result.body);
}

bool Worker::isOverCapacity() const
{
    const std::lock_guard lock(m_mutex);
    return m_isOverCapacity;
}

Capacity Worker::capacity() const
{
    const std::lock_guard lock(m_mutex);
    return m_capacity;
}

std::int64_t Worker::ends(const std::string &how) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_endCounts.find(how);
    return it == m_endCounts.end() ? 0 : it->second;
}

std::int64_t Worker::clockMs() const
{
    constexpr std::int64_t first = 1'000;
    return first + std::chrono::duration_cast<Milliseconds>(Clock::now() - m_bootedAt).count();
}

json::object Worker::status() const
{
    return {{"clockMs", clockMs()}, {"born", m_born}};
}

Response Worker::answer(unsigned code, std::string_view reason) const
{
    auto body = status();
    if (!reason.empty()) {
        body["reason"] = reason;
    }
    return jsonResponse(code, body);
}

bool Worker::isFenced(const json::object &body)
{
    const auto token = integer(body, "fencingToken");
    if (token < m_token) {
        return true;
    }
    m_token = token;
    return false;
}

void Worker::renew(const json::object &body)
{
    const auto until = std::min(integer(body, "untilMs"), clockMs() + static_cast<std::int64_t>(holdMax.count()));
    m_leaseUntil = std::max(m_leaseUntil, until);
}

void Worker::end(const std::string &task, const std::string &how)
{
    const auto it = m_running.find(task);
    auto &highest = m_highest[task];
    highest = std::max(highest, it->second.number);
    m_ended.push_back({m_nextEnd++, task, it->second.number, how});
    ++m_endCounts[how];
    if (how == "done") {
        m_done.insert(task);
    }
    m_record.write(m_id + ": run " + std::to_string(it->second.number) + " of " + task + " ends " + how);
    m_running.erase(it);
    m_changed.notify_all();
}

void Worker::advance()
{
    std::vector<std::pair<std::string, std::string>> ends;
    const auto isLapsed = clockMs() >= m_leaseUntil;
    for (const auto &[task, run] : m_running) {
        if (run.endsAt <= Clock::now()) {
            ends.emplace_back(task, "done");
        } else if (isLapsed) {
            ends.emplace_back(task, "lapsed");
        }
    }
    for (const auto &[task, how] : ends) {
        end(task, how);
    }
}

Response Worker::handle(const Request &request)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_isMute; });
    if (!m_isUp) {
        return {0, ""};
    }
    if (request.path == "/health") {
        return {statusOk, ""};
    }
    if (!request.expectedInstance.empty() && request.expectedInstance != m_id) {
        return answer(statusOtherInstance, "");
    }
    boost::system::error_code error;
    const auto parsed = json::parse(request.body, error);
    if (error || !parsed.is_object()) {
        return {statusMalformed, ""};
    }
    advance();
    const auto &body = parsed.as_object();
    if (request.path == "/api/run-start" && m_isLate) {
        m_late.push_back(body);
        m_record.write(m_id + ": leaves an order unanswered: " + request.body);
        return {0, ""};
    }
    if (request.path == "/api/run-start") {
        return start(body);
    }
    if (request.path == "/api/run-stop") {
        return stop(body);
    }
    return request.path == "/api/hold" ? hold(body, lock) : Response{statusNotFound, ""};
}

Response Worker::start(const json::object &body)
{
    constexpr std::int64_t usualWork = 500;
    const auto task = text(body, "task");
    const auto number = integer(body, "run");
    const auto spec = text(body, "spec");
    if (isFenced(body)) {
        return answer(statusConflict, "fence");
    }
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.number == number) {
        renew(body);
        return answer(statusOk, "");
    }
    const auto highest = m_highest.find(task);
    if (running != m_running.end() || (highest != m_highest.end() && number <= highest->second)) {
        renew(body);
        return answer(statusConflict, "old");
    }
    if (integer(body, "untilMs") <= clockMs()) {
        return answer(statusConflict, "late");
    }
    renew(body);
    const auto cpu = wordOf(spec, "cpu", 0);
    const auto now = Clock::now();
    m_running[task] = {number, cpu, now, now + Milliseconds(wordOf(spec, "work", usualWork))};
    m_starts.push_back({task, number, m_id, m_record.elapsed()});
    m_record.write(m_id + ": starts run " + std::to_string(number) + " of " + task);
    std::int64_t used = 0;
    for (const auto &it : m_running) {
        used += it.second.cpu;
    }
    if (used > m_capacity.cpu) {
        m_isOverCapacity = true;
        m_record.write(m_id + ": LIMIT, the start brings it to " + std::to_string(used) + " of "
                       + std::to_string(m_capacity.cpu) + " thousandths of a core");
    }
    return answer(statusOk, "");
}

Response Worker::stop(const json::object &body)
{
    const auto task = text(body, "task");
    const auto number = integer(body, "run");
    if (isFenced(body)) {
        return answer(statusConflict, "fence");
    }
    auto &highest = m_highest[task];
    highest = std::max(highest, number);
    const auto it = m_running.find(task);
    if (it != m_running.end() && it->second.number <= number) {
        end(task, "stopped");
    }
    return answer(statusOk, "");
}

Response Worker::hold(const json::object &body, std::unique_lock<std::mutex> &lock)
{
    constexpr std::size_t maxEnds = 500;
    constexpr std::int64_t longestWait = 2'000;
    constexpr std::int64_t allOfIt = 100;
    if (isFenced(body)) {
        return answer(statusConflict, "fence");
    }
    renew(body);
    const auto acknowledged = integer(body, "ackPosition");
    std::erase_if(m_ended, [&](const End &it) { return it.number <= acknowledged; });
    const auto until = Clock::now() + Milliseconds(std::min(integer(body, "waitMs"), longestWait));
    const auto born = m_born;
    while (m_isUp && m_born == born && m_ended.empty() && Clock::now() < until) {
        auto next = until;
        for (const auto &it : m_running) {
            next = std::min(next, it.second.endsAt);
        }
        const Milliseconds lease{std::max<std::int64_t>(0, m_leaseUntil - clockMs())};
        next = m_running.empty() ? next : std::min(next, Clock::now() + lease);
        m_changed.wait_until(lock, next);
        if (m_isUp && m_born == born) {
            advance();
        }
    }
    m_changed.wait(lock, [this] { return !m_isMute; });
    if (!m_isUp || m_born != born) {
        return {0, ""};
    }
    auto out = status();
    json::array running;
    for (const auto &[task, run] : m_running) {
        const auto length = std::max<std::int64_t>(1, (run.endsAt - run.startedAt).count());
        const auto percent = std::min(allOfIt, (Clock::now() - run.startedAt).count() * allOfIt / length);
        running.push_back(json::array{task, run.number, "", percent, run.cpu});
    }
    json::array ended;
    for (std::size_t n = 0; n < m_ended.size() && n < maxEnds; ++n) {
        const auto &it = m_ended[n];
        ended.push_back(json::array{it.number, it.task, it.run, it.how, ""});
    }
    out["capacity"] = json::object{{"cpu", m_capacity.cpu}, {"memMb", m_capacity.memory}, {"gpu", 0}};
    out["running"] = std::move(running);
    out["ended"] = std::move(ended);
    return jsonResponse(statusOk, out);
}

Cell::Cell(const std::string &directory, const std::string &recordPath)
    : record(recordPath), store(record), m_directory(directory)
{
    std::thread([this] { beatAll(); }).detach();
}

void Cell::stopDaemons()
{
    const std::lock_guard lock(m_processMutex);
    m_isStopping = true;
    for (const auto &it : daemons) {
        ::kill(it.process, SIGKILL);
        ::waitpid(it.process, nullptr, 0);
    }
    std::ofstream(m_directory + "/processes") << "";
}

void Cell::listProcesses()
{
    std::ofstream file(m_directory + "/processes");
    for (const auto &it : daemons) {
        file << it.process << '\n';
    }
}

void Cell::beatAll()
{
    constexpr Milliseconds step{100};
    auto next = Clock::now() + heartbeat;
    while (true) {
        std::this_thread::sleep_for(step);
        if (Clock::now() >= next) {
            next += heartbeat;
            for (const auto &it : workers) {
                it->beat("ready");
            }
        }
    }
}

Worker &Cell::addWorker(const std::string &service, const std::string &zone, Capacity capacity)
{
    workers.reserve(100);
    workers.push_back(
        std::make_unique<Worker>(store, record, "i-" + std::to_string(workers.size() + 1), service, zone, capacity));
    return *workers.back();
}

void Cell::putConfig(const json::object &config)
{
    store.put("keyed.op", "config", json::serialize(config));
}

void Cell::startDaemons(std::size_t count)
{
    const std::array<std::string, 3> zones{"akl", "wlg", "chc"};
    for (std::size_t n = 0; n < count; ++n) {
        Daemon daemon;
        daemon.zone = zones[n % zones.size()];
        daemon.name = "front-" + daemon.zone + "-" + std::to_string(n / zones.size() + 1);
        daemon.settings = m_directory + "/" + daemon.name + ".toml";
        daemon.log = m_directory + "/" + daemon.name + ".log";
        const auto local = [] {
            return "127.0.0.1:" + std::to_string(freePort());
        };
        daemon.front = local();
        daemon.ready = local();
        std::ofstream(daemon.settings) << "name = \"" << daemon.name << "\"\ndomain = \"" << daemon.zone
                                       << "\"\nfrontAddress = \"" << daemon.front << "\"\nreadyAddress = \""
                                       << daemon.ready << "\"\npeerAddress = \"" << local() << "\"\nmetricsAddress = \""
                                       << local() << "\"\nstoreAddress = \"" << store.address()
                                       << "\"\nadviceAddress = \"" << local()
                                       << "\"\nprocessorShare = \"0.25\"\nregions = "
                                          "\"akl=aotearoa,wlg=aotearoa,chc=aotearoa\"\nmemoryMb = 260\n"
                                          "maxDescriptors = 4100\n";
        startProcess(daemon);
        daemons.push_back(daemon);
    }
    listProcesses();
    std::thread([this] { watchProcesses(); }).detach();
}

void Cell::startProcess(Daemon &daemon)
{
    std::string program = "target/flamingotally-entry";
    std::string variable = "FLAMINGOTALLY_BOOT=" + daemon.settings;
    std::array<char *, 2> arguments{program.data(), nullptr};
    std::array<char *, 2> environment{variable.data(), nullptr};
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, daemon.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    ::posix_spawn(&daemon.process, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    note("platform: starts " + daemon.name);
}

std::size_t Cell::memoryOf(const Daemon &daemon)
{
    std::ifstream file("/proc/" + std::to_string(daemon.process) + "/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    file >> all >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void Cell::watchProcesses()
{
    constexpr Milliseconds step{20};
    constexpr Milliseconds restartDelay{500};
    while (true) {
        std::this_thread::sleep_for(step);
        const std::lock_guard lock(m_processMutex);
        if (m_isStopping) {
            return;
        }
        for (auto &it : daemons) {
            const auto memory = memoryOf(it);
            it.peakMemory = std::max(it.peakMemory, memory);
            if (memory > memoryLimit) {
                note("platform: kills " + it.name + ", which takes " + std::to_string(memory) + " bytes");
                ::kill(it.process, SIGKILL);
            }
            int status = 0;
            if (::waitpid(it.process, &status, memory > memoryLimit ? 0 : WNOHANG) == it.process) {
                ++it.ends;
                note("platform: " + it.name + " has ended, wait status " + std::to_string(status));
                std::this_thread::sleep_for(restartDelay);
                startProcess(it);
                listProcesses();
            }
        }
    }
}

bool Cell::awaitReady(Milliseconds limit)
{
    constexpr Milliseconds step{100};
    const auto until = Clock::now() + limit;
    while (Clock::now() < until) {
        const auto isReady = [&](const Daemon &it) {
            return call(it.ready, "GET", "/api/readiness", "x", "", Milliseconds{1'000}).status == statusOk;
        };
        if (std::ranges::all_of(daemons, isReady)) {
            note("all daemons are ready");
            return true;
        }
        std::this_thread::sleep_for(step);
    }
    note("not all daemons are ready in time");
    return false;
}

CallResult Cell::send(std::size_t daemon, const std::string &method, const std::string &path, const std::string &body)
{
    constexpr Milliseconds deadline{3'000};
    const auto &to = daemons[daemon % daemons.size()];
    note("client: " + method + " " + path + " (" + std::to_string(body.size()) + " bytes) to " + to.name);
    auto result = call(to.front, method, path, "cell.example", body, deadline);
    note("client: " + method + " " + path + " at " + to.name + " gets " + std::to_string(result.status) + " "
         + result.body.substr(0, 100));
    return result;
}

CallResult Cell::submit(const std::string &id, const std::string &body, int attempts)
{
    CallResult result;
    for (int n = 0; n < attempts; ++n) {
        result = send(m_nextDaemon++, "POST", "/queue/" + id, body);
        const bool isOpen = result.status == 0 || result.status == statusBadGateway || result.status == statusDeadline;
        const bool isRefused = result.status == statusTooMany || result.status == statusUnavailable;
        if (!isOpen && !isRefused) {
            break;
        }
    }
    return result;
}

std::string Cell::stateOf(const std::string &id)
{
    std::string last;
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        const auto result = send(m_nextDaemon++, "GET", "/queue/" + id, "");
        last = std::to_string(result.status);
        if (result.status == statusOk) {
            return text(json::parse(result.body).as_object(), "state");
        }
    }
    return last;
}

void Cell::note(const std::string &text)
{
    record.write(text);
}

Milliseconds Cell::elapsed() const
{
    return record.elapsed();
}

json::object makeConfig(int version)
{
    return json::parse(R"({"routes":[{"name":"r-work","host":"cell.example","pathPrefix":"/queue/",
"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":3000,"priority":1,"service":"desk","maxAttempts":3,
"stretch":4.0,"public":true}],"services":[{"name":"desk","healthPath":"/health","maxConns":64,"protocol":"h1",
"tls":false,"coldStartS":0.0,"coldPerS":0.0,"rejectsOverload":false,"spare":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team","apiKeys":["3hh2b9wu3fexd9dnn2ct"],"priority":1,"weight":16,
"upperLimit":{"cpu":0,"memMb":0,"gpu":0}}],"version":)"
                       + std::to_string(version) + "}")
        .as_object();
}

std::string makeJob(int workMs, json::array steps)
{
    std::int64_t cpu = 0;
    for (const auto &it : steps) {
        cpu = std::max(cpu, integer(it.as_object(), "cpu"));
    }
    const auto spec = "work=" + std::to_string(workMs) + " cpu=" + std::to_string(cpu);
    return json::serialize(json::object{{"spec", spec}, {"steps", std::move(steps)}});
}

} // namespace cell
