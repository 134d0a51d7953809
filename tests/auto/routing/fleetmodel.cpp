#include "fleetmodel.h"

#include <algorithm>
#include <utility>

using std::chrono::milliseconds;

namespace {

constexpr Base::Duration tick = milliseconds(5);
constexpr Base::Duration advanceInterval = milliseconds(25);
constexpr Base::Duration reportInterval = milliseconds(200);
constexpr Base::Duration listingInterval = milliseconds(500);
/// The delay of a host's report to a leader plus that of the leader's sums.
constexpr Base::Duration reportDelay = milliseconds(250);
/// A caller disconnects if its request is not read within this time.
constexpr Base::Duration callerTimeout = std::chrono::seconds(1);
constexpr Base::Duration target = std::chrono::seconds(1);
constexpr Base::Duration eventInterval = milliseconds(60);
constexpr double tokensPerMs = 40;
/// The costs are processor time in milliseconds.
constexpr double requestCost = 0.125;
constexpr double eventCost = 0.04;
constexpr double refusalCost = 0.08;
constexpr std::size_t maxNewHosts = 2;

double tokensOf(const CustomerLoad &load)
{
    return 1 + load.promptTokens + 0.5 * load.outputTokens;
}

void add(Routing::PeerLoad &sum, const Routing::HostLoad &load)
{
    for (const auto &[server, it] : load.servers) {
        sum.servers[server].running += it.running;
        sum.servers[server].unreadTokens += it.unreadTokens;
    }
    for (const auto &[customer, amount] : load.asked)
        sum.asked[customer] += amount;
    for (const auto &[customer, amount] : load.received)
        sum.received[customer] += amount;
    for (const auto &[customer, amount] : load.begun)
        sum.begun[customer] += amount;
    sum.askedSeconds = std::max(sum.askedSeconds, load.askedSeconds);
}

std::size_t secondsOf(Base::Duration length)
{
    return static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(length).count());
}

} // namespace

FleetModel::FleetModel(const FleetScenario &scenario)
    : m_scenario(scenario)
    , m_fairness(scenario.customers.size(), secondsOf(scenario.length))
    , m_random(scenario.seed)
    , m_hosts(scenario.hosts)
    , m_due(scenario.customers.size())
    , m_listedHosts(static_cast<double>(scenario.listedHosts))
{
    m_engines.resize(scenario.engines);
    m_usableEngines = scenario.engines;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        m_engines[i].id = Base::ServerId("s" + std::to_string(i));
        m_engines[i].slots = 64;
        m_freeAt[m_engines[i].id] = m_now;
    }
    const double configured =
        static_cast<double>(scenario.engines) * tokensPerMs * 1000 * scenario.configuredShare;
    const Routing::ServiceTraits traits{true, 500000, tokensPerMs, configured};
    for (Host &host : m_hosts) {
        host.dispatcher = std::make_unique<Routing::Dispatcher>(traits, Base::ZoneId("z"));
        host.dispatcher->setServers(m_engines);
        host.others.hosts = scenario.hosts;
        host.dispatcher->setPeerLoad(host.others);
        host.admission = std::make_unique<Routing::StreamAdmission>(
            static_cast<Routing::MilliCores>(scenario.processorShare * 1000));
        host.admission->recordIdle(m_now);
    }
}

void FleetModel::run()
{
    Base::TimePoint nextReport = m_now + reportInterval;
    Base::TimePoint nextListing = m_now + listingInterval;
    Base::TimePoint nextAdvance = m_now;
    const double tickSeconds = std::chrono::duration<double>(tick).count();
    for (const Base::TimePoint end = m_now + m_scenario.length; m_now < end; m_now += tick) {
        for (std::size_t i = 0; i < m_scenario.customers.size(); ++i) {
            const CustomerLoad &load = m_scenario.customers[i];
            m_due[i] += load.requestsPerSecond * demandFactor(load) * tickSeconds * 2 * uniform();
            for (; m_due[i] >= 1; m_due[i] -= 1)
                arrive(i, false, m_now);
        }
        while (!m_retries.empty() && m_retries.begin()->first <= m_now) {
            const Request retry = m_retries.begin()->second;
            m_retries.erase(m_retries.begin());
            arrive(retry.customer, true, retry.firstAsked);
        }
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto [host, task] = m_events.begin()->second;
            m_events.erase(m_events.begin());
            m_hosts[host].tasks.push_back(task);
        }
        deliver();
        changeEngines();
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            work(i);
        if (m_now >= nextAdvance) {
            nextAdvance += advanceInterval;
            for (std::size_t i = 0; i < m_hosts.size(); ++i)
                apply(i, m_hosts[i].dispatcher->advance(m_now));
        }
        if (m_now >= nextReport) {
            nextReport += reportInterval;
            report();
        }
        if (m_now >= nextListing) {
            nextListing += listingInterval;
            if (isFlooding())
                m_listedHosts += maxNewHosts;
        }
    }
}

bool FleetModel::isFlooding() const
{
    const Base::Duration at = m_now - m_start;
    return std::any_of(m_scenario.customers.begin(), m_scenario.customers.end(),
                       [at](const CustomerLoad &it) {
                           return it.flood > 1 && at >= it.floodFrom && at < it.floodTo;
                       });
}

double FleetModel::demandFactor(const CustomerLoad &load) const
{
    const Base::Duration at = m_now - m_start;
    if (at < load.floodFrom)
        return 1;
    return at < load.floodTo ? load.flood : load.afterFlood;
}

void FleetModel::changeEngines()
{
    const Base::Duration at = m_now - m_start;
    const bool areDown = at >= m_scenario.downFrom && at < m_scenario.downTo;
    const std::size_t usable = m_engines.size() - (areDown ? m_scenario.enginesDown : 0);
    if (usable == m_usableEngines)
        return;
    m_usableEngines = usable;
    const auto end = m_engines.begin() + static_cast<std::ptrdiff_t>(usable);
    for (Host &host : m_hosts)
        host.dispatcher->setServers({m_engines.begin(), end});
}

std::size_t FleetModel::hostFor(const CustomerLoad &load)
{
    const auto listed = std::min(static_cast<std::size_t>(m_listedHosts), m_hosts.size());
    if (load.hosts == 0)
        return m_random() % listed;
    return (load.firstHost + m_random() % load.hosts) % m_hosts.size();
}

void FleetModel::arrive(std::size_t customer, bool isRetry, Base::TimePoint firstAsked)
{
    const CustomerLoad &load = m_scenario.customers[customer];
    const std::size_t host = hostFor(load);
    const Routing::WorkId id = ++m_lastId;
    m_requests[id] = {customer, host, m_now, firstAsked, isRetry, false};
    m_fairness.recordAsked(customer, tokensOf(load), m_now - m_start);
    m_hosts[host].tasks.push_back({Task::Kind::Request, id, m_now});
}

void FleetModel::work(std::size_t host)
{
    Host &it = m_hosts[host];
    const double perTick =
        m_scenario.processorShare * std::chrono::duration<double, std::milli>(tick).count();
    it.budgetMs = std::min(it.budgetMs + perTick, perTick);
    while (it.budgetMs > 0 && !it.tasks.empty()) {
        const Task task = it.tasks.front();
        it.tasks.pop_front();
        it.budgetMs -= perform(host, task) * m_scenario.slowness;
    }
    if (it.tasks.empty())
        it.admission->recordIdle(m_now);
}

double FleetModel::perform(std::size_t host, const Task &task)
{
    Host &it = m_hosts[host];
    switch (task.kind) {
    case Task::Kind::Request:
        return receive(host, task.id);
    case Task::Kind::FirstEvent:
        it.dispatcher->started(task.id, m_now);
        it.admission->recordEvents(1);
        return eventCost;
    case Task::Kind::Event:
        it.admission->recordEvents(1);
        return eventCost;
    case Task::Kind::End:
        apply(host, it.dispatcher->finished(task.id, Routing::AttemptOutcome::Served, m_now));
        m_requests.erase(task.id);
        return eventCost;
    }
    return 0;
}

double FleetModel::receive(std::size_t host, Routing::WorkId id)
{
    Host &it = m_hosts[host];
    const Request request = m_requests.at(id);
    const CustomerLoad &load = m_scenario.customers[request.customer];
    if (m_now - request.readyAt > callerTimeout) {
        refused(id, Base::Duration::zero());
        return 0;
    }
    Routing::Work work = workOf(id, load);
    if (!it.admission->admitStream(work, m_now)) {
        it.dispatcher->recordRejected(work, m_now);
        refused(id, milliseconds(400));
        return refusalCost;
    }
    const Routing::Decisions decisions = it.dispatcher->submit(std::move(work), m_now);
    apply(host, decisions);
    return decisions.rejected.empty() ? requestCost : refusalCost;
}

Routing::Work FleetModel::workOf(Routing::WorkId id, const CustomerLoad &load) const
{
    Routing::Work work;
    work.id = id;
    work.customer = Base::CustomerId(load.name);
    work.arrivedAt = m_now;
    work.startBy = m_now + target;
    work.deadline = m_now + 8 * target;
    work.promptTokens = load.promptTokens;
    work.outputTokens = load.outputTokens;
    return work;
}

void FleetModel::apply(std::size_t host, const Routing::Decisions &decisions)
{
    for (const Routing::Rejection &it : decisions.rejected) {
        const CustomerLoad &load = m_scenario.customers[m_requests.at(it.work).customer];
        m_hosts[host].admission->refundStream(workOf(it.work, load), m_now);
        refused(it.work, it.retryAfter);
    }
    for (const Routing::Placement &it : decisions.placements) {
        Request &request = m_requests.at(it.work);
        const CustomerLoad &load = m_scenario.customers[request.customer];
        Base::TimePoint &free = m_freeAt[it.server];
        const double readMs = load.promptTokens / tokensPerMs;
        free = std::max(free, m_now)
               + std::chrono::duration_cast<Base::Duration>(
                   std::chrono::duration<double, std::milli>(readMs));
        m_fairness.recordReceived(request.customer, tokensOf(load), free - m_start);
        if (free - request.firstAsked > target)
            m_fairness.recordDelayed(request.customer, free - m_start);
        m_events.insert({free, {host, {Task::Kind::FirstEvent, it.work, free}}});
        Base::TimePoint at = free;
        for (unsigned i = 1; i < load.events; ++i) {
            at += eventInterval;
            m_events.insert({at, {host, {Task::Kind::Event, it.work, at}}});
        }
        m_events.insert({at, {host, {Task::Kind::End, it.work, at}}});
    }
}

void FleetModel::refused(Routing::WorkId id, Base::Duration retryAfter)
{
    const auto it = m_requests.find(id);
    const Request request = it->second;
    m_requests.erase(it);
    m_fairness.recordDelayed(request.customer, m_now - m_start);
    if (!request.isRetry)
        m_retries.insert({m_now + retryAfter + milliseconds(20), request});
}

bool FleetModel::isReportLost(std::size_t host)
{
    const Base::Duration at = m_now - m_start;
    const bool isLate = at >= m_scenario.lateFrom && at < m_scenario.lateTo;
    return uniform() < m_scenario.reportLoss || (isLate && host < m_scenario.lateHosts);
}

void FleetModel::report()
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        Routing::HostLoad load;
        m_hosts[i].dispatcher->report(load, m_now);
        if (!isReportLost(i))
            m_hosts[i].reported = std::move(load);
    }
    for (Host &host : m_hosts) {
        if (uniform() < m_scenario.reportLoss)
            continue;
        Routing::PeerLoad others;
        others.hosts = m_hosts.size();
        for (const Host &from : m_hosts) {
            if (&from != &host)
                add(others, from.reported);
        }
        host.incoming.emplace_back(m_now + reportDelay, std::move(others));
    }
}

void FleetModel::deliver()
{
    for (Host &host : m_hosts) {
        while (!host.incoming.empty() && host.incoming.front().first <= m_now) {
            host.others = std::move(host.incoming.front().second);
            host.incoming.pop_front();
            host.dispatcher->peerLoadChanged();
        }
    }
}
