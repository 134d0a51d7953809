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

enum class BaselineKind {
    RoundRobin,    ///< Each router sends on at once, to the servers in turn; servers queue.
    LeastLoaded,   ///< Each router sends on at once, to the server that it sees least loaded.
    FairPerRouter, ///< Each router holds an equal share of each server and is fair by itself.
};

/// Routers that do not talk to one another, for comparison with the product.
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
    struct View
    {
        VirtualFleet::ModelServer *server = nullptr;
        std::size_t reported = 0;
        std::size_t own = 0;
        std::size_t sinceReport = 0;
        std::size_t share = 0;
    };
    struct Pool
    {
        std::vector<View> views;
        std::size_t next = 0;
        std::map<Base::CustomerId, std::deque<Node::CallerRequest>> waiting;
        std::map<Base::CustomerId, Base::ServiceUnits> service;
    };

    void refreshLoads();
    void send(std::size_t router, Pool &pool, std::size_t view, const Node::CallerRequest &request);
    void dispatchFair(std::size_t router, Pool &pool);
    std::size_t leastLoaded(const Pool &pool) const;
    void ended(Exchange *exchange);

    BaselineKind m_kind;
    VirtualFleet::EventQueue *m_queue;
    Base::Duration m_latency;
    Base::Duration m_loadReportLag;
    VirtualFleet::CallerListener *m_listener = nullptr;
    std::vector<std::map<std::string, Pool>> m_routers;
    std::map<Exchange *, std::unique_ptr<Exchange>> m_exchanges;
};

} // namespace Measure
