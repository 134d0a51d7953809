#pragma once

#include "base/random.h"
#include "base/time.h"
#include "measure/submitter.h"
#include "virtualfleet/callerlistener.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/work.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Measure {

/// One kind of work: the cost and the start target of its requests.
struct WorkKind
{
    Base::ClassId workClass;
    Base::Milliseconds startWithin{1000};
    /// Mean tokens of the prompt.
    std::uint32_t promptTokens = 500;
    /// Mean tokens of the answer.
    std::uint32_t generatedTokens = 100;
    /// Share (0 to 1) of a customer's requests that are of this kind.
    double share = 1;
};

/// Load of one customer.
struct CustomerShape
{
    Base::CustomerId customer;
    /// Requests that the customer keeps open: it sends a new one as soon as one ends.
    std::size_t openRequests = 0;
    /// If above 0, the customer also sends requests at random times (a Poisson process) with this
    /// mean rate, and sends none in place of one that ends. Set openRequests to 0 with it.
    double requestsPerSecond = 0;
    /// Routers that the customer's callers are connected to; requests go to them in turn.
    std::vector<std::size_t> routers;
    /// Names of the models that the requests ask for, each with the same probability.
    std::vector<std::string> targets;
    /// Time from the start of the workload to the customer's first request.
    Base::Duration startDelay{0};
};

/// The load of all customers.
struct WorkloadShape
{
    std::vector<WorkKind> kinds;
    std::vector<CustomerShape> customers;
    std::uint64_t seed = 1;
};

/// State of one request at its caller.
struct TrackedRequest
{
    std::size_t customer = 0;
    std::size_t kind = 0;
    VirtualFleet::Work work;
    Base::TimePoint sentAt;
    bool isWaiting = true;
    bool hasStarted = false;
};

/// The callers of all customers. Backlogged customers keep a number of requests open; light ones
/// send at a rate. A request that was refused or failed is sent again after the time that the
/// failure names, or else after 1 s.
class Workload final : public VirtualFleet::CallerListener
{
public:
    Workload(const WorkloadShape &shape, VirtualFleet::EventQueue &queue, Submitter &submitter);

    /// Schedules the first requests of all customers.
    void start();

    /// Returns for each customer the number of open requests that no backend server has started.
    const std::vector<std::size_t> &waiting() const { return m_waiting; }
    /// Returns the sum of waiting().
    std::size_t totalWaiting() const { return m_totalWaiting; }
    std::size_t customers() const { return m_shape.customers.size(); }
    const WorkloadShape &shape() const { return m_shape; }
    /// Returns by kind of work the times from sending a request to the first part of its answer, in
    /// milliseconds. Only requests of customers that send at a rate count, and only those whose
    /// first part came after startMeasuring().
    const std::vector<std::vector<double>> &firstParts() const { return m_firstParts; }
    void startMeasuring() { m_isMeasuring = true; }
    std::uint64_t finishedRequests() const { return m_finished; }
    std::uint64_t refusedRequests() const { return m_refused; }
    std::uint64_t failedRequests() const { return m_failed; }

    void started(Node::CallerId caller) override;
    void part(Node::CallerId caller, const std::string &payload) override;
    void finished(Node::CallerId caller) override;
    void failed(Node::CallerId caller, const Node::Failure &failure) override;
    /// Records that a backend server started the request.
    void startedAtServer(Node::CallerId caller);

private:
    /// Sends a request of a random kind and size.
    void sendNewRequest(std::size_t customer);
    /// Sends a request and schedules the next one.
    void sendAtRate(std::size_t customer);
    /// Sends a request under a new serial and tracks it. A refused one keeps its work.
    void sendTracked(TrackedRequest tracked);
    void submitToRouter(const TrackedRequest &tracked);
    std::size_t drawKind();
    /// Draws from an exponential distribution, clamped to 1 and four times \a mean.
    std::uint32_t drawTokens(std::uint32_t mean);
    void stopWaiting(TrackedRequest &tracked);

    WorkloadShape m_shape;
    VirtualFleet::EventQueue *m_queue;
    Submitter *m_submitter;
    Base::SeededRandom m_random;
    std::map<Node::CallerId, TrackedRequest> m_trackedRequests;
    std::vector<std::size_t> m_waiting;
    std::vector<std::size_t> m_nextRouter;
    std::vector<std::vector<double>> m_firstParts;
    std::size_t m_totalWaiting = 0;
    std::uint64_t m_lastSerial = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_failed = 0;
    bool m_isMeasuring = false;
};

} // namespace Measure
