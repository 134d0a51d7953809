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

struct StoredRow
{
    std::string table;
    std::string part;
    std::string key;
    /// In base 64, as it came.
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
};

struct RowName
{
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const RowName &) const = default;
};

/// One entry of a transaction; an empty value removes the row.
struct RowChange
{
    RowName name;
    std::optional<std::string> value;
};

struct ExpectedRow
{
    RowName name;
    std::uint64_t version = 0;
};

/// Rows with one version counter for all of them, and waits for changes.
class RowStore
{
public:
    std::vector<StoredRow> rows(const std::string &table, const std::string &part,
                                const std::string &from) const;
    /// Waits for a change of \a table after \a version, for \a wait at most.
    std::vector<StoredRow> changes(const std::string &table, std::uint64_t version,
                                   std::chrono::milliseconds wait) const;
    /// False if an expected version does not match; nothing is changed then.
    bool apply(const std::vector<ExpectedRow> &expected, const std::vector<RowChange> &changes);
    std::uint64_t version() const;

private:
    std::vector<StoredRow> changed(const std::string &table, std::uint64_t version) const;

    mutable std::mutex m_mutex;
    mutable std::condition_variable m_isChanged;
    std::map<RowName, StoredRow> m_rows;
    std::uint64_t m_version = 0;
};

} // namespace StandIn
