#include "claims/rowwriter.h"

#include <algorithm>
#include <set>
#include <string>

namespace Claims {

using Storage::TableStatus;

RowWriter::RowWriter(const RowWriterPolicy &policy, Storage::TableService &table,
                     Storage::OperationIds &operations)
    : m_policy(policy)
    , m_table(&table)
    , m_operations(&operations)
{}

void RowWriter::write(ClaimId claim, Storage::TableWrite write)
{
    m_queue.push_back({claim, std::move(write)});
}

void RowWriter::flush(Base::TimePoint now)
{
    while (m_inFlight.size() < m_policy.largestInFlight && now >= m_table->nextWriteAt()) {
        Batch batch = nextBatch();
        if (batch.empty())
            return;
        std::vector<Storage::TableWrite> writes;
        for (const PendingWrite &it : batch)
            writes.push_back(it.write);
        const Storage::OperationId operation = m_operations->next();
        m_inFlight[operation] = std::move(batch);
        m_table->transact(operation, writes);
    }
}

Base::TimePoint RowWriter::nextDue() const
{
    if (m_queue.empty() || m_inFlight.size() >= m_policy.largestInFlight)
        return Base::TimePoint::max();
    return m_table->nextWriteAt();
}

bool RowWriter::handle(const Storage::TableOutcome &outcome)
{
    const auto it = m_inFlight.find(outcome.operation);
    if (it == m_inFlight.end())
        return false;
    const Batch batch = std::move(it->second);
    m_inFlight.erase(it);
    finish(batch, outcome);
    return true;
}

RowWriter::Batch RowWriter::nextBatch()
{
    Batch batch;
    std::set<std::string> keys;
    std::size_t bytes = 0;
    while (!m_queue.empty() && batch.size() < m_policy.largestBatch) {
        PendingWrite &next = m_queue.front();
        bytes += next.write.value ? next.write.value->size() : 0;
        const bool isFull = !batch.empty() && bytes > m_policy.largestBatchBytes;
        // Two writes of one key in one transaction would always fail both.
        if (isFull || !keys.insert(next.write.key).second)
            break;
        batch.push_back(std::move(next));
        m_queue.pop_front();
    }
    return batch;
}

void RowWriter::finish(const Batch &batch, const Storage::TableOutcome &outcome)
{
    std::map<std::string, Storage::RowVersion> versions;
    for (const Storage::TableRow &row : outcome.rows)
        versions[row.key] = row.version;
    for (const PendingWrite &it : batch) {
        RowWriteResult result{it.claim, outcome.status, 0};
        const auto version = versions.find(it.write.key);
        if (version != versions.end())
            result.version = version->second;
        else if (outcome.status == TableStatus::Done)
            // The answer lacks the row's version, so the row must be read.
            result.status = TableStatus::Unknown;
        m_results.push_back(result);
    }
}

} // namespace Claims
