#include "measure/baseline.h"

#include "virtualfleet/work.h"

#include <algorithm>
#include <utility>

namespace Measure {

namespace {

constexpr Base::Duration loadReportInterval = std::chrono::milliseconds(500);

} // namespace

/// One request at one server. The parts and the end of the answer reach the caller after the
/// latency.
class Baseline::Exchange final : public VirtualFleet::AnswerSink
{
public:
    Exchange(Baseline &owner, std::size_t router, Pool &pool, std::size_t view,
             const Node::CallerRequest &request)
        : m_owner(&owner)
        , m_router(router)
        , m_pool(&pool)
        , m_view(view)
        , m_caller(request.caller)
        , m_customer(VirtualFleet::decodeWork(request.body).customer)
    {}

    void started() override {}
    void part(std::uint64_t, const std::string &payload, Base::ServiceUnits units) override
    {
        m_owner->m_queue->after(m_owner->m_latency, [this, payload, units] {
            m_pool->received[m_customer] += units;
            m_owner->m_listener->part(m_caller, payload);
        });
    }
    void finished(std::uint64_t) override
    {
        m_owner->m_queue->after(m_owner->m_latency, [this] {
            m_owner->m_listener->finished(m_caller);
            m_owner->release(this);
        });
    }
    std::size_t router() const { return m_router; }
    Pool &pool() const { return *m_pool; }
    std::size_t view() const { return m_view; }

private:
    Baseline *m_owner;
    std::size_t m_router;
    Pool *m_pool;
    std::size_t m_view;
    Node::CallerId m_caller;
    Base::CustomerId m_customer;
};

Baseline::Baseline(BaselineKind kind, VirtualFleet::EventQueue &queue, std::size_t routers,
                   const ServersByPool &servers, Base::Duration latency,
                   Base::Duration loadReportLag)
    : m_kind(kind)
    , m_queue(&queue)
    , m_latency(latency)
    , m_loadReportLag(loadReportLag)
    , m_routers(routers)
{
    for (std::size_t router = 0; router < routers; ++router) {
        for (const auto &[name, poolServers] : servers) {
            Pool &pool = m_routers[router][name];
            pool.nextServer = router;
            for (std::size_t i = 0; i < poolServers.size(); ++i) {
                const std::size_t slots = poolServers[i]->slots();
                // The slots that remain after an even division go to different routers at each
                // server, so that no router gets the extra slot of all servers.
                const std::size_t extra = (router + i) % routers < slots % routers ? 1 : 0;
                pool.views.push_back({poolServers[i], 0, 0, 0, slots / routers + extra});
            }
        }
    }
    refreshLoads();
}

Baseline::~Baseline() = default;

void Baseline::refreshLoads()
{
    for (auto &router : m_routers) {
        for (auto &[name, pool] : router) {
            for (ServerView &view : pool.views) {
                const std::size_t load = view.server->running() + view.server->queued();
                ServerView *target = &view;
                m_queue->after(m_loadReportLag, [target, load] {
                    target->reportedLoad = load;
                    target->sentSinceReport = 0;
                });
            }
        }
    }
    m_queue->after(loadReportInterval, [this] { refreshLoads(); });
}

void Baseline::submit(std::size_t router, const Node::CallerRequest &request)
{
    Pool &pool = m_routers[router].at(request.target);
    if (m_kind == BaselineKind::FairPerRouter) {
        const Base::CustomerId customer = VirtualFleet::decodeWork(request.body).customer;
        pool.waiting[customer].push_back(request);
        dispatchFair(router, pool);
        return;
    }
    const std::size_t view = m_kind == BaselineKind::RoundRobin
                                 ? pool.nextServer++ % pool.views.size()
                                 : leastLoaded(pool);
    send(router, pool, view, request);
}

std::size_t Baseline::leastLoaded(const Pool &pool) const
{
    const auto load = [](const ServerView &view) {
        return static_cast<double>(view.reportedLoad + view.sentSinceReport)
               / static_cast<double>(view.server->slots());
    };
    const auto it = std::min_element(
        pool.views.begin(), pool.views.end(),
        [&](const ServerView &a, const ServerView &b) { return load(a) < load(b); });
    return static_cast<std::size_t>(it - pool.views.begin());
}

void Baseline::send(std::size_t router, Pool &pool, std::size_t view,
                    const Node::CallerRequest &request)
{
    ++pool.views[view].openRequests;
    ++pool.views[view].sentSinceReport;
    auto exchange = std::make_unique<Exchange>(*this, router, pool, view, request);
    Exchange *raw = exchange.get();
    m_exchanges[raw] = std::move(exchange);
    VirtualFleet::ModelServer *server = pool.views[view].server;
    const VirtualFleet::Work work = VirtualFleet::decodeWork(request.body);
    m_queue->after(m_latency, [server, work, raw] { server->submit(work, raw); });
}

void Baseline::dispatchFair(std::size_t router, Pool &pool)
{
    while (true) {
        std::size_t leastUsed = pool.views.size();
        for (std::size_t i = 0; i < pool.views.size(); ++i) {
            const ServerView &view = pool.views[i];
            if (view.openRequests >= view.slotShare)
                continue;
            if (leastUsed == pool.views.size()
                || view.openRequests < pool.views[leastUsed].openRequests)
                leastUsed = i;
        }
        std::deque<Node::CallerRequest> *nextQueue = nullptr;
        Base::ServiceUnits least = 0;
        for (auto &[customer, waiting] : pool.waiting) {
            if (waiting.empty())
                continue;
            const Base::ServiceUnits received = pool.received[customer];
            if (!nextQueue || received < least) {
                nextQueue = &waiting;
                least = received;
            }
        }
        if (leastUsed == pool.views.size() || !nextQueue)
            return;
        const Node::CallerRequest request = nextQueue->front();
        nextQueue->pop_front();
        send(router, pool, leastUsed, request);
    }
}

void Baseline::release(Exchange *exchange)
{
    const std::size_t router = exchange->router();
    Pool &pool = exchange->pool();
    --pool.views[exchange->view()].openRequests;
    m_exchanges.erase(exchange);
    if (m_kind == BaselineKind::FairPerRouter)
        dispatchFair(router, pool);
}

} // namespace Measure
