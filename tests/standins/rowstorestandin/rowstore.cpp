#include "rowstorestandin/rowstore.h"

#include <algorithm>

namespace StandIn {

std::vector<StoredRow> RowStore::rows(const std::string &table, const std::string &part,
                                      const std::string &from) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<StoredRow> found;
    for (const auto &[name, row] : m_rows) {
        if (name.table == table && name.part == part && name.key >= from && !row.isRemoved)
            found.push_back(row);
    }
    return found;
}

std::vector<StoredRow> RowStore::changes(const std::string &table, std::uint64_t version,
                                         std::chrono::milliseconds wait) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return !changedRows(table, version).empty(); });
    return changedRows(table, version);
}

bool RowStore::apply(const std::vector<ExpectedRow> &expected,
                     const std::vector<RowChange> &changes)
{
    const std::lock_guard lock(m_mutex);
    for (const ExpectedRow &it : expected) {
        const auto row = m_rows.find(it.name);
        const bool isPresent = row != m_rows.end() && !row->second.isRemoved;
        if ((isPresent ? row->second.version : 0) != it.version)
            return false;
    }
    ++m_version;
    for (const RowChange &it : changes) {
        m_rows[it.name] = {it.name.table,         it.name.part, it.name.key,
                           it.value.value_or(""), m_version,    !it.value};
    }
    m_changed.notify_all();
    return true;
}

std::uint64_t RowStore::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

std::vector<StoredRow> RowStore::changedRows(const std::string &table, std::uint64_t version) const
{
    std::vector<StoredRow> found;
    for (const auto &[name, row] : m_rows) {
        if (name.table == table && row.version > version)
            found.push_back(row);
    }
    std::sort(found.begin(), found.end(),
              [](const StoredRow &a, const StoredRow &b) { return a.version < b.version; });
    return found;
}

} // namespace StandIn
