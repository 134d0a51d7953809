#pragma once

#include "storage/tableservice.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace StandIn {

/// A transactional table in memory. Thread-safe.
class Table
{
public:
    /// The row \a key; std::nullopt if there is none.
    std::optional<Storage::TableRow> row(const std::string &key) const;
    /// At most \a limit rows whose key starts with \a prefix and follows \a after, in key order.
    std::vector<Storage::TableRow> rows(const std::string &prefix, const std::string &after,
                                        std::size_t limit) const;
    /// Applies all \a writes and returns the written rows; applies none and returns std::nullopt if
    /// the version of a row does not match.
    std::optional<std::vector<Storage::TableRow>>
    transact(const std::vector<Storage::TableWrite> &writes);

private:
    bool matchesVersion(const Storage::TableWrite &write) const;

    mutable std::mutex m_mutex;
    std::map<std::string, Storage::TableRow> m_rows;
    Storage::RowVersion m_lastVersion = 0;
};

} // namespace StandIn
