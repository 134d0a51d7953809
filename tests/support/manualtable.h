#pragma once

#include "support/fakes.h"

#include <functional>
#include <vector>

namespace Fakes {

/// How one call of the table completes.
enum class Completion {
    Answered,    ///< The call takes effect and returns its result.
    Refused,     ///< The call returns NotDone and never takes effect.
    RequestLost, ///< The call returns Unknown and never takes effect.
    AnswerLost,  ///< The call returns Unknown although it takes effect.
    AppliedLate, ///< The call returns Unknown and takes effect in applyLate().
    StaleRead    ///< A read returns the rows as they were when it was sent.
};

/// One node's connection to the shared table. The test decides when each call completes, in which
/// order and how.
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

    /// Number of calls that have not completed.
    std::size_t waiting() const { return m_calls.size(); }

    /// Completes the call at position \a at in the order of sending, and returns its outcome.
    Storage::TableOutcome end(std::size_t at, Completion completion)
    {
        Call call = m_calls[at];
        m_calls.erase(m_calls.begin() + static_cast<long>(at));
        Storage::TableOutcome lost{call.operation, Storage::TableStatus::Unknown, {}};
        switch (completion) {
        case Completion::Answered:
            return call.run();
        case Completion::Refused:
            return {call.operation, Storage::TableStatus::NotDone, {}};
        case Completion::RequestLost:
            return lost;
        case Completion::AnswerLost:
            call.run();
            return lost;
        case Completion::AppliedLate:
            m_late.push_back(call.run);
            return lost;
        case Completion::StaleRead:
            return call.isWrite ? call.run() : call.outcomeAtSending;
        }
        return lost;
    }

    /// Applies the call at position \a at; its outcome is returned later by end().
    void applyNow(std::size_t at)
    {
        m_calls[at].run = [outcome = m_calls[at].run()]() mutable { return outcome; };
    }

    /// Applies every call that completed with AppliedLate.
    void applyLate()
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
        Storage::TableOutcome outcomeAtSending; ///< Of a read only.
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
