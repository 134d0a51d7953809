#pragma once

#include "base/random.h"
#include "base/time.h"
#include "storage/tableservice.h"
#include "support/fakes.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Fakes {

/// Shares, in percent, of the calls that meet each fault, and the longest delay each way.
struct TableFaults
{
    std::uint64_t refused = 0;
    std::uint64_t requestLost = 0;
    std::uint64_t answerLost = 0;
    std::uint64_t doubled = 0;
    Base::Duration longestDelay = std::chrono::milliseconds(5);
};

/// One node's connection to the shared table over a bad network: requests and answers are
/// delayed, lost and doubled. A write may take effect long after its caller gave up.
class FaultyTable final : public Storage::TableService
{
public:
    FaultyTable(Table &table, std::uint64_t seed)
        : m_table(&table)
        , m_random(seed)
    {}

    void read(Storage::OperationId operation, const std::string &key) override
    {
        ++readCalls;
        m_called.push_back({operation, Kind::Read, key, {}, 0, {}});
    }
    void scan(Storage::OperationId operation, const std::string &prefix, const std::string &after,
              std::size_t limit) override
    {
        ++readCalls;
        m_called.push_back({operation, Kind::Scan, prefix, after, limit, {}});
    }
    void transact(Storage::OperationId operation,
                  const std::vector<Storage::TableWrite> &writes) override
    {
        ++writeCalls;
        m_called.push_back({operation, Kind::Transact, {}, {}, 0, writes});
    }

    /// Lets time pass; returns the answers that arrive.
    std::vector<Storage::TableOutcome> step(Base::TimePoint now)
    {
        for (const Request &it : std::exchange(m_called, {}))
            depart(it, now);
        while (!m_underWay.empty() && m_underWay.begin()->first <= now) {
            const Request request = m_underWay.begin()->second;
            m_underWay.erase(m_underWay.begin());
            answer(run(request), now);
        }
        std::vector<Storage::TableOutcome> arrived;
        while (!m_answers.empty() && m_answers.begin()->first <= now) {
            arrived.push_back(m_answers.begin()->second);
            m_answers.erase(m_answers.begin());
        }
        return arrived;
    }

    TableFaults faults;
    std::size_t readCalls = 0;
    std::size_t writeCalls = 0;
    /// Values written, in order, each time they were.
    std::vector<std::string> written;

private:
    enum class Kind { Read, Scan, Transact };
    struct Request
    {
        Storage::OperationId operation = 0;
        Kind kind = Kind::Read;
        std::string key;
        std::string after;
        std::size_t limit = 0;
        std::vector<Storage::TableWrite> writes;
    };

    bool chance(std::uint64_t percent) { return m_random.next() % 100 < percent; }
    Base::Duration delay()
    {
        const auto longest = static_cast<std::uint64_t>(faults.longestDelay.count());
        return Base::Duration(m_random.next() % (longest + 1));
    }

    void depart(const Request &request, Base::TimePoint now)
    {
        if (chance(faults.refused)) {
            answer({request.operation, Storage::TableStatus::NotDone, {}}, now);
            return;
        }
        if (!chance(faults.requestLost))
            m_underWay.emplace(now + delay(), request);
        else if (chance(50))
            answer({request.operation, Storage::TableStatus::Unknown, {}}, now);
    }

    Storage::TableOutcome run(const Request &request)
    {
        if (request.kind == Kind::Read)
            return m_table->read(request.operation, request.key);
        if (request.kind == Kind::Scan)
            return m_table->scan(request.operation, request.key, request.after, request.limit);
        Storage::TableOutcome outcome = m_table->transact(request.operation, request.writes);
        for (const Storage::TableRow &row : outcome.rows)
            written.push_back(row.value);
        return outcome;
    }

    void answer(const Storage::TableOutcome &outcome, Base::TimePoint now)
    {
        if (chance(faults.answerLost))
            return;
        m_answers.emplace(now + delay(), outcome);
        if (chance(faults.doubled))
            m_answers.emplace(now + delay(), outcome);
    }

    Table *m_table;
    Base::SeededRandom m_random;
    std::vector<Request> m_called;
    std::multimap<Base::TimePoint, Request> m_underWay;
    std::multimap<Base::TimePoint, Storage::TableOutcome> m_answers;
};

} // namespace Fakes
