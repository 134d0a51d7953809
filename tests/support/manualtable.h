#pragma once

#include "support/fakes.h"

#include <functional>
#include <vector>

namespace Fakes {

/// What happens to one call of the table.
enum class Fate {
    Answered,
    Refused,           ///< NotDone.
    LostBefore,        ///< Unknown; it never takes effect.
    LostAfter,         ///< Unknown, though it took effect.
    LostAndLate,       ///< Unknown, and it takes effect later (flushLate()).
    AnsweredFromBefore ///< A read answers with what it saw when it was sent.
};

/// One node's connection to the shared table; the test decides order and fate of every call.
class ManualTable final : public Storage::TableService
{
public:
    explicit ManualTable(Table &table)
        : m_table(&table)
    {}

    void read(Storage::OperationId operation, const std::string &key) override
    {
        add(operation, false, [this, operation, key] { return m_table->read(operation, key); });
    }
    void scan(Storage::OperationId operation, const std::string &prefix, const std::string &after,
              std::size_t limit) override
    {
        add(operation, false, [this, operation, prefix, after, limit] {
            return m_table->scan(operation, prefix, after, limit);
        });
    }
    void transact(Storage::OperationId operation,
                  const std::vector<Storage::TableWrite> &writes) override
    {
        add(operation, true,
            [this, operation, writes] { return m_table->transact(operation, writes); });
    }

    std::size_t waiting() const { return m_calls.size(); }

    /// Ends the call at position \a at and returns its outcome.
    Storage::TableOutcome end(std::size_t at, Fate fate)
    {
        Call call = m_calls[at];
        m_calls.erase(m_calls.begin() + static_cast<long>(at));
        Storage::TableOutcome lost{call.operation, Storage::TableStatus::Unknown, {}};
        switch (fate) {
        case Fate::Answered:
            return call.run();
        case Fate::Refused:
            return {call.operation, Storage::TableStatus::NotDone, {}};
        case Fate::LostBefore:
            return lost;
        case Fate::LostAfter:
            call.run();
            return lost;
        case Fate::LostAndLate:
            m_late.push_back(call.run);
            return lost;
        case Fate::AnsweredFromBefore:
            return call.isWrite ? call.run() : call.seenAtSending;
        }
        return lost;
    }

    /// Lets the call take effect now; its answer still waits.
    void land(std::size_t at)
    {
        m_calls[at].run = [outcome = m_calls[at].run()]() mutable { return outcome; };
    }

    void flushLate()
    {
        for (const auto &run : m_late)
            run();
        m_late.clear();
    }

private:
    struct Call
    {
        Storage::OperationId operation = 0;
        bool isWrite = false;
        std::function<Storage::TableOutcome()> run;
        Storage::TableOutcome seenAtSending;
    };

    void add(Storage::OperationId operation, bool isWrite,
             const std::function<Storage::TableOutcome()> &run)
    {
        m_calls.push_back({operation, isWrite, run, isWrite ? Storage::TableOutcome() : run()});
    }

    Table *m_table;
    std::vector<Call> m_calls;
    std::vector<std::function<Storage::TableOutcome()>> m_late;
};

} // namespace Fakes
