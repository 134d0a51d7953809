#include "claims/claimsweeper.h"

#include "claims/claimrow.h"

namespace Claims {

Base::Result<ClaimSweeper> ClaimSweeper::create(const SweepPolicy &policy,
                                                Storage::TableService &table,
                                                Storage::OperationIds &operations)
{
    if (policy.limit == 0 || policy.stepInterval <= Base::Duration::zero())
        return boost::leaf::new_error(UnusableSweepPolicy{});
    return ClaimSweeper(policy, table, operations);
}

ClaimSweeper::ClaimSweeper(const SweepPolicy &policy, Storage::TableService &table,
                           Storage::OperationIds &operations)
    : m_policy(policy)
    , m_table(&table)
    , m_operations(&operations)
{}

void ClaimSweeper::advance(Base::TimePoint now, Base::WallTime wallNow, bool isElected)
{
    if (now < m_nextStep || m_scan || m_deletion)
        return;
    m_nextStep = now + m_policy.stepInterval;
    if (!isElected) {
        m_lastKey.clear();
        return;
    }
    m_scannedAt = wallNow;
    m_scan = m_operations->next();
    m_table->scan(*m_scan, claimPrefix, m_lastKey, m_policy.limit);
}

bool ClaimSweeper::handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    if (m_deletion == outcome.operation) {
        m_deletion.reset();
        return true;
    }
    if (m_scan != outcome.operation)
        return false;
    m_scan.reset();
    if (outcome.status != Storage::TableStatus::Done)
        return true; // The step is repeated.
    sweep(outcome.rows);
    endStep(outcome.rows, now);
    return true;
}

void ClaimSweeper::sweep(const std::vector<Storage::TableRow> &rows)
{
    const auto margin = std::chrono::duration_cast<Base::WallTime::duration>(m_policy.clockSkew);
    std::vector<Storage::TableWrite> deletions;
    m_counts.read += rows.size();
    for (const Storage::TableRow &it : rows) {
        const Base::Result<ClaimRow> row = decodeClaim(it.value);
        if (!row) {
            ++m_counts.unreadable;
            continue;
        }
        if (row->retainUntil + margin < m_scannedAt)
            deletions.push_back({it.key, std::nullopt, it.version});
    }
    if (deletions.empty())
        return;
    m_counts.expired += deletions.size();
    m_deletion = m_operations->next();
    m_table->transact(*m_deletion, deletions);
}

void ClaimSweeper::endStep(const std::vector<Storage::TableRow> &rows, Base::TimePoint now)
{
    if (rows.size() >= m_policy.limit) {
        m_lastKey = rows.back().key;
        return;
    }
    m_lastKey.clear();
    m_nextStep = now + m_policy.passInterval;
    ++m_counts.passes;
}

} // namespace Claims
