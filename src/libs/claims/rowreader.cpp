#include "claims/rowreader.h"

namespace Claims {

RowReader::RowReader(std::size_t largestInFlight, Storage::TableService &table,
                     Storage::OperationIds &operations)
    : m_largestInFlight(largestInFlight)
    , m_table(&table)
    , m_operations(&operations)
{}

void RowReader::read(ClaimId claim, const Base::CustomerId &customer, const std::string &key)
{
    m_waiting[customer].push_back({claim, key});
    flush();
}

std::optional<ClaimId> RowReader::handle(const Storage::TableOutcome &outcome)
{
    const auto it = m_inFlight.find(outcome.operation);
    if (it == m_inFlight.end())
        return std::nullopt;
    const ClaimId claim = it->second;
    m_inFlight.erase(it);
    flush();
    return claim;
}

void RowReader::flush()
{
    while (!m_waiting.empty() && m_inFlight.size() < m_largestInFlight) {
        auto next = m_waiting.upper_bound(m_lastCustomer);
        if (next == m_waiting.end())
            next = m_waiting.begin();
        m_lastCustomer = next->first;
        const PendingRead item = next->second.front();
        next->second.pop_front();
        if (next->second.empty())
            m_waiting.erase(next);
        const Storage::OperationId operation = m_operations->next();
        m_inFlight[operation] = item.claim;
        m_table->read(operation, item.key);
    }
}

} // namespace Claims
