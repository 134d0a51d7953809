#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace StandIn {

/// A row, or the mark that it was removed.
struct StoredRow
{
    std::string table;
    std::string part;
    std::string key;
    /// Base64 text, stored as it was received.
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
};

/// Identifies a row.
struct RowName
{
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const RowName &) const = default;
};

/// One change of a transaction. Without a value it removes the row.
struct RowChange
{
    RowName name;
    std::optional<std::string> value;
};

/// The version that a row must have for a transaction to apply; 0 means that there is no such row.
struct ExpectedRow
{
    RowName name;
    std::uint64_t version = 0;
};

/// Rows in memory that share one version counter. Readers can wait for changes. Thread-safe.
class RowStore
{
public:
    /// The rows of \a table and \a part whose key is \a from or follows it.
    std::vector<StoredRow> rows(const std::string &table, const std::string &part,
                                const std::string &from) const;
    /// Waits, for \a wait at most, until \a table has changed since \a version. Returns the changed
    /// and the removed rows in the order of their versions.
    std::vector<StoredRow> changes(const std::string &table, std::uint64_t version,
                                   std::chrono::milliseconds wait) const;
    /// Applies all \a changes under one new version. Returns false and changes nothing if an
    /// expected version does not match.
    bool apply(const std::vector<ExpectedRow> &expected, const std::vector<RowChange> &changes);
    /// Version of the latest transaction.
    std::uint64_t version() const;

private:
    std::vector<StoredRow> changedRows(const std::string &table, std::uint64_t version) const;

    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::map<RowName, StoredRow> m_rows;
    std::uint64_t m_version = 0;
};

} // namespace StandIn
