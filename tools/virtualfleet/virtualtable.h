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

/// The platform's table service as all routers of a virtual fleet reach it.
class VirtualTable
{
public:
    enum class Mode {
        Working,
        Down,        ///< Refuses: NotDone.
        LosesAnswers ///< Does the work; the caller learns Unknown.
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
    bool matches(const std::vector<Storage::TableWrite> &writes) const;
    Storage::TableOutcome answer(Storage::TableOutcome outcome) const;

    std::map<std::string, Storage::TableRow> m_rows;
    Storage::RowVersion m_last = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    Mode m_mode = Mode::Working;
};

/// One router's way to the table.
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
