#include "platformstandin/table.h"

#include <algorithm>

namespace StandIn {

using Storage::TableRow;
using Storage::TableWrite;

std::optional<TableRow> Table::row(const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_rows.find(key);
    if (it == m_rows.end())
        return std::nullopt;
    return it->second;
}

std::vector<TableRow> Table::rows(const std::string &prefix, const std::string &after,
                                  std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<TableRow> found;
    const bool isResumed = after >= prefix;
    auto it = isResumed ? m_rows.upper_bound(after) : m_rows.lower_bound(prefix);
    for (; it != m_rows.end() && found.size() < limit; ++it) {
        if (it->first.rfind(prefix, 0) != 0)
            break;
        found.push_back(it->second);
    }
    return found;
}

std::optional<std::vector<TableRow>> Table::transact(const std::vector<TableWrite> &writes)
{
    const std::lock_guard lock(m_mutex);
    const bool areAllMatching = std::all_of(
        writes.begin(), writes.end(), [this](const TableWrite &it) { return matchesVersion(it); });
    if (!areAllMatching)
        return std::nullopt;
    std::vector<TableRow> written;
    for (const TableWrite &write : writes) {
        if (!write.value) {
            m_rows.erase(write.key);
            continue;
        }
        const TableRow row{write.key, *write.value, ++m_lastVersion};
        m_rows[write.key] = row;
        written.push_back(row);
    }
    return written;
}

bool Table::matchesVersion(const TableWrite &write) const
{
    if (!write.expected)
        return true;
    const auto it = m_rows.find(write.key);
    const Storage::RowVersion version =
        it == m_rows.end() ? Storage::absentRow : it->second.version;
    return version == *write.expected;
}

} // namespace StandIn
