/**
 * @file end_to_end.cpp Submits single tasks to a running cell at a steady rate and measures the time from each
 * submission to the start of its task on a worker, which the stand-in's journal records. All processes have to run on
 * one machine, because they compare times of its monotonic clock.
 */
#include "net/clock.h"
#include "net/http_client.h"
#include "request_type.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_split.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

namespace
{

using namespace flamingotally;
namespace json = boost::json;
namespace po = boost::program_options;

/** Parsed command line. */
struct Options {
    std::vector<std::string> servers; ///< "IP:port" of each daemon.
    std::string platform; ///< "IP:port" of the stand-in.
    std::string key; ///< Submitter key of a team.
    std::string profile; ///< Profile of the tasks.
    double rate = 0; ///< Submissions per second.
    int seconds = 0; ///< Duration of the load.
    int runMs = 0; ///< Run time of each task, in milliseconds.
};

/** State of one submission. All times are by the monotonic clock. */
struct Submission {
    MonotonicTime sentAt{};
    MonotonicTime answeredAt{};
    unsigned status = 0; ///< HTTP status; zero when there was no response.
    MonotonicTime startedAt{};
    int starts = 0; ///< Number of times that the task was started; more than one is an error.
};

/** Sends the submissions and records the responses. */
class Load
{
public:
    Load(boost::asio::io_context &io, Options options)
        : m_options(std::move(options)), m_http(io), m_timer(io), m_startedAt(m_clock.now())
    {
        m_total = static_cast<std::size_t>(m_options.rate * m_options.seconds);
        sendDue();
    }

    bool isDone() const
    {
        return m_sent == m_total && m_answered == m_total;
    }

    HttpClient &http()
    {
        return m_http;
    }

    absl::flat_hash_map<std::string, Submission> submissions; ///< By request id.
    std::string lastError; ///< Response body or error message of the last submission that failed.

private:
    /** Sends every submission that is due, whether or not earlier ones were answered, so that the rate stays steady. */
    void sendDue()
    {
        const auto elapsed = m_clock.now() - m_startedAt;
        const auto due = static_cast<std::size_t>(static_cast<double>(elapsed.count()) * m_options.rate / 1'000) + 1;
        while (m_sent < std::min(due, m_total)) {
            sendOne();
        }
        if (m_sent == m_total) {
            return;
        }
        m_timer.expires_after(Milliseconds{1});
        m_timer.async_wait([this](const boost::system::error_code &) { sendDue(); });
    }

    void sendOne()
    {
        const auto id = toString(makeRequestId(m_clock.wallNow(), m_random(), m_random()));
        json::object body{{"profile", m_options.profile},
                          {"resources", json::object{{"cpuMilli", 100}, {"memoryMb", 64}}},
                          {"payload", fmt::format(R"({{"runMs":{}}})", m_options.runMs)}};
        HttpCall call;
        call.address = m_options.servers[m_sent % m_options.servers.size()];
        call.method = HttpMethod::Post;
        call.target = "/v1/jobs";
        call.fields = {{"Authorization", "Bearer " + m_options.key}, {"Idempotency-Key", id}};
        call.body = json::serialize(body);
        call.timeout = Milliseconds{15'000};
        ++m_sent;
        submissions[id].sentAt = m_clock.now();
        m_http.send(std::move(call), [this, id](const HttpResult &result) {
            auto &it = submissions[id];
            it.answeredAt = m_clock.now();
            it.status = result.ok() ? result->status : 0;
            if (!result.ok() || result->status >= 300) {
                lastError = result.ok() ? result->body : std::string(result.status().message());
            }
            ++m_answered;
        });
    }

    Options m_options;
    SystemClock m_clock;
    HttpClient m_http;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random{std::random_device{}()};
    MonotonicTime m_startedAt;
    std::size_t m_total = 0;
    std::size_t m_sent = 0;
    std::size_t m_answered = 0;
};

/** Fetches the stand-in's journal. Returns an empty array when the request fails. */
json::array readJournal(boost::asio::io_context &io, HttpClient &http, const std::string &platform)
{
    std::optional<HttpResult> result;
    HttpCall call;
    call.address = platform;
    call.target = "/v1/journal";
    call.timeout = Milliseconds{30'000};
    call.maxResponseBytes = std::size_t{512} * 1024 * 1024;
    http.send(call, [&result](HttpResult arrived) { result = std::move(arrived); });
    io.restart();
    while (!result) {
        io.run_one();
    }
    if (!result->ok()) {
        return {};
    }
    return json::parse((*result)->body).as_object().at("runs").as_array();
}

/** Records the starts of the journal in the submissions to which they belong. */
void joinJournal(Load &load, const json::array &runs)
{
    for (const auto &it : runs) {
        const auto &run = it.as_object();
        const auto found = load.submissions.find(std::string(run.at("request").as_string()));
        if (found != load.submissions.end()) {
            found->second.startedAt = MonotonicTime{Milliseconds{run.at("startedAt").as_int64()}};
            ++found->second.starts;
        }
    }
}

/** Returns the median, the 99th percentile and the maximum as text. */
std::string quantiles(std::vector<std::int64_t> values)
{
    if (values.empty()) {
        return "none";
    }
    std::ranges::sort(values);
    const auto at = [&values](double fraction) {
        return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
    };
    return fmt::format("p50 {} ms, p99 {} ms, max {} ms", at(0.5), at(0.99), values.back());
}

/** Prints the figures. Returns EXIT_FAILURE when the task of a submission was started more than once. */
int report(const Load &load, int seconds)
{
    std::vector<std::int64_t> toResponse;
    std::vector<std::int64_t> toStart;
    std::size_t accepted = 0;
    std::size_t startedRepeatedly = 0;
    for (const auto &[id, it] : load.submissions) {
        if (it.status >= 200 && it.status < 300) {
            ++accepted;
            toResponse.push_back((it.answeredAt - it.sentAt).count());
        }
        if (it.starts > 0) {
            toStart.push_back((it.startedAt - it.sentAt).count());
        }
        startedRepeatedly += it.starts > 1 ? 1 : 0;
    }
    fmt::print("submitted {}, accepted {}, started {}, started more than once {}\n",
               load.submissions.size(),
               accepted,
               toStart.size(),
               startedRepeatedly);
    fmt::print("starts a second {:.1f}\n", static_cast<double>(toStart.size()) / seconds);
    fmt::print("request to answer: {}\n", quantiles(std::move(toResponse)));
    fmt::print("request to start: {}\n", quantiles(std::move(toStart)));
    if (!load.lastError.empty()) {
        fmt::print("last error: {}\n", load.lastError);
    }
    return startedRepeatedly == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/** Applies the load, waits until the last tasks have started, and reports. Returns the exit status. */
int run(const Options &options)
{
    boost::asio::io_context io(1);
    Load load(io, options);
    while (!load.isDone()) {
        io.run_one();
    }
    constexpr Milliseconds settleTime{2'000}; // Time in which the tasks accepted last can start.
    boost::asio::steady_timer timer(io, settleTime);
    bool isSettled = false;
    timer.async_wait([&isSettled](const boost::system::error_code &) { isSettled = true; });
    while (!isSettled) {
        io.run_one();
    }
    joinJournal(load, readJournal(io, load.http(), options.platform));
    return report(load, options.seconds);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    std::string servers;
    po::options_description all(
        "end_to_end: submits single tasks to a running cell and measures the time until they start");
    auto add = all.add_options();
    add("help,h", "print this text");
    add("servers", po::value(&servers)->required(), "IP:port of the daemons, separated by commas");
    add("platform", po::value(&options.platform)->required(), "IP:port of the stand-in");
    add("key", po::value(&options.key)->required(), "submitter key of a team");
    add("profile", po::value(&options.profile)->default_value("bench"), "profile of the tasks");
    add("rate", po::value(&options.rate)->default_value(87), "submissions per second");
    add("seconds", po::value(&options.seconds)->default_value(10), "duration of the load in seconds");
    add("run-ms", po::value(&options.runMs)->default_value(100), "run time of a task in milliseconds");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, all), values);
        if (values.count("help") > 0) {
            std::cout << all;
            return EXIT_SUCCESS;
        }
        po::notify(values);
    } catch (const po::error &error) {
        fmt::print(stderr, "end_to_end: {}\n", error.what());
        return EXIT_FAILURE;
    }
    options.servers = absl::StrSplit(servers, ',', absl::SkipEmpty());
    return run(options);
}
