#pragma once

#include "base/result.h"
#include "storage/calllane.h"
#include "storage/tableservice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Storage {

struct TableGatewayPolicy
{
    LanePolicy reads;
    LanePolicy writes;
    /// What the whole fleet may ask of the table, in calls a second. The table bears several
    /// hundred writes and about 2,000 reads; a quarter is left to operators and other users.
    double fleetReadsPerSecond = 1500;
    double fleetWritesPerSecond = 300;
};

/// A policy that lets no call through.
struct UnusableGatewayPolicy
{};

/// The way to the platform's table: a TableService before another one, with timeouts, bounded
/// retries, a circuit breaker, a bound on calls in flight and this daemon's share of the rate.
///
/// Each call is followed by exactly one outcome in takeOutcomes(). Done and Conflict are the
/// table's own words. NotDone is said only if nothing was and nothing will be written: the
/// write never left, or the service below said NotDone. A write that left and was not answered
/// is Unknown. A read that failed is NotDone.
///
/// Calls leave with the next advance(): the owner calls it at the end of each turn.
class TableGateway final : public TableService
{
public:
    /// Fails with UnusableGatewayPolicy. \a below and \a random outlive the gateway.
    static Base::Result<std::unique_ptr<TableGateway>>
    create(const TableGatewayPolicy &policy, TableService &below, Base::RandomSource &random);

    void read(OperationId operation, const std::string &key) override;
    void scan(OperationId operation, const std::string &prefix, const std::string &after,
              std::size_t limit) override;
    void transact(OperationId operation, const std::vector<TableWrite> &writes) override;
    Base::TimePoint nextWriteAt() const override { return m_writes.readyAt(); }

    /// Number of live routers that share the table's rate, this one included.
    void setFleetSize(std::size_t routers);

    /// Sends what may leave, ends what is overdue.
    void advance(Base::TimePoint now);
    Base::TimePoint nextDue() const;
    /// An outcome of the service below.
    void handle(const TableOutcome &outcome, Base::TimePoint now);
    /// Outcomes for the callers of this gateway.
    std::vector<TableOutcome> takeOutcomes() { return std::exchange(m_outcomes, {}); }

    const CallLane &reads() const { return m_reads; }
    const CallLane &writes() const { return m_writes; }

private:
    struct Call
    {
        bool isScan = false;
        std::string key;
        std::string after;
        std::size_t limit = 0;
        std::vector<TableWrite> writes;
    };

    TableGateway(const TableGatewayPolicy &policy, TableService &below, Base::RandomSource &random);
    void collectEnds(CallLane &lane);
    void sendReads();
    void sendWrites();

    TableGatewayPolicy m_policy;
    TableService *m_below;
    /// Ids of attempts; apart from those of the callers.
    OperationIds m_attempts;
    std::uint64_t m_probes = 0;
    CallLane m_reads;
    CallLane m_writes;
    std::map<OperationId, Call> m_calls;
    std::vector<TableOutcome> m_outcomes;
};

} // namespace Storage
