#include "claims/claimjudge.h"

namespace Claims {

namespace {

RowMeaning meaningOf(const ClaimRow &row, const ClaimRow &own, Base::WallTime wallNow,
                     Base::Duration clockSkew)
{
    if (row.token == own.token)
        return RowMeaning::Own;
    if (row.state == ClaimState::Released)
        return RowMeaning::Free;
    if (row.contentHash != own.contentHash)
        return RowMeaning::OtherContent;
    if (row.state == ClaimState::Completed)
        return row.isAnswerKept ? RowMeaning::Completed : RowMeaning::CompletedUnstored;
    const auto margin = std::chrono::duration_cast<Base::WallTime::duration>(clockSkew);
    return wallNow > row.leaseUntil + margin ? RowMeaning::Lapsed : RowMeaning::Live;
}

} // namespace

JudgedRow judgeRows(const std::vector<Storage::TableRow> &rows, const ClaimRow &own,
                    Base::WallTime wallNow, Base::Duration clockSkew)
{
    JudgedRow judged;
    if (rows.empty())
        return judged;
    judged.version = rows.front().version;
    Base::Result<ClaimRow> row = decodeClaim(rows.front().value);
    if (!row) {
        judged.meaning = RowMeaning::Malformed;
        return judged;
    }
    judged.row = *row;
    judged.meaning = meaningOf(judged.row, own, wallNow, clockSkew);
    return judged;
}

ClaimVerdict verdictOf(RowMeaning meaning)
{
    switch (meaning) {
    case RowMeaning::OtherContent:
        return ClaimVerdict::Conflict;
    case RowMeaning::Completed:
        return ClaimVerdict::Completed;
    case RowMeaning::CompletedUnstored:
        return ClaimVerdict::CompletedUnstored;
    case RowMeaning::Live:
        return ClaimVerdict::InProgress;
    case RowMeaning::Lapsed:
    case RowMeaning::Malformed:
        return ClaimVerdict::Undecidable;
    case RowMeaning::Absent:
    case RowMeaning::Own:
    case RowMeaning::Free:
        break;
    }
    return ClaimVerdict::Unavailable;
}

} // namespace Claims
