#include "standin_systems.h"

namespace flamingotally::standin
{

namespace
{

/** Returns the result of an attempt that has succeeded on the worker, or a refusal. */
ResponseBody findResult(const Standin &standin, const ResultRequest &request)
{
    const auto found = standin.runByAttempt.find(request.attempt);
    if (found == standin.runByAttempt.end()) {
        return Refusal{404, "No such attempt."};
    }
    const auto &run = standin.journal[found->second];
    const auto &worker = standin.hosts.get<HostRow>(standin.workers.at(request.worker));
    if (run.worker != worker.name || run.outcome != Outcome::Succeeded) {
        return Refusal{404, "This worker has no result of the attempt."};
    }
    return ResultBytes{resultOf(parseTask(run.order.payload))};
}

} // namespace

void journalSystem(Standin &standin, const StandinTime & /*time*/)
{
    for (const auto &it : standin.inbox) {
        if (const auto *result = std::get_if<ResultRequest>(&it.body)) {
            standin.outbox.push_back({it.handle, findResult(standin, *result)});
        } else if (std::holds_alternative<JournalRequest>(it.body)) {
            standin.outbox.push_back({it.handle, JournalResponse{}});
        }
    }
}

} // namespace flamingotally::standin
