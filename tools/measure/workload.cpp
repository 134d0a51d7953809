#include "measure/workload.h"

#include "virtualfleet/fleetshape.h"

#include <algorithm>
#include <cmath>

namespace Measure {

Workload::Workload(const WorkloadShape &shape, VirtualFleet::EventQueue &queue,
                   Submitter &submitter)
    : m_shape(shape)
    , m_queue(&queue)
    , m_submitter(&submitter)
    , m_random(shape.seed)
    , m_waiting(shape.customers.size(), 0)
    , m_nextRouter(shape.customers.size(), 0)
    , m_firstParts(shape.kinds.size())
{}

void Workload::start()
{
    for (std::size_t i = 0; i < m_shape.customers.size(); ++i) {
        const CustomerShape &customer = m_shape.customers[i];
        if (customer.requestsPerSecond > 0)
            m_queue->after(customer.startDelay, [this, i] { sendAtRate(i); });
        for (std::size_t n = 0; n < customer.openRequests; ++n) {
            // The starts are spread over one second, so that the customers' loops of sending and
            // waiting do not run in lockstep.
            const auto offset = std::chrono::microseconds(m_random.next() % 1000000);
            m_queue->after(customer.startDelay + offset, [this, i] { sendNewRequest(i); });
        }
    }
}

void Workload::sendAtRate(std::size_t customer)
{
    sendNewRequest(customer);
    const double draw = static_cast<double>(m_random.next() % 1000000 + 1) / 1000001.0;
    const double seconds = -std::log(draw) / m_shape.customers[customer].requestsPerSecond;
    const auto pause =
        std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds));
    m_queue->after(pause, [this, customer] { sendAtRate(customer); });
}

void Workload::sendNewRequest(std::size_t customer)
{
    const std::size_t kind = drawKind();
    const WorkKind &workKind = m_shape.kinds[kind];
    TrackedRequest tracked;
    tracked.customer = customer;
    tracked.kind = kind;
    tracked.work.customer = m_shape.customers[customer].customer;
    tracked.work.promptTokens = drawTokens(workKind.promptTokens);
    tracked.work.generatedTokens = drawTokens(workKind.generatedTokens);
    sendTracked(tracked);
}

void Workload::sendTracked(TrackedRequest tracked)
{
    tracked.work.serial = ++m_lastSerial;
    tracked.sentAt = m_queue->now();
    tracked.isWaiting = true;
    tracked.hasStarted = false;
    m_trackedRequests[tracked.work.serial] = tracked;
    ++m_waiting[tracked.customer];
    ++m_totalWaiting;
    submitToRouter(tracked);
}

void Workload::submitToRouter(const TrackedRequest &tracked)
{
    const CustomerShape &shape = m_shape.customers[tracked.customer];
    const WorkKind &workKind = m_shape.kinds[tracked.kind];
    Node::CallerRequest request;
    request.caller = tracked.work.serial;
    request.target = shape.targets[m_random.next() % shape.targets.size()];
    request.body = VirtualFleet::encodeWork(tracked.work);
    request.isStreaming = true;
    request.keyDigest = VirtualFleet::keyDigestOf(shape.customer);
    request.workClass = workKind.workClass;
    request.promptTokens = tracked.work.promptTokens;
    // The estimate is rough, as callers give it: the mean of the kind instead of the true count.
    request.maxTokens = workKind.generatedTokens;
    const std::size_t next = m_nextRouter[tracked.customer]++;
    m_submitter->submit(shape.routers[next % shape.routers.size()], request);
}

std::size_t Workload::drawKind()
{
    double draw = static_cast<double>(m_random.next() % 1000000) / 1000000.0;
    for (std::size_t i = 0; i < m_shape.kinds.size(); ++i) {
        draw -= m_shape.kinds[i].share;
        if (draw < 0)
            return i;
    }
    return m_shape.kinds.size() - 1;
}

std::uint32_t Workload::drawTokens(std::uint32_t mean)
{
    // The exponential distribution gives many short and a few long texts.
    const double draw = static_cast<double>(m_random.next() % 1000000 + 1) / 1000001.0;
    const double tokens = -std::log(draw) * mean;
    return static_cast<std::uint32_t>(std::clamp(tokens, 1.0, 4.0 * mean));
}

void Workload::stopWaiting(TrackedRequest &tracked)
{
    if (!tracked.isWaiting)
        return;
    tracked.isWaiting = false;
    --m_waiting[tracked.customer];
    --m_totalWaiting;
}

void Workload::started(Node::CallerId) {}

void Workload::part(Node::CallerId caller, const std::string &)
{
    const auto it = m_trackedRequests.find(caller);
    if (it == m_trackedRequests.end() || it->second.hasStarted)
        return;
    it->second.hasStarted = true;
    // Backlogged customers wait because they ask for more than the pool can serve. Whether start
    // targets are met shows in the waits of the customers that ask for little.
    if (!m_isMeasuring || m_shape.customers[it->second.customer].requestsPerSecond == 0)
        return;
    const double wait =
        std::chrono::duration<double, std::milli>(m_queue->now() - it->second.sentAt).count();
    m_firstParts[it->second.kind].push_back(wait);
}

void Workload::finished(Node::CallerId caller)
{
    const auto it = m_trackedRequests.find(caller);
    if (it == m_trackedRequests.end())
        return;
    ++m_finished;
    const std::size_t customer = it->second.customer;
    stopWaiting(it->second);
    m_trackedRequests.erase(it);
    // A customer that sends at a rate sends its next request at its own time.
    if (m_shape.customers[customer].requestsPerSecond == 0)
        m_queue->after(Base::Duration::zero(), [this, customer] { sendNewRequest(customer); });
}

void Workload::failed(Node::CallerId caller, const Node::Failure &failure)
{
    const auto it = m_trackedRequests.find(caller);
    if (it == m_trackedRequests.end())
        return;
    if (failure.type == Node::FailureType::BackendFailed)
        ++m_failed;
    else
        ++m_refused;
    stopWaiting(it->second);
    const TrackedRequest tracked = it->second;
    m_trackedRequests.erase(it);
    const Base::Duration retryDelay = failure.retryAfter.value_or(Base::Milliseconds(1000));
    m_queue->after(retryDelay, [this, tracked] { sendTracked(tracked); });
}

void Workload::startedAtServer(Node::CallerId caller)
{
    const auto it = m_trackedRequests.find(caller);
    if (it != m_trackedRequests.end())
        stopWaiting(it->second);
}

} // namespace Measure
