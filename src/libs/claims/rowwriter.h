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

/// Identifies a claim within one ClaimRegistry.
using ClaimId = std::uint64_t;

/// Limits of RowWriter.
struct RowWriterPolicy
{
    /// Maximum number of rows in one transaction.
    std::size_t largestBatch = 32;
    /// Maximum total size of the values in one transaction, in bytes. A single larger value still
    /// gets a transaction of its own.
    std::size_t largestBatchBytes = std::size_t{128} * 1024;
    /// Maximum number of transactions in flight. Rows that arrive meanwhile are gathered for the
    /// next one. A second transaction would split the rows over two writes, and writes are scarce.
    std::size_t largestInFlight = 1;
};

/// The result of one row's write.
struct RowWriteResult
{
    ClaimId claim = 0;
    Storage::TableStatus status = Storage::TableStatus::Unknown;
    /// The row's new version; only set with Done.
    Storage::RowVersion version = 0;
};

/// Writes the rows of several claims in one transaction.
///
/// Batching handles many concurrent claims on a table that takes only several hundred writes a
/// second from the whole fleet. Without it, each claim, renewal and completion would be a write of
/// its own, and the writes would limit the throughput of the fleet. A row is sent at once while
/// the table keeps up. Batches grow only while a write is in flight or the table's rate is used
/// up, and a batch is closed only when it can be sent, so that light load has no extra delay.
///
/// A transaction is atomic, so one row with an outdated version is a conflict for all its rows.
/// Each claim then reads its row and writes it again if it still may. Bisecting the batch would
/// take fewer calls for one conflicting row among 32, but 10 of them would be writes, of which the
/// table takes only a fifth as many as reads; for 32 conflicting rows it would take 63 writes.
class RowWriter
{
public:
    RowWriter(const RowWriterPolicy &policy, Storage::TableService &table,
              Storage::OperationIds &operations);

    /// Queues a write; one result follows for each call. \a write must have an expected version.
    void write(ClaimId claim, Storage::TableWrite write);
    /// Sends as many batches as the limits allow at \a now.
    void flush(Base::TimePoint now);
    /// Returns when flush() has something to send.
    Base::TimePoint nextDue() const;
    /// Returns whether \a outcome belongs to a transaction of this object.
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
