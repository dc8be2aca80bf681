// One job of twenty-five can never be done: its tasks last, and each run of them fails at once. The other jobs are
// small and sound, and the minions are all but idle.
#include "../6/idle.h"

using namespace cell;

namespace
{

constexpr int firstJobs = 24; ///< Sent in 3 s, with the hopeless one: a share of 0.04. The pages have 0.05 for 3 s.
constexpr int goodJobs = 34; ///< The others come after these 3 s.
constexpr std::int64_t goodCpu = 500;
constexpr std::int64_t hopelessCpu = 2'000;
const std::string hopeless = "00000000000b0000";

std::string goodJob(int n)
{
    return "00000000000b01" + std::to_string(10 + n);
}

std::int64_t useOf(const std::string &task)
{
    return task.starts_with(hopeless) ? hopelessCpu : goodCpu;
}

int play(Scene &scene)
{
    scene.addMinions(8, 8'000);
    for (const auto &it : scene.minions) {
        it->plan = [](const std::string &task) {
            return task.starts_with(hopeless) ? RunPlan{150, "failed"} : RunPlan{300, "done"};
        };
    }
    scene.putConfig();
    if (!scene.awaitReady()) {
        return notRun;
    }
    if (hasTrouble()
        && !scene.submit("/watch/",
                         hopeless,
                         scene.key("one"),
                         R"({"spec":"watch","steps":[{"count":32,"cpu":2000,"memMb":512,"estRuntimeMs":500,)"
                         R"("longRunning":true}]})")) {
        return notRun;
    }
    for (int n = 0; n < goodJobs; ++n) {
        sleepMs(n < firstJobs ? 120 : 500);
        if (!scene.submit("/short/",
                          goodJob(n),
                          scene.key("two"),
                          R"({"spec":"quote","steps":[{"count":1,"cpu":500,"memMb":256,"estRuntimeMs":300}]})")) {
            return notRun;
        }
    }
    sleepMs(finishMs);
    bool isBroken = false;
    int open = 0;
    std::string waiting;
    for (int n = 0; n < goodJobs; ++n) {
        const auto state = scene.state("/short/", goodJob(n), scene.key("two"));
        open += state == "completed" ? 0 : 1;
        waiting = state == "queued" ? goodJob(n) : waiting;
    }
    scene.record.line(
        open, " of ", goodJobs, " sound jobs have not completed ", finishMs, " ms after the last was accepted");
    if (!waiting.empty()) {
        isBroken = isIdleTooLong(scene, waiting, goodCpu, useOf);
    }
    scene.record.line(isBroken ? "LOST: a job has nothing running, though there is room for it" : "the rule held");
    return isBroken ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    Scene scene(argc, argv);
    std::_Exit(play(scene)); // the threads of the stand-ins still run
}
