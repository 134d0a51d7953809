#pragma once

#include "base/ids.h"
#include "claims/rowwriter.h"
#include "storage/operationids.h"
#include "storage/tableservice.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Claims {

/// Reads the rows of claims with a limited number of reads in flight, and serves the customers
/// round-robin.
///
/// This contains a customer that floods the router with repeats of its calls, each of which needs
/// a read. Without the limit these reads would use up this router's share of the table's reads,
/// and the configuration could no longer be read. Without the round-robin order the claims of
/// other customers would wait behind them.
class RowReader
{
public:
    RowReader(std::size_t largestInFlight, Storage::TableService &table,
              Storage::OperationIds &operations);

    /// Queues a read of the row at \a key.
    void read(ClaimId claim, const Base::CustomerId &customer, const std::string &key);
    /// Returns the claim whose read \a outcome answers; empty if it answers no read of this object.
    std::optional<ClaimId> handle(const Storage::TableOutcome &outcome);

private:
    struct PendingRead
    {
        ClaimId claim = 0;
        std::string key;
    };

    void flush();

    std::size_t m_largestInFlight = 0;
    Storage::TableService *m_table;
    Storage::OperationIds *m_operations;
    std::map<Base::CustomerId, std::deque<PendingRead>> m_waiting;
    /// The customer that was served last.
    Base::CustomerId m_lastCustomer;
    std::map<Storage::OperationId, ClaimId> m_inFlight;
};

} // namespace Claims
