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

/// The faults of a FaultyTable. Shares are percentages of the calls.
struct TableFaults
{
    /// Calls that are answered with NotDone and never take effect.
    std::uint64_t refused = 0;
    /// Calls that never take effect; half of them are answered with Unknown, the others not at all.
    std::uint64_t requestLost = 0;
    std::uint64_t answerLost = 0;
    /// Answers that arrive twice.
    std::uint64_t duplicated = 0;
    /// Longest delay of a request, and of an answer.
    Base::Duration longestDelay = std::chrono::milliseconds(5);
};

/// One node's connection to the shared table over an unreliable network: requests and answers are
/// delayed and lost, answers are also duplicated. A write may take effect long after its caller
/// gave up.
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
        m_newRequests.push_back({operation, Kind::Read, key, {}, 0, {}});
    }
    void scan(Storage::OperationId operation, const std::string &prefix, const std::string &after,
              std::size_t limit) override
    {
        ++readCalls;
        m_newRequests.push_back({operation, Kind::Scan, prefix, after, limit, {}});
    }
    void transact(Storage::OperationId operation,
                  const std::vector<Storage::TableWrite> &writes) override
    {
        ++writeCalls;
        m_newRequests.push_back({operation, Kind::Transact, {}, {}, 0, writes});
    }

    /// Advances the time to \a now; returns the answers that have arrived by then.
    std::vector<Storage::TableOutcome> step(Base::TimePoint now)
    {
        for (const Request &it : std::exchange(m_newRequests, {}))
            dispatch(it, now);
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= now) {
            const Request request = m_inFlight.begin()->second;
            m_inFlight.erase(m_inFlight.begin());
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
    /// The written values in the order of their writes; a value written twice is listed twice.
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

    void dispatch(const Request &request, Base::TimePoint now)
    {
        if (chance(faults.refused)) {
            answer({request.operation, Storage::TableStatus::NotDone, {}}, now);
            return;
        }
        if (!chance(faults.requestLost))
            m_inFlight.emplace(now + delay(), request);
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
        if (chance(faults.duplicated))
            m_answers.emplace(now + delay(), outcome);
    }

    Table *m_table;
    Base::SeededRandom m_random;
    std::vector<Request> m_newRequests;
    std::multimap<Base::TimePoint, Request> m_inFlight;
    std::multimap<Base::TimePoint, Storage::TableOutcome> m_answers;
};

} // namespace Fakes
