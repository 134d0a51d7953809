#pragma once

#include "platform/tableservice.h"

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
    std::optional<Platform::TableRow> row(const std::string &key) const;
    std::vector<Platform::TableRow> rows(const std::string &prefix, const std::string &after,
                                         std::size_t limit) const;
    /// The rows written; nothing when a version did not match.
    std::optional<std::vector<Platform::TableRow>>
    transact(const std::vector<Platform::TableWrite> &writes);

private:
    bool isMatching(const Platform::TableWrite &write) const;

    mutable std::mutex m_mutex;
    std::map<std::string, Platform::TableRow> m_rows;
    Platform::RowVersion m_lastVersion = 0;
};

} // namespace StandIn
