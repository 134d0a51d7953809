#pragma once

#include "base/result.h"
#include "storage/callqueue.h"
#include "storage/tableservice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Storage {

/// Limits of the calls to the table.
struct TableGatewayPolicy
{
    CallQueuePolicy reads;
    CallQueuePolicy writes;
    /// Rate limits of the whole fleet, in calls per second. The table handles several hundred
    /// writes and about 2,000 reads per second; a quarter is reserved for operators and other
    /// clients.
    double fleetReadsPerSecond = 1500;
    double fleetWritesPerSecond = 300;
};

/// Error: the policy lets no call through.
struct UnusableGatewayPolicy
{};

/// Wraps the client of the platform's table with timeouts, bounded retries, a circuit breaker, a
/// limit on calls in flight and this router's share of the fleet's rate limits.
///
/// Each call is followed by exactly one outcome in takeOutcomes(). Done and Conflict are answers of
/// the table. A write ends as NotDone only if nothing was and nothing will be written: it was never
/// sent, or the wrapped service reported NotDone. A write that was sent and not answered ends as
/// Unknown. A failed read ends as NotDone.
///
/// Calls are sent by the next advance(), which the owner calls at the end of each turn of its event
/// loop.
class TableGateway final : public TableService
{
public:
    /// Fails with UnusableGatewayPolicy. \a service and \a random must outlive the gateway.
    static Base::Result<std::unique_ptr<TableGateway>>
    create(const TableGatewayPolicy &policy, TableService &service, Base::RandomSource &random);

    void read(OperationId operation, const std::string &key) override;
    void scan(OperationId operation, const std::string &prefix, const std::string &after,
              std::size_t limit) override;
    void transact(OperationId operation, const std::vector<TableWrite> &writes) override;
    Base::TimePoint nextWriteAt() const override { return m_writes.readyAt(); }

    /// Sets the number of live routers that share the rate limits, including this one.
    void setFleetSize(std::size_t routers);

    /// Sends the calls that may be sent and ends those that are overdue.
    void advance(Base::TimePoint now);
    /// Returns the earliest time at which advance() or takeOutcomes() has something to do.
    Base::TimePoint nextDue() const;
    /// Handles an outcome that the wrapped service reports.
    void handle(const TableOutcome &outcome, Base::TimePoint now);
    /// Returns the outcomes for the callers of this gateway and clears the list.
    std::vector<TableOutcome> takeOutcomes() { return std::exchange(m_outcomes, {}); }

    const CallQueue &reads() const { return m_reads; }
    const CallQueue &writes() const { return m_writes; }

private:
    struct Call
    {
        bool isScan = false;
        std::string key;
        std::string after;
        std::size_t limit = 0;
        std::vector<TableWrite> writes;
    };

    TableGateway(const TableGatewayPolicy &policy, TableService &service,
                 Base::RandomSource &random);
    void collectFailedCalls(CallQueue &queue);
    void sendReads();
    void sendWrites();

    TableGatewayPolicy m_policy;
    TableService *m_service;
    /// Ids of attempts, separate from the operation ids of the callers.
    OperationIds m_attempts;
    std::uint64_t m_probeCount = 0;
    CallQueue m_reads;
    CallQueue m_writes;
    std::map<OperationId, Call> m_calls;
    std::vector<TableOutcome> m_outcomes;
};

} // namespace Storage
