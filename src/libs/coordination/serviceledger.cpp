#include "coordination/serviceledger.h"

#include <algorithm>

namespace Coordination {

namespace {

/// Idle customers and silent starts are looked for this often.
constexpr Base::Duration sweepInterval = std::chrono::seconds(10);
/// Shards call clampDebts() every 50 ms while work waits.
constexpr Base::Duration floorShownFor = std::chrono::seconds(1);

} // namespace

Base::Result<ServiceLedger> ServiceLedger::create(const LedgerPolicy &policy,
                                                  const Base::HostId &self,
                                                  Base::Incarnation incarnation,
                                                  const Base::PoolId &pool)
{
    if (policy.largestDebt == 0 || policy.foldedLife <= policy.foldAfter)
        return boost::leaf::new_error(InvalidLedgerPolicy{});
    return ServiceLedger(policy, LedgerStart{self, incarnation, 0}, pool);
}

ServiceLedger::ServiceLedger(const LedgerPolicy &policy, const LedgerStart &self,
                             const Base::PoolId &pool)
    : m_policy(policy)
    , m_self(self)
    , m_pool(pool)
{}

Base::ServiceUnits ServiceLedger::Account::shared() const
{
    const Base::ServiceUnits sum = lifted + settled + elsewhere + chargedHere;
    return sum - std::min(sum, forgiven);
}

Base::ServiceUnits ServiceLedger::Account::position() const
{
    return shared() + held;
}

Base::ServiceUnits ServiceLedger::position(const Base::CustomerId &customer) const
{
    const auto it = m_accounts.find(customer);
    return it == m_accounts.end() ? m_lastFloor : it->second.position();
}

void ServiceLedger::charge(const Base::CustomerId &customer, Base::ServiceUnits units)
{
    use(customer, m_lastFloor).chargedHere += units;
    m_changed.insert(customer);
}

void ServiceLedger::hold(const Base::CustomerId &customer, Base::ServiceUnits units)
{
    use(customer, m_lastFloor).held += units;
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
    const Base::ServiceUnits floor = floorAmong(backlogged, customer);
    Account &account = use(customer, floor);
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
    // Peers are told the floor of those that wait here. Told the least that is known anywhere,
    // they would tell it back, and a floor once low would never rise again.
    if (const auto here = floorHere(backlogged, Base::CustomerId()))
        noteFloor(*here);
    const Base::ServiceUnits floor = floorAmong(backlogged, Base::CustomerId());
    for (const Base::CustomerId &customer : backlogged)
        forgive(customer, floor);
}

void ServiceLedger::noteFloor(Base::ServiceUnits floor)
{
    m_floorNow = floor;
    m_floorAt = m_now;
    m_lastFloor = std::max(m_lastFloor, floor);
}

void ServiceLedger::forgive(const Base::CustomerId &customer, Base::ServiceUnits floor)
{
    const auto it = m_accounts.find(customer);
    if (it == m_accounts.end())
        return;
    const Base::ServiceUnits largest = floor + m_policy.largestDebt;
    if (it->second.position() <= largest)
        return;
    it->second.forgiven += it->second.position() - largest;
    m_changed.insert(customer);
}

std::optional<Base::ServiceUnits>
ServiceLedger::floorHere(const std::vector<Base::CustomerId> &backlogged,
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

Base::ServiceUnits ServiceLedger::floorAmong(const std::vector<Base::CustomerId> &backlogged,
                                             const Base::CustomerId &except) const
{
    std::optional<Base::ServiceUnits> floor = floorHere(backlogged, except);
    // A customer that waits at another shard only has not left the pool: lifted to the floor
    // here, it would lose what it is behind there.
    for (const auto &[start, source] : m_sources) {
        if (source.floor == 0 || m_now - source.heardAt > m_policy.floorLife)
            continue;
        floor = floor ? std::min(*floor, source.floor) : source.floor;
    }
    return floor ? *floor : m_lastFloor;
}

ServiceLedger::Account &ServiceLedger::use(const Base::CustomerId &customer,
                                           Base::ServiceUnits level)
{
    const auto [it, isNew] = m_accounts.try_emplace(customer);
    Account &account = it->second;
    account.usedAt = m_now;
    if (!isNew)
        return account;
    account.lifted = level;
    // Counters of a dropped entry are still known to the peers in its old round; the new round
    // is larger, so theirs are not taken for this one's.
    account.round = m_droppedRound == 0 ? level : std::max(level, m_droppedRound + 1);
    if (level > 0)
        m_changed.insert(customer);
    return account;
}

std::optional<LedgerDelta> ServiceLedger::takeDelta(std::size_t limit)
{
    LedgerDelta delta = header();
    if (m_isCold && m_now >= m_nextAsk) {
        m_nextAsk = m_now + m_policy.askInterval;
        delta.isSnapshotRequest = true;
    }
    std::vector<Base::CustomerId> customers = takeChanged(limit);
    if (m_now >= m_nextRefresh) {
        m_nextRefresh = m_now + m_policy.refreshInterval;
        addRefreshed(customers);
        delta.isFull = true;
        delta.folded = foldedList();
    }
    for (const Base::CustomerId &customer : customers) {
        Account &account = m_accounts.at(customer);
        account.sent = account.chargedHere;
        delta.entries.push_back(entryOf(customer, account, delta.isFull));
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
        return account.chargedHere - account.sent;
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

void ServiceLedger::addRefreshed(std::vector<Base::CustomerId> &customers)
{
    const std::set<Base::CustomerId> present(customers.begin(), customers.end());
    std::size_t added = 0;
    for (std::size_t i = 0; i < m_accounts.size() && added < m_policy.refreshEntries; ++i) {
        auto it = m_accounts.upper_bound(m_refreshedTo);
        if (it == m_accounts.end())
            it = m_accounts.begin();
        m_refreshedTo = it->first;
        if (isIdle(it->second) || present.count(it->first) > 0)
            continue;
        customers.push_back(it->first);
        ++added;
    }
}

LedgerDelta ServiceLedger::snapshot() const
{
    LedgerDelta delta = header();
    delta.isFull = true;
    delta.isSnapshot = !m_isCold;
    delta.folded = foldedList();
    for (const auto &[customer, account] : m_accounts) {
        if (account.position() <= m_lastFloor && isIdle(account))
            continue;
        delta.entries.push_back(entryOf(customer, account, true));
        std::uint32_t start = 0;
        for (const auto &[origin, source] : m_sources) {
            const auto seen = source.seen.find(customer);
            if (seen != source.seen.end())
                delta.entries.back().seen.push_back({start, seen->second});
            ++start;
        }
    }
    for (const auto &[origin, source] : m_sources)
        delta.starts.push_back(origin);
    return delta;
}

LedgerDelta ServiceLedger::header() const
{
    LedgerDelta delta;
    delta.sender = m_self.host;
    delta.incarnation = m_self.incarnation;
    delta.epoch = m_self.epoch;
    delta.pool = m_pool;
    if (m_now - m_floorAt < floorShownFor)
        delta.floor = m_floorNow;
    return delta;
}

LedgerEntry ServiceLedger::entryOf(const Base::CustomerId &customer, const Account &account,
                                   bool isFull) const
{
    LedgerEntry entry;
    entry.customer = customer;
    entry.charged = account.chargedHere;
    entry.lifted = account.lifted;
    entry.forgiven = account.forgiven;
    entry.round = account.round;
    if (isFull)
        entry.settled = account.settled;
    return entry;
}

bool ServiceLedger::isIdle(const Account &account) const
{
    return account.held == 0 && m_now - account.usedAt >= m_policy.idleAfter;
}

void ServiceLedger::advance(Base::TimePoint now)
{
    m_now = now;
    if (!m_startedAt)
        m_startedAt = now;
    if (now - *m_startedAt >= m_policy.askFor)
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
        if (!isIdle(account) || account.position() > m_lastFloor)
            continue;
        m_droppedRound = std::max(m_droppedRound, account.round);
        clearCounters(current->first, account);
        m_changed.erase(current->first);
        m_accounts.erase(current);
    }
}

} // namespace Coordination
