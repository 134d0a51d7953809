#pragma once

#include "base/time.h"
#include "storage/tableservice.h"
#include "virtualfleet/eventqueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace VirtualFleet {

/// The platform's table service that all routers of a virtual fleet share.
class VirtualTable
{
public:
    enum class Mode {
        Working,
        Down,        ///< Refuses every call with NotDone.
        LosesAnswers ///< Does the work, but the caller gets Unknown.
    };

    void setMode(Mode mode) { m_mode = mode; }
    Mode mode() const { return m_mode; }

    Storage::TableOutcome read(Storage::OperationId operation, const std::string &key);
    Storage::TableOutcome scan(Storage::OperationId operation, const std::string &prefix,
                               const std::string &after, std::size_t limit);
    Storage::TableOutcome transact(Storage::OperationId operation,
                                   const std::vector<Storage::TableWrite> &writes);

    std::uint64_t reads() const { return m_reads; }
    std::uint64_t writes() const { return m_writes; }

private:
    /// Returns whether every row that \a writes expects has the expected version.
    bool versionsMatch(const std::vector<Storage::TableWrite> &writes) const;
    /// Returns the outcome that the caller gets in the current mode.
    Storage::TableOutcome applyMode(Storage::TableOutcome outcome) const;

    std::map<std::string, Storage::TableRow> m_rows;
    Storage::RowVersion m_lastVersion = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    Mode m_mode = Mode::Working;
};

/// One router's connection to the table. A call and its outcome each take the latency.
class TableLink final : public Storage::TableService
{
public:
    using Deliver = std::function<void(const Storage::TableOutcome &)>;

    TableLink(EventQueue &queue, VirtualTable &table, Base::Duration latency, Deliver deliver);

    void read(Storage::OperationId operation, const std::string &key) override;
    void scan(Storage::OperationId operation, const std::string &prefix, const std::string &after,
              std::size_t limit) override;
    void transact(Storage::OperationId operation,
                  const std::vector<Storage::TableWrite> &writes) override;

private:
    template <typename Call>
    void run(Call call);

    EventQueue *m_queue;
    VirtualTable *m_table;
    Base::Duration m_latency;
    Deliver m_deliver;
};

} // namespace VirtualFleet
