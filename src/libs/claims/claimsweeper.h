#pragma once

#include "base/result.h"
#include "base/time.h"
#include "storage/operationids.h"
#include "storage/tableservice.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Claims {

/// Batch size and intervals of ClaimSweeper.
struct SweepPolicy
{
    /// Maximum number of rows that one step reads, and may then delete.
    std::size_t limit = 500;
    /// Interval between the steps of a pass. 250 ms amount to 4 reads and at most 4 writes a
    /// second for the whole fleet.
    Base::Duration stepInterval = std::chrono::milliseconds(250);
    /// Interval between passes.
    Base::Duration passInterval = std::chrono::minutes(5);
    /// Largest difference between the calendar clocks of two hosts.
    Base::Duration clockSkew = std::chrono::minutes(1);
};

/// Error of ClaimSweeper::create(): the sweep would make no progress under the policy.
struct UnusableSweepPolicy
{};

/// Counters of ClaimSweeper since its start.
struct SweepCounts
{
    /// Rows read.
    std::uint64_t read = 0;
    /// Expired rows whose deletion was requested. After a conflict or a lost answer some of them
    /// may remain for the next pass.
    std::uint64_t expired = 0;
    /// Rows that could not be parsed; they are kept.
    std::uint64_t unreadable = 0;
    /// Completed passes over all rows.
    std::uint64_t passes = 0;
};

/// Deletes claim rows whose retention has ended. One elected router sweeps, in passes of limited
/// steps.
///
/// Every claim adds a row to the table, and without the sweeper they would accumulate for years.
/// Without the limits, one pass would use up the table's whole rate, which the claims need. Two
/// routers that both consider themselves elected do no harm, since each deletion expects the
/// version that was read. A row that cannot be parsed is kept, since it may stand for work that
/// ran.
class ClaimSweeper
{
public:
    /// Fails with UnusableSweepPolicy. The references must outlive the object.
    static Base::Result<ClaimSweeper> create(const SweepPolicy &policy,
                                             Storage::TableService &table,
                                             Storage::OperationIds &operations);

    /// Starts the next step if it is due. \a isElected tells whether this router sweeps now; if
    /// not, the pass starts over.
    void advance(Base::TimePoint now, Base::WallTime wallNow, bool isElected);
    /// Returns when the next step is due; never while a call is in flight.
    Base::TimePoint nextDue() const
    {
        return m_scan || m_deletion ? Base::TimePoint::max() : m_nextStep;
    }
    /// Returns whether \a outcome belongs to a call of this object.
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);
    const SweepCounts &counts() const { return m_counts; }

private:
    ClaimSweeper(const SweepPolicy &policy, Storage::TableService &table,
                 Storage::OperationIds &operations);
    void sweep(const std::vector<Storage::TableRow> &rows);
    void endStep(const std::vector<Storage::TableRow> &rows, Base::TimePoint now);

    SweepPolicy m_policy;
    Storage::TableService *m_table;
    Storage::OperationIds *m_operations;
    std::optional<Storage::OperationId> m_scan;
    std::optional<Storage::OperationId> m_deletion;
    /// The last key that this pass has read; empty at its start.
    std::string m_lastKey;
    Base::TimePoint m_nextStep{};
    /// Calendar time when the current scan was sent.
    Base::WallTime m_scannedAt{};
    SweepCounts m_counts;
};

} // namespace Claims
