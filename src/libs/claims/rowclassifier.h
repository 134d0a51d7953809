#pragma once

#include "base/time.h"
#include "claims/claimpolicy.h"
#include "claims/claimrow.h"
#include "storage/tableservice.h"

#include <optional>
#include <vector>

namespace Claims {

/// What a row that was read means for a claimer.
enum class RowKind {
    Absent,            ///< There is no row.
    Own,               ///< The claimer wrote the row.
    Free,              ///< The owner released the row without sending the work.
    OtherContent,      ///< The key was claimed for different content.
    Completed,         ///< The work has completed; the row holds its answer.
    CompletedUnstored, ///< The work has completed; its answer was not stored.
    Live,              ///< Another claimer owns the row, and its lease is valid.
    Lapsed,            ///< The lease of another claimer has expired; it may have sent the work.
    Malformed,         ///< The row cannot be parsed; the work may have run.
};

/// A row that was read, with its kind and its version.
struct ClassifiedRow
{
    RowKind kind = RowKind::Absent;
    ClaimRow row;
    Storage::RowVersion version = 0;
};

/// Classifies the result of reading one key: \a rows holds its row or is empty. \a own is the
/// claimer's own row.
///
/// The content is compared before the lease, so that a key with different content is a conflict
/// even after its lease has expired. The lease of another host is compared by calendar time, with
/// \a clockSkew as margin. An error of the clocks only changes the answer to a caller between
/// "running" and "may have run", since an expired claim is never taken over.
ClassifiedRow classifyRow(const std::vector<Storage::TableRow> &rows, const ClaimRow &own,
                          Base::WallTime wallNow, Base::Duration clockSkew);

/// Returns the verdict for a claimer that found a row of another claimer.
ClaimVerdict verdictOf(RowKind kind);

} // namespace Claims
