#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Storage {

/// Identifies one call to the platform; unique within one start of a process.
using OperationId = std::uint64_t;
/// Version of a row, assigned by the table service; every write increases it.
using RowVersion = std::uint64_t;

/// Expected version that requires that the row does not exist.
inline constexpr RowVersion absentRow = 0;

struct TableRow
{
    std::string key;
    std::string value;
    RowVersion version = 0;
};

/// One write of a transaction. Either all writes of a transaction take effect or none does.
struct TableWrite
{
    std::string key;
    /// New value of the row; empty deletes the row.
    std::optional<std::string> value;
    /// Version that the row must have. Empty writes unconditionally; absentRow requires that there
    /// is no row.
    std::optional<RowVersion> expected;
};

enum class TableStatus {
    Done,     ///< The service answered; a transaction was committed.
    Conflict, ///< The service answered that a version did not match; nothing was written.
    NotDone,  ///< The call is known to have had no effect (never sent, refused, breaker open).
    Unknown,  ///< There was no answer; a write may have taken effect.
};

/// The result of one call, with or without an answer of the service.
struct TableOutcome
{
    OperationId operation = 0;
    TableStatus status = TableStatus::Unknown;
    /// The rows that were read or, after a committed transaction, the rows that were written, with
    /// their new versions.
    std::vector<TableRow> rows;
};

/// The platform's transactional table. Calls are asynchronous: each returns at once and is followed
/// by exactly one TableOutcome event with its operation id.
class TableService
{
public:
    virtual ~TableService() = default;

    /// Reads the row \a key.
    virtual void read(OperationId operation, const std::string &key) = 0;
    /// Reads the rows whose key begins with \a prefix and is greater than \a after, in key order,
    /// at most \a limit rows.
    virtual void scan(OperationId operation, const std::string &prefix, const std::string &after,
                      std::size_t limit) = 0;
    /// Commits all \a writes, or none if an expected version does not match.
    virtual void transact(OperationId operation, const std::vector<TableWrite> &writes) = 0;
    /// Returns the time before which a write would only be queued. A caller that batches writes can
    /// keep adding to the batch until then.
    virtual Base::TimePoint nextWriteAt() const { return Base::TimePoint::min(); }
};

} // namespace Storage
