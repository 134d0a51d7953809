#include "virtualfleet/virtualtable.h"

#include <algorithm>
#include <utility>

namespace VirtualFleet {

using Storage::TableOutcome;
using Storage::TableStatus;

TableOutcome VirtualTable::read(Storage::OperationId operation, const std::string &key)
{
    if (m_mode == Mode::Down)
        return {operation, TableStatus::NotDone, {}};
    ++m_reads;
    TableOutcome outcome{operation, TableStatus::Done, {}};
    const auto it = m_rows.find(key);
    if (it != m_rows.end())
        outcome.rows.push_back(it->second);
    return applyMode(outcome);
}

TableOutcome VirtualTable::scan(Storage::OperationId operation, const std::string &prefix,
                                const std::string &after, std::size_t limit)
{
    if (m_mode == Mode::Down)
        return {operation, TableStatus::NotDone, {}};
    ++m_reads;
    TableOutcome outcome{operation, TableStatus::Done, {}};
    for (auto it = m_rows.upper_bound(std::max(prefix, after)); it != m_rows.end(); ++it) {
        if (it->first.rfind(prefix, 0) != 0 || outcome.rows.size() == limit)
            break;
        outcome.rows.push_back(it->second);
    }
    return applyMode(outcome);
}

TableOutcome VirtualTable::transact(Storage::OperationId operation,
                                    const std::vector<Storage::TableWrite> &writes)
{
    if (m_mode == Mode::Down)
        return {operation, TableStatus::NotDone, {}};
    ++m_writes;
    if (!versionsMatch(writes))
        return applyMode({operation, TableStatus::Conflict, {}});
    TableOutcome outcome{operation, TableStatus::Done, {}};
    for (const Storage::TableWrite &write : writes) {
        if (!write.value) {
            m_rows.erase(write.key);
            continue;
        }
        const Storage::TableRow row{write.key, *write.value, ++m_lastVersion};
        m_rows[write.key] = row;
        outcome.rows.push_back(row);
    }
    return applyMode(outcome);
}

bool VirtualTable::versionsMatch(const std::vector<Storage::TableWrite> &writes) const
{
    return std::all_of(writes.begin(), writes.end(), [&](const Storage::TableWrite &write) {
        const auto it = m_rows.find(write.key);
        const Storage::RowVersion version = it == m_rows.end() ? 0 : it->second.version;
        return !write.expected || *write.expected == version;
    });
}

TableOutcome VirtualTable::applyMode(TableOutcome outcome) const
{
    if (m_mode != Mode::LosesAnswers)
        return outcome;
    outcome.status = TableStatus::Unknown;
    outcome.rows.clear();
    return outcome;
}

TableLink::TableLink(EventQueue &queue, VirtualTable &table, Base::Duration latency,
                     Deliver deliver)
    : m_queue(&queue)
    , m_table(&table)
    , m_latency(latency)
    , m_deliver(std::move(deliver))
{}

template <typename Call>
void TableLink::run(Call call)
{
    // A write that was sent takes effect even if the router that sent it is killed meanwhile.
    m_queue->after(m_latency, [queue = m_queue, table = m_table, latency = m_latency,
                               deliver = m_deliver, call] {
        const TableOutcome outcome = call(*table);
        queue->after(latency, [deliver, outcome] { deliver(outcome); });
    });
}

void TableLink::read(Storage::OperationId operation, const std::string &key)
{
    run([operation, key](VirtualTable &table) { return table.read(operation, key); });
}

void TableLink::scan(Storage::OperationId operation, const std::string &prefix,
                     const std::string &after, std::size_t limit)
{
    run([=](VirtualTable &table) { return table.scan(operation, prefix, after, limit); });
}

void TableLink::transact(Storage::OperationId operation,
                         const std::vector<Storage::TableWrite> &writes)
{
    run([=](VirtualTable &table) { return table.transact(operation, writes); });
}

} // namespace VirtualFleet
