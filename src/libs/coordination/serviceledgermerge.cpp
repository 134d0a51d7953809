// What a ServiceLedger takes from other routers, and when it closes their counters.

#include "coordination/serviceledger.h"

#include <algorithm>

namespace Coordination {

MergeResult ServiceLedger::merge(const LedgerDelta &delta)
{
    const LedgerStart sender{delta.sender, delta.incarnation, delta.epoch};
    if (delta.pool != m_pool || sender == m_self)
        return MergeResult::Taken;
    // Even of a sender that is folded here: after a long partition both sides have folded each
    // other, and only this list shows either that it must begin a new epoch.
    takeFolded(delta.folded);
    const bool isSenderFolded = isFolded(sender);
    if (!isSenderFolded) {
        Source &source = m_sources[sender];
        source.heardAt = m_now;
        source.floor = delta.floor;
    }
    m_lastFloor = std::max(m_lastFloor, delta.floor);
    // What a folded sender has charged is not taken (see()), all else it says only grows.
    for (const LedgerEntry &entry : delta.entries)
        mergeEntry(delta, entry, sender);
    foldSuperseded();
    if (delta.isSnapshot)
        m_isCold = false;
    return isSenderFolded ? MergeResult::SenderIsFolded : MergeResult::Taken;
}

void ServiceLedger::mergeEntry(const LedgerDelta &delta, const LedgerEntry &entry,
                               const LedgerStart &sender)
{
    Account *account = accountFor(entry);
    if (!account)
        return;
    account->lifted = std::max(account->lifted, entry.lifted);
    account->forgiven = std::max(account->forgiven, entry.forgiven);
    // Both sums are lower bounds of what the folded starts charged, and takeFolded() has made
    // both cover the same starts.
    if (delta.isFull)
        account->settled = std::max(account->settled, entry.settled);
    see(sender, entry.customer, *account, entry.charged);
    for (const SeenCharge &seen : entry.seen) {
        if (seen.start < delta.starts.size())
            see(delta.starts[seen.start], entry.customer, *account, seen.charged);
    }
}

ServiceLedger::Account *ServiceLedger::accountFor(const LedgerEntry &entry)
{
    const auto [it, isNew] = m_accounts.try_emplace(entry.customer);
    Account &account = it->second;
    if (isNew) {
        account.usedAt = m_now;
        account.round = entry.round;
        if (m_droppedRound == 0 || entry.round > m_droppedRound)
            return &account;
        // Perhaps dropped here: the peers may know counters of ours in this round.
        account.round = m_droppedRound + 1;
        const Base::ServiceUnits sum = entry.lifted + entry.settled + entry.charged;
        account.lifted = sum - std::min(sum, entry.forgiven);
        m_changed.insert(entry.customer);
        return nullptr;
    }
    if (entry.round < account.round) {
        // The sender has missed the newer round; the next delta tells it.
        m_changed.insert(entry.customer);
        return nullptr;
    }
    if (entry.round > account.round)
        enterRound(entry.customer, account, entry.round, entry.lifted);
    return &account;
}

void ServiceLedger::enterRound(const Base::CustomerId &customer, Account &account,
                               std::uint64_t round, Base::ServiceUnits lifted)
{
    // Who began the round may not have known the customer; a debt known here must outlive it.
    const Base::ServiceUnits reached = account.shared();
    clearCounters(customer, account);
    account.round = round;
    account.lifted = std::max(lifted, reached);
    if (reached > lifted)
        m_changed.insert(customer);
}

void ServiceLedger::clearCounters(const Base::CustomerId &customer, Account &account)
{
    account.forgiven = 0;
    account.settled = 0;
    account.elsewhere = 0;
    account.chargedHere = 0;
    account.sent = 0;
    for (auto &[start, source] : m_sources)
        source.seen.erase(customer);
}

void ServiceLedger::see(const LedgerStart &start, const Base::CustomerId &customer,
                        Account &account, Base::ServiceUnits charged)
{
    if (start == m_self || charged == 0 || isFolded(start))
        return;
    const auto [it, isNew] = m_sources.try_emplace(start);
    if (isNew)
        it->second.heardAt = m_now;
    Base::ServiceUnits &seen = it->second.seen[customer];
    if (charged <= seen)
        return;
    account.elsewhere += charged - seen;
    account.usedAt = m_now;
    seen = charged;
}

bool ServiceLedger::isFolded(const LedgerStart &start) const
{
    const auto it = m_folded.find(start.host);
    return it != m_folded.end() && start <= it->second.start;
}

void ServiceLedger::fold(const LedgerStart &start, Base::TimePoint at)
{
    const auto known = m_folded.find(start.host);
    if (known == m_folded.end())
        m_folded.emplace(start.host, Fold{start, at});
    else if (known->second.start < start)
        known->second = {start, at};
    auto it = m_sources.lower_bound(LedgerStart{start.host, 0, 0});
    while (it != m_sources.end() && it->first <= start) {
        for (const auto &[customer, charged] : it->second.seen) {
            Account &account = m_accounts.at(customer);
            account.elsewhere -= charged;
            account.settled += charged;
        }
        it = m_sources.erase(it);
    }
}

void ServiceLedger::foldSuperseded()
{
    std::vector<LedgerStart> superseded;
    for (auto it = m_sources.begin(); it != m_sources.end(); ++it) {
        const auto next = std::next(it);
        const bool isOwn = it->first.host == m_self.host && it->first < m_self;
        if (isOwn || (next != m_sources.end() && next->first.host == it->first.host))
            superseded.push_back(it->first);
    }
    for (const LedgerStart &start : superseded)
        fold(start, m_now);
}

void ServiceLedger::foldSilent()
{
    std::vector<LedgerStart> silent;
    for (const auto &[start, source] : m_sources) {
        if (m_now - source.heardAt >= m_policy.foldAfter)
            silent.push_back(start);
    }
    for (const LedgerStart &start : silent)
        fold(start, m_now);
    std::erase_if(m_folded, [this](const auto &known) {
        return m_now - known.second.at >= m_policy.foldedLife;
    });
}

void ServiceLedger::takeFolded(const std::vector<FoldedStart> &folded)
{
    for (const FoldedStart &known : folded) {
        if (isFolded(known.start))
            continue;
        if (known.start.host == m_self.host && known.start >= m_self)
            beginEpochAfter(known.start);
        // The age travels along, so that peers do not keep it alive by telling each other.
        fold(known.start, m_now - known.age);
    }
}

void ServiceLedger::beginEpochAfter(const LedgerStart &folded)
{
    for (auto &[customer, account] : m_accounts) {
        account.settled += account.chargedHere;
        account.chargedHere = 0;
        account.sent = 0;
    }
    m_self.epoch = folded.epoch + 1;
}

std::vector<FoldedStart> ServiceLedger::foldedList() const
{
    std::vector<FoldedStart> list;
    for (const auto &[host, known] : m_folded) {
        const auto age = std::chrono::duration_cast<std::chrono::seconds>(m_now - known.at);
        list.push_back({known.start, age});
    }
    return list;
}

} // namespace Coordination
