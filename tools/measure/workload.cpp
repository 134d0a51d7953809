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
            m_queue->after(customer.begins, [this, i] { askAtRate(i); });
        for (std::size_t n = 0; n < customer.openRequests; ++n) {
            // Spread over a second, so that the loops of different customers do not march
            // in step.
            const auto offset = std::chrono::microseconds(m_random.next() % 1000000);
            m_queue->after(customer.begins + offset, [this, i] { ask(i); });
        }
    }
}

void Workload::askAtRate(std::size_t customer)
{
    ask(customer);
    const double draw = static_cast<double>(m_random.next() % 1000000 + 1) / 1000001.0;
    const double seconds = -std::log(draw) / m_shape.customers[customer].requestsPerSecond;
    const auto pause =
        std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds));
    m_queue->after(pause, [this, customer] { askAtRate(customer); });
}

void Workload::ask(std::size_t customer)
{
    const std::size_t kind = drawKind();
    const WorkKind &workKind = m_shape.kinds[kind];
    CallerView view;
    view.customer = customer;
    view.kind = kind;
    view.work.customer = m_shape.customers[customer].customer;
    view.work.promptTokens = drawTokens(workKind.promptTokens);
    view.work.generatedTokens = drawTokens(workKind.generatedTokens);
    askAgain(view);
}

void Workload::askAgain(CallerView view)
{
    view.work.serial = ++m_last;
    view.asked = m_queue->now();
    view.isWaiting = true;
    view.hasStarted = false;
    m_views[view.work.serial] = view;
    ++m_waiting[view.customer];
    ++m_totalWaiting;
    send(view);
}

void Workload::send(const CallerView &view)
{
    const CustomerShape &shape = m_shape.customers[view.customer];
    const WorkKind &workKind = m_shape.kinds[view.kind];
    Node::CallerRequest request;
    request.caller = view.work.serial;
    request.target = shape.targets[m_random.next() % shape.targets.size()];
    request.body = VirtualFleet::encodeWork(view.work);
    request.isStreaming = true;
    request.keyDigest = VirtualFleet::keyDigestOf(shape.customer);
    request.workClass = workKind.workClass;
    request.promptTokens = view.work.promptTokens;
    // The hint is rough: the mean of the kind, whatever this request will really take.
    request.maxTokens = workKind.generatedTokens;
    const std::size_t next = m_nextRouter[view.customer]++;
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
    // Exponential, cut at four times the mean: many short answers, a few long ones.
    const double draw = static_cast<double>(m_random.next() % 1000000 + 1) / 1000001.0;
    const double tokens = -std::log(draw) * mean;
    return static_cast<std::uint32_t>(std::clamp(tokens, 1.0, 4.0 * mean));
}

void Workload::stopWaiting(CallerView &view)
{
    if (!view.isWaiting)
        return;
    view.isWaiting = false;
    --m_waiting[view.customer];
    --m_totalWaiting;
}

void Workload::started(Node::CallerId) {}

void Workload::part(Node::CallerId caller, const std::string &)
{
    const auto it = m_views.find(caller);
    if (it == m_views.end() || it->second.hasStarted)
        return;
    it->second.hasStarted = true;
    // The backlogged wait because they ask for more than there is; what a target means is seen
    // by those that ask for little.
    if (!m_isMeasuring || m_shape.customers[it->second.customer].requestsPerSecond == 0)
        return;
    const double wait =
        std::chrono::duration<double, std::milli>(m_queue->now() - it->second.asked).count();
    m_firstParts[it->second.kind].push_back(wait);
}

void Workload::finished(Node::CallerId caller)
{
    const auto it = m_views.find(caller);
    if (it == m_views.end())
        return;
    ++m_finished;
    const std::size_t customer = it->second.customer;
    stopWaiting(it->second);
    m_views.erase(it);
    // One that asks at a rate does not wait for its answers.
    if (m_shape.customers[customer].requestsPerSecond == 0)
        m_queue->after(Base::Duration::zero(), [this, customer] { ask(customer); });
}

void Workload::failed(Node::CallerId caller, const Node::Failure &failure)
{
    const auto it = m_views.find(caller);
    if (it == m_views.end())
        return;
    if (failure.type == Node::FailureType::BackendFailed)
        ++m_failed;
    else
        ++m_refused;
    stopWaiting(it->second);
    const CallerView view = it->second;
    m_views.erase(it);
    const Base::Duration back = failure.retryAfter.value_or(Base::Milliseconds(1000));
    m_queue->after(back, [this, view] { askAgain(view); });
}

void Workload::begunAtServer(Node::CallerId caller)
{
    const auto it = m_views.find(caller);
    if (it != m_views.end())
        stopWaiting(it->second);
}

} // namespace Measure
