#include "coordination/targetwriter.h"

#include "settings/changecodec.h"

#include <charconv>
#include <utility>

namespace Coordination {

namespace {

using Storage::TableStatus;

/// Returns the version in the head row: 0 if there is no row, nullopt if it is malformed.
std::optional<Settings::ConfigurationVersion> headVersionOf(const Storage::TableOutcome &outcome)
{
    if (outcome.rows.empty())
        return 0;
    const std::string &text = outcome.rows.front().value;
    Settings::ConfigurationVersion version = 0;
    const char *end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, version);
    if (ec != std::errc() || ptr != end)
        return std::nullopt;
    return version;
}

} // namespace

TargetWriter::TargetWriter(const ConfigurationPolicy &policy, Storage::TableService &table,
                           Storage::OperationIds &operations, const std::string &writer)
    : m_policy(policy)
    , m_table(&table)
    , m_operations(&operations)
    , m_writer(writer)
{}

void TargetWriter::write(std::uint64_t handle, const Settings::ClassTarget &target,
                         Settings::ConfigurationVersion seen, const ConfigurationHistory &history,
                         Base::TimePoint now)
{
    if (history.mayHaveChangedAfter(target.name, seen)) {
        m_results.push_back({handle, TargetWriteStatus::LostRace, history.version()});
        return;
    }
    Write write;
    write.handle = handle;
    write.target = target;
    write.seen = seen;
    write.token = m_writer + '-' + std::to_string(++m_lastToken);
    write.deadline = now + m_policy.writeDeadline;
    m_writes.push_back(write);
    startNext();
}

void TargetWriter::startNext()
{
    if (!m_writes.empty() && m_writes.front().stage == Stage::Waiting)
        readHead(m_writes.front());
}

void TargetWriter::advance(Base::TimePoint now)
{
    for (auto it = m_writes.begin(); it != m_writes.end();) {
        if (now < it->deadline) {
            ++it;
            continue;
        }
        const bool isSent = it->isInDoubt || it->stage == Stage::Transact;
        const auto status = isSent ? TargetWriteStatus::Unknown : TargetWriteStatus::Unavailable;
        m_results.push_back({it->handle, status, 0});
        it = m_writes.erase(it);
    }
    startNext();
    if (m_writes.empty())
        return;
    Write &write = m_writes.front();
    if (write.stage == Stage::Pause && now >= write.pausedUntil)
        readBack(write);
}

bool TargetWriter::handle(const Storage::TableOutcome &outcome, ConfigurationHistory &history,
                          Base::TimePoint now)
{
    if (m_writes.empty() || m_writes.front().operation != outcome.operation)
        return false;
    Write &write = m_writes.front();
    switch (write.stage) {
    case Stage::ReadHead:
        handleHead(write, outcome, history);
        break;
    case Stage::CatchUp:
        handleChanges(write, outcome, history, now);
        break;
    case Stage::Transact:
        handleTransaction(write, outcome, history, now);
        break;
    case Stage::ReadBack:
        handleRow(write, outcome, history, now);
        break;
    case Stage::Waiting:
    case Stage::Pause:
        break;
    }
    return true;
}

std::vector<TargetWriteResult> TargetWriter::takeResults()
{
    return std::exchange(m_results, {});
}

void TargetWriter::readHead(Write &write)
{
    write.stage = Stage::ReadHead;
    write.isHeadMoved = false;
    write.operation = m_operations->next();
    m_table->read(write.operation, Settings::headKey);
}

void TargetWriter::handleHead(Write &write, const Storage::TableOutcome &outcome,
                              const ConfigurationHistory &history)
{
    const std::optional<Settings::ConfigurationVersion> version = headVersionOf(outcome);
    if (outcome.status != TableStatus::Done || !version) {
        finishUnreachable(write, history);
        return;
    }
    write.headVersion = *version;
    write.headRow = outcome.rows.empty() ? Storage::absentRow : outcome.rows.front().version;
    catchUp(write, history);
}

void TargetWriter::catchUp(Write &write, const ConfigurationHistory &history)
{
    if (write.headVersion <= history.version()) {
        checkAndTransact(write, history);
        return;
    }
    write.stage = Stage::CatchUp;
    write.operation = m_operations->next();
    m_table->scan(write.operation, Settings::changePrefix, Settings::changeKey(history.version()),
                  m_policy.pollLimit);
}

void TargetWriter::handleChanges(Write &write, const Storage::TableOutcome &outcome,
                                 ConfigurationHistory &history, Base::TimePoint now)
{
    const Settings::ConfigurationVersion before = history.version();
    for (const Storage::TableRow &row : outcome.rows) {
        auto change = Settings::decodeChange(Settings::versionOfKey(row.key), row.value);
        if (change)
            history.apply(*change, ChangeSource::Table, now);
    }
    const bool isStuck = history.version() == before && history.version() < write.headVersion;
    if (outcome.status != TableStatus::Done || isStuck) {
        finishUnreachable(write, history);
        return;
    }
    catchUp(write, history);
}

void TargetWriter::checkAndTransact(Write &write, const ConfigurationHistory &history)
{
    if (history.mayHaveChangedAfter(write.target.name, write.seen)
        || write.seen > history.version()) {
        finish(TargetWriteStatus::LostRace, history.version());
        return;
    }
    if (write.headVersion < history.version()) {
        // Either peers have sent changes while the head was read, which another read resolves, or
        // the table was reset to an older state, which must not be written to.
        if (write.version == history.version() + 1) {
            finishUnreachable(write, history);
            return;
        }
        write.version = history.version() + 1;
        readHead(write);
        return;
    }
    write.version = history.version() + 1;
    transact(write);
}

void TargetWriter::transact(Write &write)
{
    write.stage = Stage::Transact;
    write.operation = m_operations->next();
    const Settings::ConfigurationChange change{write.version, write.target};
    m_table->transact(write.operation,
                      {{Settings::headKey, std::to_string(write.version), write.headRow},
                       {Settings::changeKey(write.version),
                        Settings::encodeChange(change, write.token), Storage::absentRow}});
}

void TargetWriter::handleTransaction(Write &write, const Storage::TableOutcome &outcome,
                                     ConfigurationHistory &history, Base::TimePoint now)
{
    switch (outcome.status) {
    case TableStatus::Done:
        accept(write, history, now);
        return;
    case TableStatus::Conflict:
        // After a lost answer the lost transaction itself may have moved the head.
        write.isHeadMoved = true;
        if (write.isInDoubt)
            readBack(write);
        else
            readHead(write);
        return;
    case TableStatus::NotDone:
        if (write.isInDoubt)
            pause(write, now);
        else
            finish(TargetWriteStatus::Unavailable, history.version());
        return;
    case TableStatus::Unknown:
        write.isInDoubt = true;
        pause(write, now);
        return;
    }
}

void TargetWriter::pause(Write &write, Base::TimePoint now)
{
    write.stage = Stage::Pause;
    write.pausedUntil = now + m_policy.writeRetryInterval;
}

void TargetWriter::readBack(Write &write)
{
    write.stage = Stage::ReadBack;
    write.operation = m_operations->next();
    m_table->read(write.operation, Settings::changeKey(write.version));
}

void TargetWriter::handleRow(Write &write, const Storage::TableOutcome &outcome,
                             ConfigurationHistory &history, Base::TimePoint now)
{
    const bool isMissing = outcome.rows.empty() && write.isHeadMoved;
    if (outcome.status != TableStatus::Done || isMissing) {
        pause(write, now);
        return;
    }
    if (outcome.rows.empty()) {
        transact(write);
        return;
    }
    if (Settings::tokenOf(outcome.rows.front().value) == write.token) {
        accept(write, history, now);
        return;
    }
    // Another writer's change has this version, so the head has moved and the lost transaction
    // can no longer take effect.
    write.isInDoubt = false;
    readHead(write);
}

void TargetWriter::accept(Write &write, ConfigurationHistory &history, Base::TimePoint now)
{
    history.apply({write.version, write.target}, ChangeSource::Table, now);
    finish(TargetWriteStatus::Accepted, write.version);
}

void TargetWriter::finishUnreachable(const Write &write, const ConfigurationHistory &history)
{
    const auto status =
        write.isInDoubt ? TargetWriteStatus::Unknown : TargetWriteStatus::Unavailable;
    finish(status, history.version());
}

void TargetWriter::finish(TargetWriteStatus status, Settings::ConfigurationVersion version)
{
    m_results.push_back({m_writes.front().handle, status, version});
    m_writes.pop_front();
    startNext();
}

} // namespace Coordination
