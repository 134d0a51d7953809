#pragma once

#include "storage/tableservice.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace StandIn {

/// A transactional table in memory.
class Table
{
public:
    std::optional<Storage::TableRow> row(const std::string &key) const;
    std::vector<Storage::TableRow> rows(const std::string &prefix, const std::string &after,
                                        std::size_t limit) const;
    /// The rows written; nothing when a version did not match.
    std::optional<std::vector<Storage::TableRow>>
    transact(const std::vector<Storage::TableWrite> &writes);

private:
    bool isMatching(const Storage::TableWrite &write) const;

    mutable std::mutex m_mutex;
    std::map<std::string, Storage::TableRow> m_rows;
    Storage::RowVersion m_lastVersion = 0;
};

} // namespace StandIn
