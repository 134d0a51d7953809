#pragma once

#include "base/time.h"
#include "claims/claimpolicy.h"
#include "claims/claimrow.h"
#include "storage/tableservice.h"

#include <optional>
#include <vector>

namespace Claims {

/// What a row that was read says to the claimer with a token of its own.
enum class RowKind {
    Absent,
    Own,               ///< The claimer wrote it.
    Free,              ///< Released by its owner, who never sent the work.
    OtherContent,      ///< The key is taken for other content.
    Completed,         ///< The answer is in the row.
    CompletedUnstored, ///< Completed; the answer was not kept.
    Live,              ///< Another's, within its lease.
    Lapsed,            ///< Another's, past its lease: it may or may not have been sent.
    Malformed,         ///< Says nothing; the work may have run.
};

struct ClassifiedRow
{
    RowKind kind = RowKind::Absent;
    ClaimRow row;
    Storage::RowVersion version = 0;
};

/// Judges the rows of a read of one key. \a own is the claimer's row as it wrote it.
///
/// The content is compared before the lease: a lapsed key of other content is a conflict still.
/// A lease of another host is judged by calendar time with \a clockSkew as margin. A wrong
/// judgement only changes between "running" and "may have run" what a caller is told, since no
/// lapsed claim is taken over.
ClassifiedRow classifyRow(const std::vector<Storage::TableRow> &rows, const ClaimRow &own,
                          Base::WallTime wallNow, Base::Duration clockSkew);

/// What the claimer's caller is told of another's row.
ClaimVerdict verdictOf(RowKind kind);

} // namespace Claims
