#pragma once

#include "base/time.h"
#include "storage/operationids.h"
#include "storage/tableservice.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace Claims {

/// Names a claim within one ClaimBook.
using ClaimId = std::uint64_t;

struct RowWriterPolicy
{
    /// Rows in one transaction.
    std::size_t largestBatch = 32;
    /// Length of the values in one transaction.
    std::size_t largestBatchBytes = std::size_t{128} * 1024;
    /// Transactions under way; what comes meanwhile fills the next one. A second one splits the
    /// rows over two writes where writes are scarce.
    std::size_t largestInFlight = 1;
};

/// What came of one row's write.
struct RowWriteResult
{
    ClaimId claim = 0;
    Storage::TableStatus status = Storage::TableStatus::Unknown;
    /// With Done: the row's new version.
    Storage::RowVersion version = 0;
};

/// Writes rows of several claims in one transaction.
///
/// Answers the load pattern of many claims at one time before a table that bears several
/// hundred writes a second for the whole fleet. Without it each claim, renewal and completion
/// is a write, and the fleet's work is bounded by them. A row leaves at once while the table
/// keeps up; batches grow only while a write is under way or the table's rate is used up, and
/// are closed no sooner than they can leave, so that light load pays no delay.
///
/// A transaction is written whole or not at all, so one row out of date is a conflict for all
/// of them. Each claim then reads its row and writes again if it still may. Halving the batch
/// would take fewer calls for one bad row among 32, but 10 of them writes, of which the table
/// bears a fifth; with 32 bad rows it would take 63 writes.
class RowWriter
{
public:
    RowWriter(const RowWriterPolicy &policy, Storage::TableService &table,
              Storage::OperationIds &operations);

    /// Each call is followed by one result. \a write has an expected version.
    void write(ClaimId claim, Storage::TableWrite write);
    /// Sends what may leave.
    void flush(Base::TimePoint now);
    /// When flush() has something to send.
    Base::TimePoint nextDue() const;
    bool handle(const Storage::TableOutcome &outcome);
    std::vector<RowWriteResult> takeResults() { return std::exchange(m_results, {}); }

private:
    struct PendingWrite
    {
        ClaimId claim = 0;
        Storage::TableWrite write;
    };
    using Batch = std::vector<PendingWrite>;

    Batch nextBatch();
    void finish(const Batch &batch, const Storage::TableOutcome &outcome);

    RowWriterPolicy m_policy;
    Storage::TableService *m_table;
    Storage::OperationIds *m_operations;
    std::deque<PendingWrite> m_queue;
    std::map<Storage::OperationId, Batch> m_inFlight;
    std::vector<RowWriteResult> m_results;
};

} // namespace Claims
