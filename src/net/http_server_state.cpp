#include "net/http_server_state.h"

#include "net/clock.h"
#include "net/http_receive.h"

#include <utility>

namespace flamingotally
{

HttpServer::State::State(asio::io_context &context, HttpServerSettings bounds, HttpHandler function)
    : io(context), settings(std::move(bounds)),
      budget(settings.budget ? settings.budget : std::make_shared<HttpBudget>()), handler(std::move(function)),
      acceptor(context), acceptPause(context), drainTimer(context)
{
    budgetMember = budget->addMember({[this] { return oldestByPhase(*this); },
                                      [this](ConnectionPhase phase) {
                                          closeOldest(*this, phase, HttpLimit::Memory);
                                      }});
}

HttpServer::State::~State()
{
    budget->removeMember(budgetMember);
    connections.forEach(
        [this](ConnectionRef ref) { budget->discharge(connections.get<std::unique_ptr<Connection>>(ref)->charge); });
}

ConnectionRef addConnection(HttpServer::State &state, tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto ref =
        state.connections.insert(std::make_unique<Connection>(std::move(socket), maxBufferBytes(state.settings)));
    setPhase(state, ref, ConnectionPhase::Idle);
    return ref;
}

void removeConnection(HttpServer::State &state, ConnectionRef ref)
{
    auto &connection = *state.connections.get<std::unique_ptr<Connection>>(ref);
    state.budget->discharge(connection.charge);
    state.byPhase[static_cast<std::size_t>(connection.phase)].erase(connection.phaseStart.number);
    state.connections.erase(ref);
}

void setPhase(HttpServer::State &state, ConnectionRef ref, ConnectionPhase phase)
{
    auto &connection = *state.connections.get<std::unique_ptr<Connection>>(ref);
    state.byPhase[static_cast<std::size_t>(connection.phase)].erase(connection.phaseStart.number);
    connection.phase = phase;
    connection.phaseStart = {state.budget->nextNumber(), SystemClock().now()};
    state.byPhase[static_cast<std::size_t>(phase)].emplace(connection.phaseStart.number, ref);
}

OldestByPhase oldestByPhase(const HttpServer::State &state)
{
    OldestByPhase oldest{};
    for (std::size_t n = 0; n < oldest.size(); ++n) {
        if (!state.byPhase[n].empty()) {
            const auto ref = state.byPhase[n].begin()->second;
            oldest[n] = state.connections.get<std::unique_ptr<Connection>>(ref)->phaseStart;
        }
    }
    return oldest;
}

void closeOldest(HttpServer::State &state, ConnectionPhase phase, HttpLimit limit)
{
    const auto ref = state.byPhase[static_cast<std::size_t>(phase)].begin()->second;
    auto &connection = *state.connections.get<std::unique_ptr<Connection>>(ref);
    connection.closedFor = limit;
    connection.isRefused = phase == ConnectionPhase::Receiving;
    auto &count = state.budget->count(limit);
    ++(connection.isRefused ? count.refused : count.closed);
    state.budget->discharge(std::exchange(connection.charge, 0)); // its coroutine frees the memory when it runs next
    setPhase(state, ref, ConnectionPhase::Closing);
    connection.stream.cancel();
}

void closeForAnother(HttpServer::State &state)
{
    if (const auto phase = phaseToFreeConnection(oldestByPhase(state), SystemClock().now())) {
        closeOldest(state, *phase, HttpLimit::Connections);
    }
}

} // namespace flamingotally
