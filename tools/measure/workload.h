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

/// One kind of work: what its requests cost and what is asked of it.
struct WorkKind
{
    Base::ClassId workClass;
    Base::Milliseconds startWithin{1000};
    std::uint32_t promptTokens = 500;
    std::uint32_t generatedTokens = 100;
    /// Share of a customer's requests.
    double share = 1;
};

struct CustomerShape
{
    Base::CustomerId customer;
    /// Requests that the customer keeps open; it asks anew as soon as one ends.
    std::size_t openRequests = 0;
    /// Instead: asks at random times, so many a second in the mean, whatever is open.
    double requestsPerSecond = 0;
    /// Routers that its callers are connected to.
    std::vector<std::size_t> routers;
    /// Pools by target name; chosen evenly.
    std::vector<std::string> targets;
    /// When it begins; a burst begins late.
    Base::Duration begins{0};
};

struct WorkloadShape
{
    std::vector<WorkKind> kinds;
    std::vector<CustomerShape> customers;
    std::uint64_t seed = 1;
};

/// A request as its caller sees it.
struct CallerView
{
    std::size_t customer = 0;
    std::size_t kind = 0;
    VirtualFleet::Work work;
    Base::TimePoint asked;
    bool isWaiting = true;
    bool hasStarted = false;
};

/// Callers: backlogged customers keep a number of requests open, light ones ask at a rate. A
/// refused request comes back when the refusal says so.
class Workload final : public VirtualFleet::CallerListener
{
public:
    Workload(const WorkloadShape &shape, VirtualFleet::EventQueue &queue, Submitter &submitter);

    void start();

    /// Requests of each customer that wait and that no server has begun.
    const std::vector<std::size_t> &waiting() const { return m_waiting; }
    std::size_t totalWaiting() const { return m_totalWaiting; }
    std::size_t customers() const { return m_shape.customers.size(); }
    const WorkloadShape &shape() const { return m_shape; }
    /// First-part times by kind, in milliseconds, of the customers that ask at a rate.
    const std::vector<std::vector<double>> &firstParts() const { return m_firstParts; }
    void startMeasuring() { m_isMeasuring = true; }
    std::uint64_t finishedRequests() const { return m_finished; }
    std::uint64_t refusedRequests() const { return m_refused; }
    std::uint64_t failedRequests() const { return m_failed; }

    void started(Node::CallerId caller) override;
    void part(Node::CallerId caller, const std::string &payload) override;
    void finished(Node::CallerId caller) override;
    void failed(Node::CallerId caller, const Node::Failure &failure) override;
    /// A backend server began the request.
    void begunAtServer(Node::CallerId caller);

private:
    void ask(std::size_t customer);
    void askAtRate(std::size_t customer);
    /// A caller that was refused comes back with the same work.
    void askAgain(CallerView view);
    void send(const CallerView &view);
    std::size_t drawKind();
    std::uint32_t drawTokens(std::uint32_t mean);
    void stopWaiting(CallerView &view);

    WorkloadShape m_shape;
    VirtualFleet::EventQueue *m_queue;
    Submitter *m_submitter;
    Base::SeededRandom m_random;
    std::map<Node::CallerId, CallerView> m_views;
    std::vector<std::size_t> m_waiting;
    std::vector<std::size_t> m_nextRouter;
    std::vector<std::vector<double>> m_firstParts;
    std::size_t m_totalWaiting = 0;
    std::uint64_t m_last = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_failed = 0;
    bool m_isMeasuring = false;
};

} // namespace Measure
