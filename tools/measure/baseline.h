#pragma once

#include "base/random.h"
#include "measure/submitter.h"
#include "virtualfleet/callerlistener.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/modelserver.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Measure {

/// How a baseline picks the backend server and the next request.
enum class BaselineKind {
    /// Each router forwards a request at once, to the servers in turn. The servers queue.
    RoundRobin,
    /// Each router forwards a request at once, to the server with the lowest load that it knows of.
    LeastLoaded,
    /// Each router has an equal share of the slots of each server and queues the rest. It serves
    /// the
    /// customer first that received the least service from this router.
    FairPerRouter,
};

/// Routers that exchange no messages, for comparison with lagoonmast.
class Baseline final : public Submitter
{
public:
    using ServersByPool = std::map<std::string, std::vector<VirtualFleet::ModelServer *>>;

    Baseline(BaselineKind kind, VirtualFleet::EventQueue &queue, std::size_t routers,
             const ServersByPool &servers, Base::Duration latency, Base::Duration loadReportLag);
    ~Baseline() override;

    void setListener(VirtualFleet::CallerListener *listener) { m_listener = listener; }
    void submit(std::size_t router, const Node::CallerRequest &request) override;

private:
    class Exchange;
    struct Waiting
    {
        Node::CallerRequest request;
    };
    /// What one router knows of one server.
    struct ServerView
    {
        VirtualFleet::ModelServer *server = nullptr;
        /// Running and queued requests in the last load report.
        std::size_t reportedLoad = 0;
        /// Requests of this router that the server has not finished.
        std::size_t openRequests = 0;
        /// Requests that this router sent since the last load report.
        std::size_t sentSinceReport = 0;
        /// Slots of the server that this router may use (FairPerRouter).
        std::size_t slotShare = 0;
    };
    /// One router's state of one pool.
    struct Pool
    {
        std::vector<ServerView> views;
        /// Counter for RoundRobin; its remainder is the index of the next server.
        std::size_t nextServer = 0;
        std::map<Base::CustomerId, std::deque<Node::CallerRequest>> waiting;
        std::map<Base::CustomerId, Base::ServiceUnits> received;
    };

    /// Reads the loads of all servers now and at every interval; routers learn them after the lag.
    void refreshLoads();
    void send(std::size_t router, Pool &pool, std::size_t view, const Node::CallerRequest &request);
    /// Sends waiting requests while any server has a free slot of this router's share.
    void dispatchFair(std::size_t router, Pool &pool);
    std::size_t leastLoaded(const Pool &pool) const;
    void release(Exchange *exchange);

    BaselineKind m_kind;
    VirtualFleet::EventQueue *m_queue;
    Base::Duration m_latency;
    Base::Duration m_loadReportLag;
    VirtualFleet::CallerListener *m_listener = nullptr;
    std::vector<std::map<std::string, Pool>> m_routers;
    std::map<Exchange *, std::unique_ptr<Exchange>> m_exchanges;
};

} // namespace Measure
