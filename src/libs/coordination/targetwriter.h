#pragma once

#include "base/time.h"
#include "coordination/configurationhistory.h"
#include "coordination/configurationpolicy.h"
#include "settings/configuration.h"
#include "storage/operationids.h"
#include "storage/tableservice.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Coordination {

/// What a write of a target came to.
enum class TargetWriteStatus {
    Accepted,
    LostRace,    ///< The class changed after the version that the operator had seen.
    Unavailable, ///< Known not to be written.
    Unknown,     ///< The answer was lost and could not be read back; it may yet be written.
};

struct TargetWriteResult
{
    /// Handle that the caller of writeTarget() gave.
    std::uint64_t handle = 0;
    TargetWriteStatus status = TargetWriteStatus::Unavailable;
    Settings::ConfigurationVersion version = 0;
};

/// Brings operators' targets into the table, one at a time: read the head, catch up, check that
/// the class is as the operator saw it, then move the head and add the change's row in one
/// transaction that demands that the head has not moved.
///
/// Failures it stops: two operators race (the transaction of the later one meets a moved head;
/// it is tried again if the other wrote another class, and is a lost race if it wrote the same);
/// an answer is lost after the write took effect (the row of that version is read back and
/// known again by the token in it). An absent row proves nothing, since the write may still be
/// on its way; so the very same transaction is sent again. Both demand the same version of the
/// head, hence at most one of them takes effect.
class TargetWriter
{
public:
    TargetWriter(const ConfigurationPolicy &policy, Storage::TableService &table,
                 Storage::OperationIds &operations, const std::string &writer);

    void write(std::uint64_t handle, const Settings::ClassTarget &target,
               Settings::ConfigurationVersion seen, const KnownChanges &known, Base::TimePoint now);
    void advance(Base::TimePoint now);
    /// Whether the outcome was an answer to this part's call.
    bool handle(const Storage::TableOutcome &outcome, KnownChanges &known, Base::TimePoint now);
    std::vector<TargetWriteResult> takeResults();

private:
    enum class Stage { Waiting, ReadHead, CatchUp, Transact, ReadBack, Pause };

    struct Write
    {
        std::uint64_t handle = 0;
        Settings::ClassTarget target;
        Settings::ConfigurationVersion seen = 0;
        std::string token;
        Base::TimePoint deadline;
        Stage stage = Stage::Waiting;
        Storage::OperationId operation = 0;
        /// Version and head row of the transaction sent last.
        Settings::ConfigurationVersion version = 0;
        Storage::RowVersion headRow = Storage::absentRow;
        Settings::ConfigurationVersion headVersion = 0;
        /// A transaction was sent whose outcome is not known.
        bool isInDoubt = false;
        /// While in doubt: the head has moved, so the row of this version must be there.
        bool isHeadMoved = false;
        Base::TimePoint pausedUntil;
    };

    void startNext();
    void readHead(Write &write);
    void catchUp(Write &write, const KnownChanges &known);
    void transact(Write &write);
    void readBack(Write &write);
    void pause(Write &write, Base::TimePoint now);
    void tryWrite(Write &write, const KnownChanges &known);
    void tookHead(Write &write, const Storage::TableOutcome &outcome, const KnownChanges &known);
    void tookChanges(Write &write, const Storage::TableOutcome &outcome, KnownChanges &known,
                     Base::TimePoint now);
    void tookTransaction(Write &write, const Storage::TableOutcome &outcome, KnownChanges &known,
                         Base::TimePoint now);
    void tookRow(Write &write, const Storage::TableOutcome &outcome, KnownChanges &known,
                 Base::TimePoint now);
    void accept(Write &write, KnownChanges &known, Base::TimePoint now);
    void finish(TargetWriteStatus status, Settings::ConfigurationVersion version);
    void finishUnreached(const Write &write, const KnownChanges &known);

    ConfigurationPolicy m_policy;
    Storage::TableService *m_table;
    Storage::OperationIds *m_operations;
    std::string m_writer;
    std::uint64_t m_lastToken = 0;
    /// The first is under way.
    std::deque<Write> m_writes;
    std::vector<TargetWriteResult> m_results;
};

} // namespace Coordination
