#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Storage {

/// Names one call of the platform in flight; unique within one start of a process.
using OperationId = std::uint64_t;
/// A row's version as the table service numbers it; every write makes it larger.
using RowVersion = std::uint64_t;

/// Expected version of a row that must not exist yet.
inline constexpr RowVersion absentRow = 0;

struct TableRow
{
    std::string key;
    std::string value;
    RowVersion version = 0;
};

/// One write of a transaction. All writes of a transaction take effect, or none.
struct TableWrite
{
    std::string key;
    /// Empty deletes the row.
    std::optional<std::string> value;
    /// Empty writes whatever the version is; absentRow demands that there is no row.
    std::optional<RowVersion> expected;
};

enum class TableStatus {
    Done,     ///< The service answered; for a transaction: it was committed.
    Conflict, ///< The service answered: a version did not match, nothing was written.
    NotDone,  ///< It is known that nothing was written (never sent, refused, breaker open).
    Unknown,  ///< No answer; a write may have taken effect.
};

/// The answer to one call, or the knowledge that there is none.
struct TableOutcome
{
    OperationId operation = 0;
    TableStatus status = TableStatus::Unknown;
    /// Rows read; after a committed transaction the rows written, with their versions.
    std::vector<TableRow> rows;
};

/// The platform's transactional table. Calls return at once; each is followed by exactly one
/// TableOutcome event with its operation id.
class TableService
{
public:
    virtual ~TableService() = default;

    virtual void read(OperationId operation, const std::string &key) = 0;
    /// Rows with \a prefix whose key is greater than \a after, in key order, at most \a limit.
    virtual void scan(OperationId operation, const std::string &prefix, const std::string &after,
                      std::size_t limit) = 0;
    virtual void transact(OperationId operation, const std::vector<TableWrite> &writes) = 0;
    /// Before it, a write would only wait here: a caller that gathers rows goes on gathering.
    virtual Base::TimePoint nextWriteAt() const { return Base::TimePoint::min(); }
};

} // namespace Storage
