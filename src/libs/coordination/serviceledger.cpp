#include "coordination/serviceledger.h"

#include <algorithm>

namespace Coordination {

namespace {

/// Interval between searches for idle customers and silent starts.
constexpr Base::Duration sweepInterval = std::chrono::seconds(10);
/// A floor that no shard has renewed for this long is no longer sent. Shards call clampDebts()
/// every 50 ms while work waits.
constexpr Base::Duration localFloorTimeout = std::chrono::seconds(1);

} // namespace

Base::Result<ServiceLedger> ServiceLedger::create(const LedgerPolicy &policy,
                                                  const Base::HostId &self,
                                                  Base::Incarnation incarnation,
                                                  const Base::PoolId &pool)
{
    if (policy.maxDebt == 0 || policy.foldedRetention <= policy.foldAfter)
        return boost::leaf::new_error(InvalidLedgerPolicy{});
    return ServiceLedger(policy, LedgerStart{self, incarnation, 0}, pool);
}

ServiceLedger::ServiceLedger(const LedgerPolicy &policy, const LedgerStart &self,
                             const Base::PoolId &pool)
    : m_policy(policy)
    , m_self(self)
    , m_pool(pool)
{}

Base::ServiceUnits ServiceLedger::Account::replicatedPosition() const
{
    const Base::ServiceUnits sum = lifted + settled + chargedRemotely + chargedLocally;
    return sum - std::min(sum, forgiven);
}

Base::ServiceUnits ServiceLedger::Account::position() const
{
    return replicatedPosition() + held;
}

Base::ServiceUnits ServiceLedger::position(const Base::CustomerId &customer) const
{
    const auto it = m_accounts.find(customer);
    return it == m_accounts.end() ? m_highestFloor : it->second.position();
}

void ServiceLedger::charge(const Base::CustomerId &customer, Base::ServiceUnits units)
{
    findOrCreate(customer, m_highestFloor).chargedLocally += units;
    m_changed.insert(customer);
}

void ServiceLedger::hold(const Base::CustomerId &customer, Base::ServiceUnits units)
{
    findOrCreate(customer, m_highestFloor).held += units;
}

void ServiceLedger::releaseHold(const Base::CustomerId &customer, Base::ServiceUnits units)
{
    const auto it = m_accounts.find(customer);
    if (it == m_accounts.end())
        return;
    it->second.held -= std::min(it->second.held, units);
}

void ServiceLedger::becomeBacklogged(const Base::CustomerId &customer,
                                     const std::vector<Base::CustomerId> &backlogged)
{
    const Base::ServiceUnits floor = poolFloor(backlogged, customer);
    Account &account = findOrCreate(customer, floor);
    if (account.position() < floor) {
        account.lifted += floor - account.position();
        m_changed.insert(customer);
    }
    const bool isAlone =
        backlogged.empty() || (backlogged.size() == 1 && backlogged.front() == customer);
    if (!isAlone)
        forgive(customer, floor);
}

void ServiceLedger::clampDebts(const std::vector<Base::CustomerId> &backlogged)
{
    if (backlogged.empty())
        return;
    // Only the floor of the customers that wait here is sent to peers. If the smallest floor known
    // anywhere were sent, peers would report it back and it could never rise again.
    if (const auto here = localFloor(backlogged, Base::CustomerId()))
        recordFloor(*here);
    const Base::ServiceUnits floor = poolFloor(backlogged, Base::CustomerId());
    for (const Base::CustomerId &customer : backlogged)
        forgive(customer, floor);
}

void ServiceLedger::recordFloor(Base::ServiceUnits floor)
{
    m_localFloor = floor;
    m_localFloorAt = m_now;
    m_highestFloor = std::max(m_highestFloor, floor);
}

void ServiceLedger::forgive(const Base::CustomerId &customer, Base::ServiceUnits floor)
{
    const auto it = m_accounts.find(customer);
    if (it == m_accounts.end())
        return;
    const Base::ServiceUnits ceiling = floor + m_policy.maxDebt;
    if (it->second.position() <= ceiling)
        return;
    it->second.forgiven += it->second.position() - ceiling;
    m_changed.insert(customer);
}

std::optional<Base::ServiceUnits>
ServiceLedger::localFloor(const std::vector<Base::CustomerId> &backlogged,
                          const Base::CustomerId &except) const
{
    std::optional<Base::ServiceUnits> floor;
    for (const Base::CustomerId &customer : backlogged) {
        if (customer == except)
            continue;
        const Base::ServiceUnits at = position(customer);
        floor = floor ? std::min(*floor, at) : at;
    }
    return floor;
}

Base::ServiceUnits ServiceLedger::poolFloor(const std::vector<Base::CustomerId> &backlogged,
                                            const Base::CustomerId &except) const
{
    std::optional<Base::ServiceUnits> floor = localFloor(backlogged, except);
    // A customer that waits only at another shard is still backlogged in the pool. Lifting it to
    // the local floor would cancel the service that it is still owed there.
    for (const auto &[start, remote] : m_remoteStarts) {
        if (remote.floor == 0 || m_now - remote.lastHeardAt > m_policy.peerFloorTimeout)
            continue;
        floor = floor ? std::min(*floor, remote.floor) : remote.floor;
    }
    return floor ? *floor : m_highestFloor;
}

ServiceLedger::Account &ServiceLedger::findOrCreate(const Base::CustomerId &customer,
                                                    Base::ServiceUnits initialPosition)
{
    const auto [it, isNew] = m_accounts.try_emplace(customer);
    Account &account = it->second;
    account.usedAt = m_now;
    if (!isNew)
        return account;
    account.lifted = initialPosition;
    // Peers may still know the counters of a dropped entry in its old round. The new round is
    // larger, so that those counters are not added to the new entry.
    account.round =
        m_maxDroppedRound == 0 ? initialPosition : std::max(initialPosition, m_maxDroppedRound + 1);
    if (initialPosition > 0)
        m_changed.insert(customer);
    return account;
}

std::optional<LedgerDelta> ServiceLedger::takeDelta(std::size_t limit)
{
    LedgerDelta delta = makeHeader();
    if (m_isCold && m_now >= m_nextSnapshotRequest) {
        m_nextSnapshotRequest = m_now + m_policy.snapshotRequestInterval;
        delta.isSnapshotRequest = true;
    }
    std::vector<Base::CustomerId> customers = takeChanged(limit);
    if (m_now >= m_nextRefresh) {
        m_nextRefresh = m_now + m_policy.refreshInterval;
        addRefreshEntries(customers);
        delta.isFull = true;
        delta.folded = foldedList();
    }
    for (const Base::CustomerId &customer : customers) {
        Account &account = m_accounts.at(customer);
        account.lastSent = account.chargedLocally;
        delta.entries.push_back(makeEntry(customer, account, delta.isFull));
    }
    if (delta.entries.empty() && !delta.isSnapshotRequest)
        return std::nullopt;
    return delta;
}

std::vector<Base::CustomerId> ServiceLedger::takeChanged(std::size_t limit)
{
    std::vector<Base::CustomerId> customers(m_changed.begin(), m_changed.end());
    if (customers.size() <= limit) {
        m_changed.clear();
        return customers;
    }
    const auto unsent = [this](const Base::CustomerId &customer) {
        const Account &account = m_accounts.at(customer);
        return account.chargedLocally - account.lastSent;
    };
    std::stable_sort(customers.begin(), customers.end(),
                     [&](const Base::CustomerId &a, const Base::CustomerId &b) {
                         return unsent(a) > unsent(b);
                     });
    customers.resize(limit);
    for (const Base::CustomerId &customer : customers)
        m_changed.erase(customer);
    return customers;
}

void ServiceLedger::addRefreshEntries(std::vector<Base::CustomerId> &customers)
{
    const std::set<Base::CustomerId> present(customers.begin(), customers.end());
    std::size_t added = 0;
    for (std::size_t i = 0; i < m_accounts.size() && added < m_policy.refreshEntries; ++i) {
        auto it = m_accounts.upper_bound(m_refreshCursor);
        if (it == m_accounts.end())
            it = m_accounts.begin();
        m_refreshCursor = it->first;
        if (isIdle(it->second) || present.count(it->first) > 0)
            continue;
        customers.push_back(it->first);
        ++added;
    }
}

LedgerDelta ServiceLedger::snapshot() const
{
    LedgerDelta delta = makeHeader();
    delta.isFull = true;
    delta.isSnapshot = !m_isCold;
    delta.folded = foldedList();
    for (const auto &[customer, account] : m_accounts) {
        if (account.position() <= m_highestFloor && isIdle(account))
            continue;
        delta.entries.push_back(makeEntry(customer, account, true));
        std::uint32_t startIndex = 0;
        for (const auto &[origin, remote] : m_remoteStarts) {
            const auto seen = remote.seen.find(customer);
            if (seen != remote.seen.end())
                delta.entries.back().seen.push_back({startIndex, seen->second});
            ++startIndex;
        }
    }
    for (const auto &[origin, remote] : m_remoteStarts)
        delta.starts.push_back(origin);
    return delta;
}

LedgerDelta ServiceLedger::makeHeader() const
{
    LedgerDelta delta;
    delta.sender = m_self.host;
    delta.incarnation = m_self.incarnation;
    delta.epoch = m_self.epoch;
    delta.pool = m_pool;
    if (m_now - m_localFloorAt < localFloorTimeout)
        delta.floor = m_localFloor;
    return delta;
}

LedgerEntry ServiceLedger::makeEntry(const Base::CustomerId &customer, const Account &account,
                                     bool isFull) const
{
    LedgerEntry entry;
    entry.customer = customer;
    entry.charged = account.chargedLocally;
    entry.lifted = account.lifted;
    entry.forgiven = account.forgiven;
    entry.round = account.round;
    if (isFull)
        entry.settled = account.settled;
    return entry;
}

bool ServiceLedger::isIdle(const Account &account) const
{
    return account.held == 0 && m_now - account.usedAt >= m_policy.dropIdleAfter;
}

void ServiceLedger::advance(Base::TimePoint now)
{
    m_now = now;
    if (!m_startedAt)
        m_startedAt = now;
    if (now - *m_startedAt >= m_policy.snapshotRequestTimeout)
        m_isCold = false;
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepInterval;
    foldSilent();
    dropIdle();
}

void ServiceLedger::dropIdle()
{
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        const auto current = it++;
        Account &account = current->second;
        if (!isIdle(account) || account.position() > m_highestFloor)
            continue;
        m_maxDroppedRound = std::max(m_maxDroppedRound, account.round);
        clearCounters(current->first, account);
        m_changed.erase(current->first);
        m_accounts.erase(current);
    }
}

} // namespace Coordination
