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

struct SweepPolicy
{
    /// Rows read, and at most deleted, in one step.
    std::size_t limit = 500;
    /// Between steps of a pass: 4 reads and at most 4 writes a second for the whole fleet.
    Base::Duration stepInterval = std::chrono::milliseconds(250);
    /// Between passes.
    Base::Duration passInterval = std::chrono::minutes(5);
    /// By how much the calendar clocks of two hosts may differ.
    Base::Duration clockSkew = std::chrono::minutes(1);
};

/// A policy under which the sweep would not move.
struct UnusableSweepPolicy
{};

struct SweepCounts
{
    std::uint64_t read = 0;
    /// Asked to be deleted; a conflict or a lost answer leaves some for the next pass.
    std::uint64_t expired = 0;
    std::uint64_t unreadable = 0;
    std::uint64_t passes = 0;
};

/// Deletes claim rows whose retention is over, in passes of bounded steps by one router.
///
/// Answers the load pattern of a table that grows by every claim: without it the rows of years
/// are kept. Unbounded, one pass would take the table's whole rate from the claims themselves.
/// Two routers that both think they are elected do no harm: each deletion demands the version
/// that was read. A row that can't be read is left, since it may stand for work that ran.
class ClaimSweeper
{
public:
    /// Fails with UnusableSweepPolicy. The references outlive the object.
    static Base::Result<ClaimSweeper> create(const SweepPolicy &policy,
                                             Storage::TableService &table,
                                             Storage::OperationIds &operations);

    /// \a isElected: this router is the one that sweeps now.
    void advance(Base::TimePoint now, Base::WallTime wallNow, bool isElected);
    Base::TimePoint nextDue() const
    {
        return m_scan || m_deletion ? Base::TimePoint::max() : m_nextStep;
    }
    /// Returns whether \a outcome is of a call that this object made.
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
    /// Last key read in this pass.
    std::string m_lastKey;
    Base::TimePoint m_nextStep{};
    /// By calendar time, when the scan under way left.
    Base::WallTime m_scannedAt{};
    SweepCounts m_counts;
};

} // namespace Claims
