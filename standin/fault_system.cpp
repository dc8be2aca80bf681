#include "standin_systems.h"
#include "worker_func.h"

namespace flamingotally::standin
{

namespace
{

/** Returns the host with a name, or an unset reference if no host has it. */
HostRef findHost(const Standin &standin, const std::string &name)
{
    HostRef found;
    standin.hosts.forEach([&](HostRef ref) {
        if (standin.hosts.get<HostRow>(ref).name == name) {
            found = ref;
        }
    });
    return found;
}

void changeFaults(Standin &standin, Handle handle, const FaultRequest &request, const StandinTime &time)
{
    const auto host = findHost(standin, request.host);
    if (!request.host.empty() && !host.isSet()) {
        standin.outbox.push_back({handle, Refusal{404, "No such host."}});
        return;
    }
    standin.faults = request.platform;
    if (host.isSet()) {
        standin.hosts.get<HostFaults>(host) = request.hostFaults;
        standin.hostsChanged = true;
    }
    if (host.isSet() && request.shouldReboot) {
        rebootWorker(standin, host, time);
    }
    standin.outbox.push_back({handle, FaultsChanged{}});
}

} // namespace

void faultSystem(Standin &standin, const StandinTime &time)
{
    for (const auto &it : standin.inbox) {
        if (const auto *request = std::get_if<FaultRequest>(&it.body)) {
            changeFaults(standin, it.handle, *request, time);
        }
    }
}

} // namespace flamingotally::standin
