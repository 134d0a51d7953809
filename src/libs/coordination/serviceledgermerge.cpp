// The part of ServiceLedger that merges other routers' deltas and folds their counters.

#include "coordination/serviceledger.h"

#include <algorithm>

namespace Coordination {

MergeResult ServiceLedger::merge(const LedgerDelta &delta)
{
    const LedgerStart sender{delta.sender, delta.incarnation, delta.epoch};
    if (delta.pool != m_pool || sender == m_self)
        return MergeResult::Applied;
    // The folded list is applied even if the sender itself is folded here: after a long partition
    // both sides have folded each other, and only this list tells each that it must begin a new
    // epoch.
    applyFolded(delta.folded);
    const bool isSenderFolded = isFolded(sender);
    if (!isSenderFolded) {
        RemoteStart &remote = m_remoteStarts[sender];
        remote.lastHeardAt = m_now;
        remote.floor = delta.floor;
    }
    m_highestFloor = std::max(m_highestFloor, delta.floor);
    // recordRemoteCharge() ignores the charges of a folded sender. All its other numbers may be
    // merged, because they only grow.
    for (const LedgerEntry &entry : delta.entries)
        mergeEntry(delta, entry, sender);
    foldSuperseded();
    if (delta.isSnapshot)
        m_isCold = false;
    return isSenderFolded ? MergeResult::SenderIsFolded : MergeResult::Applied;
}

void ServiceLedger::mergeEntry(const LedgerDelta &delta, const LedgerEntry &entry,
                               const LedgerStart &sender)
{
    Account *account = accountInRound(entry);
    if (!account)
        return;
    account->lifted = std::max(account->lifted, entry.lifted);
    account->forgiven = std::max(account->forgiven, entry.forgiven);
    // Both sums are lower bounds of the folded starts' charges, and applyFolded() has made both
    // cover the same starts, so the larger one is closer to the true sum.
    if (delta.isFull)
        account->settled = std::max(account->settled, entry.settled);
    recordRemoteCharge(sender, entry.customer, *account, entry.charged);
    for (const SeenCharge &seen : entry.seen) {
        if (seen.start < delta.starts.size())
            recordRemoteCharge(delta.starts[seen.start], entry.customer, *account, seen.charged);
    }
}

ServiceLedger::Account *ServiceLedger::accountInRound(const LedgerEntry &entry)
{
    const auto [it, isNew] = m_accounts.try_emplace(entry.customer);
    Account &account = it->second;
    if (isNew) {
        account.usedAt = m_now;
        account.round = entry.round;
        if (m_maxDroppedRound == 0 || entry.round > m_maxDroppedRound)
            return &account;
        // The entry may have been dropped here, in which case peers still know this router's
        // counters in that round. The customer enters a new round instead.
        account.round = m_maxDroppedRound + 1;
        const Base::ServiceUnits sum = entry.lifted + entry.settled + entry.charged;
        account.lifted = sum - std::min(sum, entry.forgiven);
        m_changed.insert(entry.customer);
        return nullptr;
    }
    if (entry.round < account.round) {
        // The sender does not know the newer round yet; the next delta contains it.
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
    // The router that began the round may not have known the customer, so the new round must
    // not start below the position known here.
    const Base::ServiceUnits oldPosition = account.replicatedPosition();
    clearCounters(customer, account);
    account.round = round;
    account.lifted = std::max(lifted, oldPosition);
    if (oldPosition > lifted)
        m_changed.insert(customer);
}

void ServiceLedger::clearCounters(const Base::CustomerId &customer, Account &account)
{
    account.forgiven = 0;
    account.settled = 0;
    account.chargedRemotely = 0;
    account.chargedLocally = 0;
    account.lastSent = 0;
    for (auto &[start, remote] : m_remoteStarts)
        remote.seen.erase(customer);
}

void ServiceLedger::recordRemoteCharge(const LedgerStart &start, const Base::CustomerId &customer,
                                       Account &account, Base::ServiceUnits charged)
{
    if (start == m_self || charged == 0 || isFolded(start))
        return;
    const auto [it, isNew] = m_remoteStarts.try_emplace(start);
    if (isNew)
        it->second.lastHeardAt = m_now;
    Base::ServiceUnits &seen = it->second.seen[customer];
    if (charged <= seen)
        return;
    account.chargedRemotely += charged - seen;
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
        m_folded.emplace(start.host, FoldRecord{start, at});
    else if (known->second.start < start)
        known->second = {start, at};
    auto it = m_remoteStarts.lower_bound(LedgerStart{start.host, 0, 0});
    while (it != m_remoteStarts.end() && it->first <= start) {
        for (const auto &[customer, charged] : it->second.seen) {
            Account &account = m_accounts.at(customer);
            account.chargedRemotely -= charged;
            account.settled += charged;
        }
        it = m_remoteStarts.erase(it);
    }
}

void ServiceLedger::foldSuperseded()
{
    std::vector<LedgerStart> superseded;
    for (auto it = m_remoteStarts.begin(); it != m_remoteStarts.end(); ++it) {
        const auto next = std::next(it);
        const bool isOwn = it->first.host == m_self.host && it->first < m_self;
        if (isOwn || (next != m_remoteStarts.end() && next->first.host == it->first.host))
            superseded.push_back(it->first);
    }
    for (const LedgerStart &start : superseded)
        fold(start, m_now);
}

void ServiceLedger::foldSilent()
{
    std::vector<LedgerStart> silent;
    for (const auto &[start, remote] : m_remoteStarts) {
        if (m_now - remote.lastHeardAt >= m_policy.foldAfter)
            silent.push_back(start);
    }
    for (const LedgerStart &start : silent)
        fold(start, m_now);
    std::erase_if(m_folded, [this](const auto &known) {
        return m_now - known.second.foldedAt >= m_policy.foldedRetention;
    });
}

void ServiceLedger::applyFolded(const std::vector<FoldedStart> &folded)
{
    for (const FoldedStart &known : folded) {
        if (isFolded(known.start))
            continue;
        if (known.start.host == m_self.host && known.start >= m_self)
            beginEpochAfter(known.start);
        // The age is part of the message, so that routers do not renew a fold for each other
        // and it expires.
        fold(known.start, m_now - known.age);
    }
}

void ServiceLedger::beginEpochAfter(const LedgerStart &folded)
{
    for (auto &[customer, account] : m_accounts) {
        account.settled += account.chargedLocally;
        account.chargedLocally = 0;
        account.lastSent = 0;
    }
    m_self.epoch = folded.epoch + 1;
}

std::vector<FoldedStart> ServiceLedger::foldedList() const
{
    std::vector<FoldedStart> list;
    for (const auto &[host, known] : m_folded) {
        const auto age = std::chrono::duration_cast<std::chrono::seconds>(m_now - known.foldedAt);
        list.push_back({known.start, age});
    }
    return list;
}

} // namespace Coordination
