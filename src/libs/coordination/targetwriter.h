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

/// Result of writing a target.
enum class TargetWriteStatus {
    Accepted,
    LostRace,    ///< The class changed after the version that the operator had seen.
    Unavailable, ///< The target was certainly not written.
    Unknown,     ///< The answer was lost and could not be read back; the target may be written.
};

struct TargetWriteResult
{
    /// The handle that was passed to writeTarget().
    std::uint64_t handle = 0;
    TargetWriteStatus status = TargetWriteStatus::Unavailable;
    /// Version of the change if accepted, otherwise the version known here; 0 after a timeout.
    Settings::ConfigurationVersion version = 0;
};

/// Writes operators' targets to the table, one at a time. A write reads the head row (the newest
/// version), catches up with it and checks that the class has not changed since the operator read
/// it. One transaction then increments the head and adds the row of the change, on condition that
/// the head row is unchanged.
///
/// - If two operators race, the later transaction fails because the head has moved. It is retried
///   if the other operator wrote another class, and is a lost race if it wrote the same class.
/// - If an answer is lost, the row of that version is read back; the token in it tells whose write
///   it is. A missing row proves nothing, because the write may still be on its way, so the same
///   transaction is sent again. At most one of the two takes effect, because both require the
///   same version of the head row.
class TargetWriter
{
public:
    TargetWriter(const ConfigurationPolicy &policy, Storage::TableService &table,
                 Storage::OperationIds &operations, const std::string &writer);

    /// Queues a write; fails it at once if the class may have changed after version \a seen.
    void write(std::uint64_t handle, const Settings::ClassTarget &target,
               Settings::ConfigurationVersion seen, const ConfigurationHistory &history,
               Base::TimePoint now);
    /// Ends writes whose deadline has passed and resumes a paused one.
    void advance(Base::TimePoint now);
    /// Processes the outcome of a call. Returns whether the call was one of the current write's.
    bool handle(const Storage::TableOutcome &outcome, ConfigurationHistory &history,
                Base::TimePoint now);
    /// Returns the results of finished writes and removes them.
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
        /// Version that the last transaction writes.
        Settings::ConfigurationVersion version = 0;
        /// Row version of the head, which the transaction requires to be unchanged.
        Storage::RowVersion headRow = Storage::absentRow;
        /// Configuration version in the head.
        Settings::ConfigurationVersion headVersion = 0;
        /// Whether the outcome of a sent transaction is unknown.
        bool isInDoubt = false;
        /// Whether the head has moved since it was read. While in doubt this implies that the row
        /// of this version exists.
        bool isHeadMoved = false;
        Base::TimePoint pausedUntil;
    };

    void startNext();
    void readHead(Write &write);
    void catchUp(Write &write, const ConfigurationHistory &history);
    void transact(Write &write);
    void readBack(Write &write);
    void pause(Write &write, Base::TimePoint now);
    /// Sends the transaction if the class is unchanged and the head is as known here.
    void checkAndTransact(Write &write, const ConfigurationHistory &history);
    void handleHead(Write &write, const Storage::TableOutcome &outcome,
                    const ConfigurationHistory &history);
    void handleChanges(Write &write, const Storage::TableOutcome &outcome,
                       ConfigurationHistory &history, Base::TimePoint now);
    void handleTransaction(Write &write, const Storage::TableOutcome &outcome,
                           ConfigurationHistory &history, Base::TimePoint now);
    void handleRow(Write &write, const Storage::TableOutcome &outcome,
                   ConfigurationHistory &history, Base::TimePoint now);
    void accept(Write &write, ConfigurationHistory &history, Base::TimePoint now);
    void finish(TargetWriteStatus status, Settings::ConfigurationVersion version);
    /// Ends the write because the table gave no usable answer; the result is Unknown if the write
    /// is in doubt and Unavailable otherwise.
    void finishUnreachable(const Write &write, const ConfigurationHistory &history);

    ConfigurationPolicy m_policy;
    Storage::TableService *m_table;
    Storage::OperationIds *m_operations;
    std::string m_writer;
    std::uint64_t m_lastToken = 0;
    /// Queue of writes; the first one is in progress.
    std::deque<Write> m_writes;
    std::vector<TargetWriteResult> m_results;
};

} // namespace Coordination
