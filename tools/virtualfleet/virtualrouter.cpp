#include "virtualfleet/virtualrouter.h"

#include "virtualfleet/fleet.h"

#include <numeric>
#include <utility>

namespace VirtualFleet {

/// One exchange with a model server. It turns the server's answer into events, which reach the node
/// after the network's latency.
class VirtualRouter::Transfer final : public AnswerSink
{
public:
    Transfer(VirtualRouter &router, const Node::BackendRequest &request)
        : m_router(&router)
        , m_attempt(request.attempt)
        , m_server(request.server)
    {}

    void started() override
    {
        sendToNode(Node::BackendHead{m_attempt, 200, "text/event-stream", std::to_string(m_token)});
    }
    void part(std::uint64_t index, const std::string &payload, Base::ServiceUnits units) override
    {
        sendToNode(Node::BackendPart{m_attempt, index, payload, units});
    }
    void finished(std::uint64_t parts) override
    {
        m_isOver = true;
        sendToNode(Node::BackendFinished{m_attempt, parts});
    }
    void failed(Node::SendState sent, int status)
    {
        m_isOver = true;
        sendToNode(Node::BackendFailed{m_attempt, sent, status, std::nullopt});
    }
    void setToken(ModelServer::Token token) { m_token = token; }
    ModelServer::Token token() const { return m_token; }
    const Base::ServerId &server() const { return m_server; }
    bool isOver() const { return m_isOver; }

private:
    void sendToNode(const Node::Event &event)
    {
        VirtualRouter *router = m_router;
        const FleetShape &shape = router->m_fleet->shape();
        const auto deliver = [router, event] { router->handle(event); };
        router->runAfter(shape.latency, deliver);
        if (router->m_fleet->drawChance(shape.duplicateShare))
            router->runAfter(shape.latency + shape.duplicateDelay, deliver);
    }

    VirtualRouter *m_router;
    Node::AttemptId m_attempt;
    Base::ServerId m_server;
    ModelServer::Token m_token = 0;
    bool m_isOver = false;
};

VirtualRouter::VirtualRouter(Fleet &fleet, std::size_t index, Base::Incarnation incarnation)
    : m_fleet(&fleet)
    , m_index(index)
    , m_incarnation(incarnation)
    , m_random(fleet.shape().seed * 1000003 + index * 101 + incarnation)
    , m_table(fleet.queue(), fleet.table(), fleet.shape().tableLatency,
              [this, alive = m_isAlive](const Storage::TableOutcome &outcome) {
                  if (*alive)
                      handle(outcome);
              })
{
    Node::NodeSettings settings = fleet.shape().node;
    const std::string name = routerName(index).value();
    settings.self = {routerName(index), incarnation,
                     Base::ZoneId("z" + std::to_string(index % fleet.shape().zones)), name, name};
    m_node = *Node::Node::create(settings,
                                 {*this, *this, *this, m_table, *this, *this, m_random, *this});
}

VirtualRouter::~VirtualRouter()
{
    *m_isAlive = false;
    // A process that ends closes its connections, and the engine then cancels their work.
    for (const auto &[attempt, transfer] : m_transfers) {
        ModelServer *server = m_fleet->server(transfer->server());
        if (!transfer->isOver() && server)
            server->cancel(transfer->token());
    }
}

void VirtualRouter::start()
{
    tick();
}

void VirtualRouter::tick()
{
    if (!m_isFrozen)
        m_node->advance(m_fleet->queue().now());
    const Base::TimePoint earliest = m_fleet->queue().now() + std::chrono::milliseconds(1);
    const Base::TimePoint due = std::max(earliest, m_node->nextDue());
    m_fleet->queue().at(due, [this, alive = m_isAlive] {
        if (*alive)
            tick();
    });
}

void VirtualRouter::runAfter(Base::Duration delay, std::function<void()> action)
{
    m_fleet->queue().after(delay, [alive = m_isAlive, action = std::move(action)] {
        if (*alive)
            action();
    });
}

void VirtualRouter::handle(const Node::Event &event)
{
    if (m_isFrozen) {
        m_heldEvents.push_back(event);
        return;
    }
    if (std::holds_alternative<Node::CallerRequest>(event))
        ++m_openRequests;
    m_node->handle(event, m_fleet->queue().now());
}

void VirtualRouter::setFrozen(bool isFrozen)
{
    m_isFrozen = isFrozen;
    if (isFrozen)
        return;
    for (const Node::Event &event : std::exchange(m_heldEvents, {}))
        handle(event);
}

void VirtualRouter::breakTransfers(const Base::ServerId &id, bool isWorkLost)
{
    ModelServer *server = m_fleet->server(id);
    for (const auto &[attempt, transfer] : m_transfers) {
        if (transfer->isOver() || transfer->server() != id || transfer->token() == 0)
            continue;
        if (isWorkLost)
            server->cancel(transfer->token());
        else
            server->detach(transfer->token());
        transfer->failed(Node::SendState::MaybeRan, 0);
    }
}

std::uint64_t VirtualRouter::bytesSent(Coordination::TrafficKind kind) const
{
    return m_bytes[static_cast<std::size_t>(kind)];
}

std::uint64_t VirtualRouter::bytesSent() const
{
    return std::accumulate(m_bytes.begin(), m_bytes.end(), std::uint64_t{0});
}

void VirtualRouter::startAnswer(Node::CallerId caller, const Node::AnswerHead &)
{
    if (m_fleet->listener())
        m_fleet->listener()->started(caller);
}

void VirtualRouter::appendAnswer(Node::CallerId caller, const Node::AnswerPart &part)
{
    if (m_fleet->listener())
        m_fleet->listener()->part(caller, part.payload);
}

void VirtualRouter::finishAnswer(Node::CallerId caller)
{
    if (m_fleet->listener())
        m_fleet->listener()->finished(caller);
}

void VirtualRouter::fail(Node::CallerId caller, const Node::Failure &failure)
{
    if (m_fleet->listener())
        m_fleet->listener()->failed(caller, failure);
}

void VirtualRouter::sendEntryHosts(Node::CallerId, const Node::EntryHostList &) {}
void VirtualRouter::sendTargets(Node::CallerId, const Node::TargetList &) {}
void VirtualRouter::sendStatus(Node::CallerId, const Node::NodeStatus &) {}

void VirtualRouter::send(const Base::HostId &to, const std::string &,
                         const Node::PeerMessage &message)
{
    m_bytes[static_cast<std::size_t>(Node::trafficKind(message))] += m_fleet->messageSize(message);
    ++m_messages;
    Fleet *fleet = m_fleet;
    VirtualRouter *target = fleet->routerByName(to);
    if (fleet->drawChance(fleet->shape().lossShare))
        return;
    if (!target) {
        // The host runs but the router's process does not, so the connection is refused. The sender
        // learns of that after a round trip.
        runAfter(fleet->shape().latency * 2, [this, to] { handle(Node::PeerUnreachable{to}); });
        return;
    }
    const std::size_t from = m_index;
    const std::size_t index = target->index();
    const Base::Incarnation incarnation = m_incarnation;
    const auto deliver = [fleet, from, index, incarnation, message] {
        VirtualRouter *receiver = fleet->router(index);
        if (!receiver || fleet->isPartitioned(from, index))
            return;
        receiver->handle(Node::PeerMessageArrived{routerName(from), incarnation, message});
    };
    const FleetShape &shape = fleet->shape();
    fleet->queue().after(shape.latency, deliver);
    if (fleet->drawChance(shape.duplicateShare))
        fleet->queue().after(shape.latency + shape.duplicateDelay, deliver);
}

void VirtualRouter::send(const Node::BackendRequest &request)
{
    const auto transfer = std::make_shared<Transfer>(*this, request);
    m_transfers[request.attempt] = transfer;
    if (m_fleet->isServerDead(request.server)) {
        transfer->failed(Node::SendState::NeverSent, 0);
        return;
    }
    runAfter(m_fleet->shape().latency, [this, transfer, request] {
        ModelServer *server = m_fleet->server(request.server);
        if (!server || m_transfers.count(request.attempt) == 0)
            return;
        submitTo(*server, transfer, request);
    });
}

void VirtualRouter::submitTo(ModelServer &server, const std::shared_ptr<Transfer> &transfer,
                             const Node::BackendRequest &request)
{
    if (request.resumeStream.empty()) {
        transfer->setToken(server.submit(decodeWork(request.body), transfer.get()));
        return;
    }
    constexpr int unknownStream = 404;
    const ModelServer::Token token = std::stoull(request.resumeStream);
    if (server.resume(token, transfer.get(), request.resumeFrom))
        transfer->setToken(token);
    else
        transfer->failed(Node::SendState::MaybeRan, unknownStream);
}

void VirtualRouter::cancel(const Node::AttemptId &attempt)
{
    const auto it = m_transfers.find(attempt);
    if (it == m_transfers.end())
        return;
    const std::shared_ptr<Transfer> transfer = it->second;
    m_transfers.erase(it);
    ModelServer *server = m_fleet->server(transfer->server());
    if (server && !transfer->isOver() && transfer->token() != 0)
        server->cancel(transfer->token());
}

void VirtualRouter::pause(const Node::AttemptId &) {}
void VirtualRouter::resume(const Node::AttemptId &) {}

void VirtualRouter::pollLoad(const Base::ServerId &id, const std::string &)
{
    const ModelServer *server = m_fleet->server(id);
    const bool isReachable = server && !m_fleet->isServerDead(id);
    Node::BackendLoad load{id, isReachable, {}};
    if (isReachable)
        load.report = {server->running(), server->queued()};
    runAfter(m_fleet->shape().loadReportLag, [this, load] { handle(load); });
}

void VirtualRouter::put(Storage::OperationId operation, const std::string &, const std::string &)
{
    runAfter(m_fleet->shape().tableLatency, [this, operation] {
        handle(Storage::ObjectOutcome{operation, Storage::ObjectStatus::NotDone, {}});
    });
}

void VirtualRouter::get(Storage::OperationId operation, const std::string &)
{
    runAfter(m_fleet->shape().tableLatency, [this, operation] {
        handle(Storage::ObjectOutcome{operation, Storage::ObjectStatus::Missing, {}});
    });
}

void VirtualRouter::hopFinished(const Node::HopRecord &) {}

void VirtualRouter::requestFinished(const Node::RequestRecord &)
{
    if (m_openRequests > 0)
        --m_openRequests;
    if (m_transfers.size() < 4096)
        return;
    std::erase_if(m_transfers, [](const auto &entry) { return entry.second->isOver(); });
}

void VirtualRouter::retried(const Base::RequestKey &) {}

Base::WallTime VirtualRouter::now() const
{
    return Base::WallTime(std::chrono::duration_cast<Base::WallTime::duration>(
        m_fleet->queue().now().time_since_epoch()));
}

} // namespace VirtualFleet
