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

/// Reads the rows of claims, a bounded number at a time and the customers in turn.
///
/// Answers the load pattern of one customer that repeats its calls in a flood: each repeat needs
/// a read. Without the bound they fill this router's share of the table's reads, and the
/// configuration is read no more; without the turns the claims of others wait behind them.
class RowReader
{
public:
    RowReader(std::size_t largestInFlight, Storage::TableService &table,
              Storage::OperationIds &operations);

    void read(ClaimId claim, const Base::CustomerId &customer, const std::string &key);
    /// The claim whose read \a outcome answers.
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
    /// Whose turn was last.
    Base::CustomerId m_lastCustomer;
    std::map<Storage::OperationId, ClaimId> m_inFlight;
};

} // namespace Claims
