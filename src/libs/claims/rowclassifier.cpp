#include "claims/rowclassifier.h"

namespace Claims {

namespace {

RowKind kindOf(const ClaimRow &row, const ClaimRow &own, Base::WallTime wallNow,
               Base::Duration clockSkew)
{
    if (row.token == own.token)
        return RowKind::Own;
    if (row.state == ClaimState::Released)
        return RowKind::Free;
    if (row.contentHash != own.contentHash)
        return RowKind::OtherContent;
    if (row.state == ClaimState::Completed)
        return row.isAnswerKept ? RowKind::Completed : RowKind::CompletedUnstored;
    const auto margin = std::chrono::duration_cast<Base::WallTime::duration>(clockSkew);
    return wallNow > row.leaseUntil + margin ? RowKind::Lapsed : RowKind::Live;
}

} // namespace

ClassifiedRow classifyRow(const std::vector<Storage::TableRow> &rows, const ClaimRow &own,
                          Base::WallTime wallNow, Base::Duration clockSkew)
{
    ClassifiedRow classified;
    if (rows.empty())
        return classified;
    classified.version = rows.front().version;
    Base::Result<ClaimRow> row = decodeClaim(rows.front().value);
    if (!row) {
        classified.kind = RowKind::Malformed;
        return classified;
    }
    classified.row = *row;
    classified.kind = kindOf(classified.row, own, wallNow, clockSkew);
    return classified;
}

ClaimVerdict verdictOf(RowKind kind)
{
    switch (kind) {
    case RowKind::OtherContent:
        return ClaimVerdict::Conflict;
    case RowKind::Completed:
        return ClaimVerdict::Completed;
    case RowKind::CompletedUnstored:
        return ClaimVerdict::CompletedUnstored;
    case RowKind::Live:
        return ClaimVerdict::InProgress;
    case RowKind::Lapsed:
    case RowKind::Malformed:
        return ClaimVerdict::Indeterminate;
    case RowKind::Absent:
    case RowKind::Own:
    case RowKind::Free:
        break;
    }
    return ClaimVerdict::Unavailable;
}

} // namespace Claims
